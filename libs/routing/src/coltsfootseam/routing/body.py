"""The body of a caller's request, buffered for retries if it is small."""

from collections.abc import AsyncIterator

import aiohttp

_CHUNK_BYTES = 64 * 1024


class RequestBody:
    """A request body whose first part is buffered.

    A body that fits into the buffer can be sent again on a retry. A longer one
    is streamed from the caller and cannot be sent again once any of the rest
    was read.
    """

    __slots__ = ("_buffered", "_rest", "_rest_consumed")

    def __init__(
        self, buffered: bytes, rest: aiohttp.StreamReader | None
    ) -> None:
        self._buffered = buffered
        self._rest = rest
        self._rest_consumed = False

    def is_sendable(self) -> bool:
        """Returns whether the whole body can still be sent."""
        return not self._rest_consumed

    def payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns the body in the form that the HTTP client accepts."""
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
    """Reads a body up to the size of the buffer.

    Args:
        reader: The caller's stream.
        buffered_bytes: Size of the buffer; the last chunk may exceed it.

    Raises:
        aiohttp.ClientError: If the caller's connection ends before the body.
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
