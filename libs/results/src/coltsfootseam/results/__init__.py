"""Numbered result codes, and refusals that carry a code and a reason."""

from coltsfootseam.results.codes import (
    ResultCode,
    code_for_http_status,
    http_status_for_code,
    is_not_run,
)
from coltsfootseam.results.refusal import OK, Refusal

__all__ = [
    "OK",
    "Refusal",
    "ResultCode",
    "code_for_http_status",
    "http_status_for_code",
    "is_not_run",
]
