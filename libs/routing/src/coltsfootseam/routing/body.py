"""The body of a caller's request, buffered for retries if it is small."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp

from coltsfootseam.timers import TimerService

_CHUNK_BYTES = 64 * 1024
_POLL_PERIOD_S = 0.25
_MIN_BYTES_PER_S = 16 * 1024
"""A caller that sends less keeps its endpoint waiting, if it never stops."""


class CallerStalledError(Exception):
    """A caller has sent too little for too long."""


class RequestBody:
    """A request body whose first part is buffered.

    A body that fits into the buffer can be sent again on a retry. A longer one
    is streamed from the caller and cannot be sent again once any of the rest
    was read.

    Attributes:
        is_broken_off: Whether the caller's connection has ended, or the body
            was broken off, before its end.
    """

    __slots__ = (
        "_asked_s",
        "_buffered",
        "_is_to_break_off",
        "_received_bytes",
        "_rest",
        "_rest_consumed",
        "_timers",
        "_waited_s",
        "is_broken_off",
    )

    def __init__(
        self,
        buffered: bytes,
        rest: aiohttp.StreamReader | None,
        timers: TimerService,
    ) -> None:
        self._buffered = buffered
        self._rest = rest
        self._rest_consumed = False
        self._timers = timers
        self._asked_s: float | None = None
        self._waited_s = 0.0
        self._received_bytes = 0
        self._is_to_break_off = False
        self.is_broken_off = False

    def is_sendable(self) -> bool:
        """Returns whether the whole body can still be sent."""
        return not self._rest_consumed

    def payload(self) -> bytes | AsyncIterator[bytes] | None:
        """Returns the body in the form that the HTTP client accepts."""
        if self._rest is None:
            return self._buffered or None
        return self._stream(self._rest)

    def lag_s(self) -> float:
        """Returns for how long the caller has kept its endpoint waiting.

        That is the time since it last sent something or, if it sends little by
        little, all such times beyond what its bytes may take.
        """
        current_s = 0.0
        if self._asked_s is not None:
            current_s = self._timers.now_s() - self._asked_s
        allowed_s = self._received_bytes / _MIN_BYTES_PER_S
        return max(current_s, self._waited_s + current_s - allowed_s)

    def break_off(self) -> None:
        """Ends a body that is streamed, within a fraction of a second."""
        self._is_to_break_off = True

    async def _stream(self, rest: aiohttp.StreamReader) -> AsyncIterator[bytes]:
        if self._buffered:
            yield self._buffered
        self._rest_consumed = True
        # Reset if the whole body arrives.
        self.is_broken_off = True
        while chunk := await self._read(rest):
            yield chunk
        self.is_broken_off = False

    async def _read(self, rest: aiohttp.StreamReader) -> bytes:
        """Returns the next chunk, empty at the end.

        Raises:
            CallerStalledError: If the body was broken off.
        """
        asked_s = self._asked_s = self._timers.now_s()
        try:
            while True:
                if self._is_to_break_off:
                    raise CallerStalledError
                try:
                    async with asyncio.timeout(_POLL_PERIOD_S):
                        chunk = await rest.read(_CHUNK_BYTES)
                except TimeoutError:
                    continue
                self._received_bytes += len(chunk)
                return chunk
        finally:
            self._asked_s = None
            self._waited_s += self._timers.now_s() - asked_s


async def read_request_body(
    reader: aiohttp.StreamReader, buffered_bytes: int, timers: TimerService
) -> RequestBody:
    """Reads a body up to the size of the buffer.

    Args:
        reader: The caller's stream.
        buffered_bytes: Size of the buffer; the last chunk may exceed it.
        timers: The clock.

    Raises:
        aiohttp.ClientError: If the caller's connection ends before the body.
    """
    parts: list[bytes] = []
    size = 0
    while size <= buffered_bytes:
        chunk = await reader.readany()
        if not chunk and reader.at_eof():
            return RequestBody(b"".join(parts), None, timers)
        parts.append(chunk)
        size += len(chunk)
    return RequestBody(b"".join(parts), reader, timers)
