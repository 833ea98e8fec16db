"""The body of a caller's request, kept for a retry while it is small."""

from collections.abc import AsyncIterator

import aiohttp

_CHUNK_BYTES = 64 * 1024


class RequestBody:
    """A body of which a bounded beginning is held in memory.

    A body that fits is sent again on a retry. A longer one streams from the
    caller, and once a part of the rest was read, it cannot be sent again.
    """

    __slots__ = ("_buffered", "_rest", "_rest_consumed")

    def __init__(
        self, buffered: bytes, rest: aiohttp.StreamReader | None
    ) -> None:
        self._buffered = buffered
        self._rest = rest
        self._rest_consumed = False

    def is_sendable(self) -> bool:
        """Tells whether the whole body can be sent now."""
        return not self._rest_consumed

    def payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns the body in the form that the HTTP client takes."""
        if self._rest is None:
            return self._buffered or None
        return self._stream(self._rest)

    async def _stream(self, rest: aiohttp.StreamReader) -> AsyncIterator[bytes]:
        if self._buffered:
            yield self._buffered
        self._rest_consumed = True
        async for chunk in rest.iter_chunked(_CHUNK_BYTES):
            yield chunk


async def read_request_body(
    reader: aiohttp.StreamReader, buffered_bytes: int
) -> RequestBody:
    """Reads the beginning of a body.

    Args:
        reader: The caller's stream.
        buffered_bytes: Most bytes to hold.

    Raises:
        aiohttp.ClientError: If the caller's connection ends too early.
    """
    parts: list[bytes] = []
    size = 0
    while size <= buffered_bytes:
        chunk = await reader.readany()
        if not chunk and reader.at_eof():
            return RequestBody(b"".join(parts), None)
        parts.append(chunk)
        size += len(chunk)
    return RequestBody(b"".join(parts), reader)
