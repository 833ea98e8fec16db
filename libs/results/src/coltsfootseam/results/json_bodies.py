"""Decoding of JSON that other processes have written."""

import re
from collections.abc import Iterator
from typing import Annotated, TypeVar

import msgspec

T = TypeVar("T")

_LABEL = r"[0-9A-Za-z_-]{1,63}"
_PORT = (
    r"([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}"
    r"|655[0-2][0-9]|6553[0-5])"
)
_ADDRESS_PATTERN = (
    rf"\A(\[[0-9A-Fa-f:.]{{2,45}}\]|({_LABEL}\.){{0,8}}{_LABEL}):{_PORT}\Z"
)

Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS_PATTERN)]
"""A host name or an IP address, a colon and a port that exists."""

Amount = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
"""A count or a size; one beyond this range is a mistake of its writer."""

UnixMillis = Annotated[int, msgspec.Meta(ge=0, le=9_999_999_999_999)]
"""Unix milliseconds, to the year 2286."""

_ELEMENT_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]')


class MalformedJsonError(msgspec.ValidationError):
    """JSON that can't be read, is nested too deeply, or isn't of the type."""


def decode_json(body: bytes, expected_type: type[T]) -> T:
    """Decodes JSON that another process has written.

    Raises:
        MalformedJsonError: If it is not a valid value of the type.
    """
    try:
        return msgspec.json.decode(body, type=expected_type)
    except msgspec.DecodeError as error:
        raise MalformedJsonError(str(error)) from error
    except UnicodeError:
        # The error would show the value.
        raise MalformedJsonError("it is not UTF-8") from None
    except RecursionError:
        raise MalformedJsonError("it is nested too deeply") from None


def split_array(body: bytes) -> Iterator[bytes]:
    """Splits a JSON array into its elements, without decoding them.

    An element that can't be decoded doesn't affect the others, however deeply
    it is nested.

    Raises:
        MalformedJsonError: If it is not an array.
    """
    body = body.strip()
    if not (body.startswith(b"[") and body.endswith(b"]")):
        raise MalformedJsonError("it is not an array")
    depth = 0
    start = 1
    for token in _ELEMENT_TOKEN.finditer(body):
        mark = token.group()
        if mark in b"[{":
            depth += 1
        elif mark in b"]}":
            depth -= 1
        is_end = depth == 0 or (depth == 1 and mark == b",")
        if not is_end:
            continue
        element = body[start : token.start()].strip()
        if element:
            yield element
        start = token.end()
        if depth == 0:
            break
    if depth != 0 or start != len(body):
        raise MalformedJsonError("it is not an array")
