"""The sentinel value that stands for an error and says why."""

import msgspec

from coltsfootseam.results.codes import ResultCode


class Refusal(msgspec.Struct, frozen=True):
    """Says that something was refused, and why.

    Functions whose failure is expected return a ``Refusal`` in place of their
    value. Callers tell the two apart with ``isinstance``.

    Attributes:
        code: The numbered result code.
        reason: One sentence for a person, naming the value at fault.
    """

    code: ResultCode
    reason: str


OK = Refusal(ResultCode.OK, "")
"""The outcome of something that was accepted."""
