"""One connection of a client, between its transport and the HTTP library."""

import asyncio
from collections.abc import Callable
from typing import cast

from aiohttp import StreamReader, hdrs, web

from coltsfootseam.connections.internal.channel import Channel
from coltsfootseam.connections.internal.framing import (
    Framing,
    Phase,
    memory_of_chunks,
)
from coltsfootseam.connections.internal.table import ConnectionTable
from coltsfootseam.connections.limits import RequestLimits
from coltsfootseam.connections.loop_share import LoopShare

RECEIVE_BYTES = 16 * 1024
"""How much is received at once, and about how much may wait to be parsed."""

_CHUNKED_STEP_BYTES = 4 * 1024
"""Input of one step; chunks of a byte each take long to parse."""

_HEAD_MEMORY_FACTOR = 8
"""Memory of a parsed head per byte."""

_BODY_MEMORY_FACTOR = 3
"""Memory of a body per byte while it is read, and decoded afterwards."""

_MAX_CHUNKED_FACTOR = 8
"""Bytes that a body in chunks takes for each of its own, at most."""

_WRITE_BUFFER_BYTES = 16 * 1024
"""Output that waits for the client, from which on no more is produced."""

_RESERVED_STEP_BYTES = 64 * 1024
_HEAD_TOO_LONG = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"Content-Length: 0\r\nConnection: close\r\n\r\n"
)

_BODY_PHASES = (Phase.SIZED_BODY, Phase.CHUNKED_BODY)

_receive_buffer = memoryview(bytearray(RECEIVE_BYTES))
"""Shared, as it is read before the loop does anything else."""


