"""The numbered result codes.

The numbers are stable, as they leave the process: as exit codes of the command
line, values of the ``X-Result-Code`` header and codes of events.
``docs/result-codes.md`` explains each one to operators and callers.
"""

import enum


class ResultCode(enum.IntEnum):
    """Outcome of a command, a record of the log or a caller's request."""

    OK = 0

    BAD_INPUT = 10
    SETTINGS_INVALID = 11
    CONTRACT_INVALID = 12
    HEADROOM_OVER_LIMIT = 13
    BUDGET_NEVER_DRAINS = 14
    POOL_IN_TWO_CONTRACTS = 15
    SERVICE_IN_TWO_POOLS = 16
    CONTRACT_EXISTS = 17
    CONTRACT_UNKNOWN = 18
    VERSION_CONFLICT = 19

    LOG_UNAVAILABLE = 30
    OUTCOME_PENDING = 31
    STALE_EPOCH = 32
    HOST_OWNED = 33
    BUDGET_SPENT = 34
    HOST_UNKNOWN = 35
    POOL_FULL = 36
    NOT_IN_FORCE = 37
    LOG_WENT_BACK = 38
    POOL_UNKNOWN = 40
    HOST_PHASE = 41
    MEMBER_RENEWED = 42
    JOB_UNKNOWN = 43
    JOB_CRASHES_WORKERS = 44
    JOB_OF_OTHER_TEAM = 45
    # The numbers 50 to 59 of the other codes of this kind are all in use.
    NOT_RUN_NEVER_FITS = 46
    NOT_RUN_TOO_LARGE = 47
    NOT_RUN_ENCODED = 48

    NOT_RUN_OVERLOADED = 50
    NOT_RUN_NO_ENDPOINT = 51
    NOT_RUN_DEADLINE = 52
    NOT_RUN_UNKNOWN_SERVICE = 53
    NOT_RUN_STOPPING = 54
    NOT_RUN_KEY_UNGUARDED = 55
    NOT_RUN_NOT_READY = 56
    NOT_RUN_BAD_REQUEST = 57
    NOT_RUN_REFUSED = 58
    NOT_RUN_UNKNOWN_KEY = 59

    OUTCOME_UNKNOWN = 60
    IN_PROGRESS = 61
    ANSWER_CUT = 62

    UNREACHABLE = 70


_HTTP_STATUS_BY_CODE = {
    ResultCode.OK: 200,
    ResultCode.BAD_INPUT: 400,
    ResultCode.SETTINGS_INVALID: 400,
    ResultCode.CONTRACT_INVALID: 422,
    ResultCode.HEADROOM_OVER_LIMIT: 422,
    ResultCode.BUDGET_NEVER_DRAINS: 422,
    ResultCode.POOL_IN_TWO_CONTRACTS: 409,
    ResultCode.SERVICE_IN_TWO_POOLS: 409,
    ResultCode.CONTRACT_EXISTS: 409,
    ResultCode.CONTRACT_UNKNOWN: 404,
    ResultCode.VERSION_CONFLICT: 409,
    ResultCode.JOB_UNKNOWN: 410,
    ResultCode.JOB_OF_OTHER_TEAM: 403,
    ResultCode.NOT_RUN_NEVER_FITS: 422,
    ResultCode.NOT_RUN_TOO_LARGE: 413,
    ResultCode.NOT_RUN_ENCODED: 415,
    ResultCode.NOT_RUN_UNKNOWN_KEY: 401,
    ResultCode.OUTCOME_PENDING: 504,
    ResultCode.NOT_IN_FORCE: 202,
    ResultCode.NOT_RUN_UNKNOWN_SERVICE: 404,
    ResultCode.NOT_RUN_BAD_REQUEST: 400,
    ResultCode.OUTCOME_UNKNOWN: 502,
    ResultCode.ANSWER_CUT: 502,
    ResultCode.IN_PROGRESS: 409,
}

_DEFAULT_HTTP_STATUS = 503


def http_status_for_code(code: ResultCode) -> int:
    """Returns the HTTP status of a response with a code."""
    return _HTTP_STATUS_BY_CODE.get(code, _DEFAULT_HTTP_STATUS)


def code_for_http_status(status: int) -> ResultCode:
    """Returns the code for a response without an ``X-Result-Code``."""
    if status < 400:
        return ResultCode.OK
    if status < 500:
        return ResultCode.BAD_INPUT
    return ResultCode.OUTCOME_UNKNOWN


def is_not_run(code: ResultCode) -> bool:
    """Returns whether a code guarantees that the request did not run."""
    return code.name.startswith("NOT_RUN_")
