"""Reads the bodies of requests."""

from aiohttp import hdrs, web

from coltsfootseam.results import Refusal, ResultCode

_PLAIN_ENCODINGS = ("", "identity")


async def read_body(
    request: web.BaseRequest, max_bytes: int | None
) -> bytes | Refusal:
    """Reads a whole body.

    A body that is announced as too long is refused before it is read.

    Args:
        request: The request.
        max_bytes: The longest body, ``None`` for any length.

    Returns:
        The body, ``NOT_RUN_TOO_LARGE`` if it is longer than allowed, or
        ``NOT_RUN_ENCODED`` if it is compressed.
    """
    encoding = request.headers.get(hdrs.CONTENT_ENCODING, "").lower()
    if encoding not in _PLAIN_ENCODINGS:
        return Refusal(
            ResultCode.NOT_RUN_ENCODED, "a compressed body is not unpacked"
        )
    if _is_over(request.content_length or 0, max_bytes):
        return _too_long(max_bytes)
    body = bytearray()
    try:
        while chunk := await request.content.readany():
            body += chunk
            if _is_over(len(body), max_bytes):
                return _too_long(max_bytes)
        return bytes(body)
    finally:
        # The error of a lost connection keeps this frame for a while.
        body.clear()


def _is_over(size: int, max_bytes: int | None) -> bool:
    return max_bytes is not None and size > max_bytes


def _too_long(max_bytes: int | None) -> Refusal:
    return Refusal(
        ResultCode.NOT_RUN_TOO_LARGE, f"a body has {max_bytes} bytes at most"
    )
