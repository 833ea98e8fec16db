"""Numbered result codes, refusals, and decoding that refuses bad input."""

from coltsfootseam.results.codes import (
    ResultCode,
    code_for_http_status,
    http_status_for_code,
    is_not_run,
)
from coltsfootseam.results.json_bodies import (
    Address,
    Amount,
    MalformedJsonError,
    UnixMillis,
    decode_json,
    split_array,
)
from coltsfootseam.results.refusal import OK, Refusal

__all__ = [
    "OK",
    "Address",
    "Amount",
    "MalformedJsonError",
    "Refusal",
    "ResultCode",
    "UnixMillis",
    "code_for_http_status",
    "decode_json",
    "http_status_for_code",
    "is_not_run",
    "split_array",
]