class Connection(asyncio.BufferedProtocol):
    """Hands input on to the HTTP library, one request after the other.

    Attributes:
        used_s: Time that the input of the current request has taken.
        is_queued: Whether it waits for its share of the loop.
        held_bytes: Bytes reserved for the current request.
        input_bytes: Bytes received since the client became slow.
        since_s: When it became unfinished, loop time.
        share: The share of the loop that it uses with others.
    """

    def __init__(
        self,
        server: web.Server,
        find_limits: Callable[[], RequestLimits],
        table: ConnectionTable,
        share: LoopShare,
    ) -> None:
        self._server = server
        self._find_limits = find_limits
        self._limits = find_limits()
        self._table = table
        self.share = share
        self._framing = Framing()
        self._transport: asyncio.Transport | None = None
        self._channel: Channel | None = None
        # Made when there is a request, as idle clients need none.
        self._http: asyncio.Protocol | None = None
        self._content: StreamReader | None = None
        self._chunk_memory = 0
        self._size = 0
        self._is_answered = False
        self._is_http_paused = False
        self._is_reading = True
        self.used_s = 0.0
        self.is_queued = False
        self.held_bytes = 0
        self.input_bytes = 0
        self.since_s = 0.0

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts a connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._channel = Channel(self, self._transport)
        self._transport.set_write_buffer_limits(high=_WRITE_BUFFER_BYTES)
        self._table.add(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where input is received."""
        del sizehint
        return _receive_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Takes what was received."""
        self._framing.pending += _receive_buffer[:nbytes]
        if self._framing.phase is Phase.HEAD:
            self._table.set_unfinished(self)
        self.input_bytes += nbytes
        self.share.submit(self)
        self._update_reading()

    def eof_received(self) -> None:
        """Closes the connection, as the HTTP library does."""

    def pause_writing(self) -> None:
        """Waits for the client to read."""
        self._table.set_unfinished(self)
        if self._http is not None:
            self._http.pause_writing()

    def resume_writing(self) -> None:
        """Goes on, as the client has read."""
        if self._framing.phase is Phase.COMPLETE:
            self._table.set_busy(self)
        if self._http is not None:
            self._http.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the connection."""
        self._transport = None
        self._framing.pending.clear()
        self._table.remove(self)
        if self._http is not None:
            self._http.connection_lost(exc)

    # Called by the channel, for the HTTP library.

    def set_http_paused(self, is_paused: bool) -> None:
        """Records whether the HTTP library takes input now."""
        was_paused = self._is_http_paused
        self._is_http_paused = is_paused
        if was_paused and not is_paused:
            asyncio.get_running_loop().call_soon(self.retry)

    def set_closing(self) -> None:
        """Records that the connection closes when its output was read."""
        self._table.set_unfinished(self)

    # Called around the handler of a request.

    def begin_request(self, request: web.BaseRequest) -> None:
        """Expects the body of a request that was parsed."""
        framing = self._framing
        self._content = request.content
        self._is_answered = False
        self._chunk_memory = 0
        self._size = request.content_length or 0
        if request.method == hdrs.METH_CONNECT or not request.body_exists:
            framing.end_body()
        elif hdrs.TRANSFER_ENCODING in request.headers:
            framing.expect_chunked_body()
        else:
            framing.expect_sized_body(self._size)
        if framing.phase is Phase.COMPLETE:
            self._table.set_busy(self)
        elif framing.pending:
            self.share.submit(self)
            self._update_reading()

    def is_body_too_long(self) -> bool:
        """Returns whether the body is announced as longer than allowed."""
        most = self._limits.max_body_bytes
        return most is not None and self._size > most

    def end_request(self) -> None:
        """Goes on to the next request once the body of this one is over."""
        self._is_answered = True
        if self._framing.phase is Phase.COMPLETE:
            self._next_request()
        else:
            self.retry()

    # Called by the table and the share of the loop.

    def close_for(self, cause: str) -> None:
        """Closes the connection, at once unless an answer is on its way."""
        del cause
        transport = self._transport
        if transport is None:
            return
        if self._is_answered and not transport.get_write_buffer_size():
            transport.close()
        else:
            transport.abort()

    def retry(self) -> None:
        """Tries to go on."""
        if self._transport is not None:
            self.share.submit(self)
            self._update_reading()

    def step(self) -> bool:
        """Hands some input on; returns whether there is more."""
        if self._transport is None or self._transport.is_closing():
            self._framing.pending.clear()
            return False
        has_more = False
        try:
            if self._framing.phase is Phase.HEAD:
                self._step_head()
            elif self._framing.phase in _BODY_PHASES:
                has_more = self._step_body()
        except Exception:
            self._table.close(self, "failed")
            raise
        self._update_reading()
        return has_more

    def _step_head(self) -> None:
        framing = self._framing
        # They change with the operator's configuration.
        self._limits = self._find_limits()
        head_bytes = framing.find_head()
        size = len(framing.pending) if head_bytes is None else head_bytes
        if framing.received + size > self._limits.max_head_bytes:
            self._refuse_head()
            return
        if head_bytes is None or not self._table.reserve(
            self, head_bytes * _HEAD_MEMORY_FACTOR
        ):
            return
        if self._http is None:
            assert self._channel is not None
            self._http = cast(asyncio.Protocol, self._server())
            self._http.connection_made(self._channel)
        self._http.data_received(framing.take_head(head_bytes))

    def _step_body(self) -> bool:
        framing = self._framing
        is_chunked = framing.phase is Phase.CHUNKED_BODY
        if is_chunked and self._is_body_over():
            return bool(framing.pending)
        if self._is_http_paused or not framing.pending:
            return False
        if not self._reserve_body():
            return False
        step_bytes = _CHUNKED_STEP_BYTES if is_chunked else RECEIVE_BYTES
        part = framing.take_body(step_bytes)
        if is_chunked:
            self._chunk_memory += memory_of_chunks(part)
        assert self._http is not None
        self._http.data_received(part)
        if is_chunked:
            self._is_body_over()
        if framing.phase is Phase.COMPLETE:
            self._complete()
            return False
        if is_chunked and self._is_chunked_body_too_long():
            self._table.close(self, "body_too_long")
            return False
        return bool(framing.pending) and not self._is_http_paused

    def _is_body_over(self) -> bool:
        """Ends a body in chunks if the HTTP library has parsed its end."""
        assert self._content is not None
        if not self._content.is_eof():
            return False
        self._framing.end_body()
        return True

    def _reserve_body(self) -> bool:
        """Reserves memory for the body, of known size all at once."""
        if self._is_answered:
            # The rest is dropped.
            return True
        if self.is_body_too_long():
            return False
        if self._framing.phase is Phase.SIZED_BODY:
            size = self._size * _BODY_MEMORY_FACTOR
        else:
            held = self._chunk_memory + _CHUNKED_STEP_BYTES
            steps = held * _BODY_MEMORY_FACTOR // _RESERVED_STEP_BYTES
            size = (steps + 1) * _RESERVED_STEP_BYTES
            if held < _CHUNKED_STEP_BYTES * 2:
                size = held * _BODY_MEMORY_FACTOR
        most = self._limits.max_held_bytes
        if most is not None:
            size = min(size, most)
        return size <= self.held_bytes or self._table.reserve(self, size)

    def _is_chunked_body_too_long(self) -> bool:
        limits = self._limits
        if limits.max_body_bytes is None:
            return False
        most = limits.max_body_bytes * _MAX_CHUNKED_FACTOR
        return self._framing.received > most + limits.max_head_bytes

    def _complete(self) -> None:
        """Waits for the answer, unless it was given before the body's end."""
        self._table.set_busy(self)
        if self._is_answered:
            self._next_request()

    def _next_request(self) -> None:
        self._framing.end_request()
        self._content = None
        self.used_s = 0.0
        self._table.set_idle(self)
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._framing.pending:
            self._table.set_unfinished(self)
            self.share.submit(self)
        self._update_reading()

    def _refuse_head(self) -> None:
        transport = self._transport
        assert transport is not None
        self._table.count_closed("head_too_long")
        self._framing.pending.clear()
        if not transport.get_write_buffer_size():
            transport.write(_HEAD_TOO_LONG)
        if transport.get_write_buffer_size():
            transport.abort()
        else:
            transport.close()

    def _update_reading(self) -> None:
        """Receives nothing more while enough waits to be handed on."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        is_full = len(self._framing.pending) >= RECEIVE_BYTES
        if self._framing.phase is Phase.HEAD and not self.is_queued:
            is_full = False
        if is_full and self._is_reading:
            transport.pause_reading()
        elif not is_full and not self._is_reading:
            transport.resume_reading()
        self._is_reading = not is_full
