"""Reads the bodies of requests."""

from aiohttp import hdrs, web

from coltsfootseam.results import Refusal, ResultCode

_PLAIN_ENCODINGS = ("", "identity")


async def read_body(
    request: web.BaseRequest, max_bytes: int | None
) -> bytes | Refusal:
    """Reads a whole body.

    One that is announced as too long is refused before the handler runs.

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
    body = bytearray()
    try:
        while chunk := await request.content.readany():
            body += chunk
            if max_bytes is not None and len(body) > max_bytes:
                return Refusal(
                    ResultCode.NOT_RUN_TOO_LARGE,
                    f"a body has {max_bytes} bytes at most",
                )
        return bytes(body)
    finally:
        # The error of a lost connection keeps this frame for a while.
        body.clear()
