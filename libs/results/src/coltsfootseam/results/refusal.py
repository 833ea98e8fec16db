"""The value that is returned for an expected failure."""

import msgspec

from coltsfootseam.results.codes import ResultCode


class Refusal(msgspec.Struct, frozen=True):
    """An expected failure and its reason.

    Functions that are expected to fail at times return a ``Refusal`` instead
    of their value. Callers distinguish the two with ``isinstance``.

    Attributes:
        code: The numbered result code.
        reason: One readable sentence that names the value at fault.
    """

    code: ResultCode
    reason: str


OK = Refusal(ResultCode.OK, "")
"""The outcome of an accepted request."""
