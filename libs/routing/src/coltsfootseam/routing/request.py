"""The head of a caller's request: service, key and deadline."""

import re
import uuid
from collections.abc import Mapping

import msgspec

from coltsfootseam.results import Refusal, ResultCode

SERVICE_PATH = re.compile(r"^/(?P<service>[a-z0-9][a-z0-9-]{0,62})(?:[/?]|$)")
DEADLINE_HEADER = "X-Deadline-Ms"
KEY_HEADER = "Idempotency-Key"
CODE_HEADER = "X-Result-Code"
REASON_HEADER = "X-Result-Reason"
REQUEST_ID_HEADER = "X-Request-Id"
POOL_HEADER = "X-Pool"
HOST_VERSION_HEADER = "X-Host-Version"
NOT_RUN_HEADER = "X-Not-Run"

_REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_MAX_KEY_CHARS = 200
_MAX_KIND_CHARS = 100
_MAX_KIND_SEGMENTS = 4
_DIGIT = re.compile(r"\d")
_MS_PER_S = 1000


class RequestHead(msgspec.Struct, frozen=True):
    """The parts of a request that routing uses.

    Attributes:
        request_id: Unique id, starts with the name of the entry host.
        service: Service named by the first segment of the path.
        method: HTTP method.
        target: Path and query, forwarded unchanged.
        key: Idempotency key, empty if the caller sent none.
        arrived_s: When it arrived, monotonic seconds.
        deadline_s: When its caller stops waiting, monotonic seconds.
    """

    request_id: str
    service: str
    method: str
    target: str
    key: str
    arrived_s: float
    deadline_s: float

    def is_repeatable(self) -> bool:
        """Returns whether the request may run more than once."""
        return self.method in _REPEATABLE_METHODS

    def kind(self) -> str:
        """Returns the kind of the request, by which run times are estimated.

        Path segments with digits usually identify a single resource and are
        replaced by ``*``; the query is left out.
        """
        path = self.target.partition("?")[0]
        parts = path.split("/")[1 : 1 + _MAX_KIND_SEGMENTS]
        named = [part if not _DIGIT.search(part) else "*" for part in parts]
        return f"{self.method} /{'/'.join(named)}"[:_MAX_KIND_CHARS]

    def scoped_key(self) -> str:
        """Returns the key prefixed with its service, empty if there is none."""
        return f"{self.service}/{self.key}" if self.key else ""


class DeadlineLimits(msgspec.Struct, frozen=True):
    """Default and maximum deadline of callers, in milliseconds."""

    default_ms: int
    max_ms: int


def parse_request_head(
    entry_id: str,
    method: str,
    target: str,
    headers: Mapping[str, str],
    now_s: float,
    limits: DeadlineLimits,
) -> RequestHead | Refusal:
    """Reads service, key and deadline of a request.

    Returns:
        The head, or a refusal that names the invalid header or path.
    """
    match = SERVICE_PATH.match(target)
    if match is None:
        return _bad_request(
            f"path {target!r} does not start with a service name"
        )
    key = headers.get(KEY_HEADER, "")
    if len(key) > _MAX_KEY_CHARS:
        return _bad_request(
            f"{KEY_HEADER} has {len(key)} characters, at most {_MAX_KEY_CHARS}"
        )
    deadline_ms = _parse_deadline_ms(headers, limits)
    if isinstance(deadline_ms, Refusal):
        return deadline_ms
    return RequestHead(
        request_id=f"{entry_id}/{uuid.uuid4().hex}",
        service=match["service"],
        method=method,
        target=target,
        key=key,
        arrived_s=now_s,
        deadline_s=now_s + deadline_ms / _MS_PER_S,
    )


def _parse_deadline_ms(
    headers: Mapping[str, str], limits: DeadlineLimits
) -> int | Refusal:
    text = headers.get(DEADLINE_HEADER)
    if text is None:
        return limits.default_ms
    if not text.isascii() or not text.isdigit():
        return _bad_request(
            f"{DEADLINE_HEADER} {text!r} is not a whole number of milliseconds"
        )
    deadline_ms = int(text)
    if not 1 <= deadline_ms <= limits.max_ms:
        return _bad_request(
            f"{DEADLINE_HEADER} {text!r} is not between 1 and {limits.max_ms}"
        )
    return deadline_ms


def _bad_request(reason: str) -> Refusal:
    return Refusal(ResultCode.NOT_RUN_BAD_REQUEST, reason)
