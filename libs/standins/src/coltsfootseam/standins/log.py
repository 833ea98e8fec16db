"""Stand-in of the platform's append-only log."""

import argparse
import asyncio
import time
from collections import deque

import msgspec
from aiohttp import web

from coltsfootseam.standins.serving import json_response, serve_forever

_MS_PER_S = 1000
_RATE_WINDOW_S = 1.0


class LogFaults(msgspec.Struct):
    """Faults and limits of the log.

    Attributes:
        down: Every call gets status 503 and has no effect.
        latency_ms: Additional duration of every call.
        lose_answer_every: The reply to every n-th append is lost after the
            record was appended; 0 for none.
        appends_per_s: Appends beyond this rate are refused.
        retention_records: Number of latest records that are kept; 0 for all.
    """

    down: bool = False
    latency_ms: int = 0
    lose_answer_every: int = 0
    appends_per_s: int = 400
    retention_records: int = 0


class _Entry(msgspec.Struct):
    offset: int
    text: str


class _Page(msgspec.Struct):
    first_offset: int
    next_offset: int
    entries: list[_Entry]


class _Append(msgspec.Struct):
    text: str


class _Appended(msgspec.Struct):
    offset: int


class LogStandIn:
    """Keeps the records of one log in memory."""

    def __init__(self) -> None:
        self.faults = LogFaults()
        self._entries: deque[_Entry] = deque()
        self._next_offset = 0
        self._append_count = 0
        self._recent_append_times_s: deque[float] = deque()
        self._appended = asyncio.Condition()

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the faults."""
        self.faults = msgspec.json.decode(await request.read(), type=LogFaults)
        self._expire()
        return json_response(self.faults)

    async def append(self, request: web.Request) -> web.StreamResponse:
        """Appends one record."""
        body = msgspec.json.decode(await request.read(), type=_Append)
        await asyncio.sleep(self.faults.latency_ms / _MS_PER_S)
        if self.faults.down:
            return web.Response(status=503)
        if self._is_over_rate():
            return web.Response(status=429)
        offset = self._next_offset
        self._next_offset += 1
        self._entries.append(_Entry(offset, body.text))
        self._expire()
        async with self._appended:
            self._appended.notify_all()
        self._append_count += 1
        interval = self.faults.lose_answer_every
        if interval and self._append_count % interval == 0:
            assert request.transport is not None
            request.transport.abort()
        return json_response(_Appended(offset))

    async def read(self, request: web.Request) -> web.Response:
        """Responds with records, waiting until there is one."""
        start = int(request.query["from"])
        wait_s = int(request.query["wait_ms"]) / _MS_PER_S
        await asyncio.sleep(self.faults.latency_ms / _MS_PER_S)
        if self.faults.down:
            return web.Response(status=503)
        try:
            async with asyncio.timeout(wait_s), self._appended:
                await self._appended.wait_for(
                    lambda: self._next_offset != start or self.faults.down
                )
        except TimeoutError:
            pass
        if self.faults.down:
            return web.Response(status=503)
        return json_response(self._page(start, int(request.query["limit"])))

    def _page(self, start: int, limit: int) -> _Page:
        first = self._entries[0].offset if self._entries else self._next_offset
        entries: list[_Entry] = []
        if start >= first:
            skip = start - first
            stop = min(len(self._entries), skip + limit)
            entries = [self._entries[index] for index in range(skip, stop)]
        return _Page(first, self._next_offset, entries)

    def _is_over_rate(self) -> bool:
        now_s = time.monotonic()
        times = self._recent_append_times_s
        while times and times[0] < now_s - _RATE_WINDOW_S:
            times.popleft()
        if len(times) >= self.faults.appends_per_s:
            return True
        times.append(now_s)
        return False

    def _expire(self) -> None:
        max_entries = self.faults.retention_records
        while max_entries and len(self._entries) > max_entries:
            self._entries.popleft()


async def serve_log(arguments: argparse.Namespace) -> None:
    """Serves the log until cancelled."""
    log = LogStandIn()
    app = web.Application(client_max_size=16 * 1024 * 1024)
    app.add_routes(
        [
            web.post("/records", log.append),
            web.get("/records", log.read),
            web.post("/faults", log.set_faults),
        ]
    )
    await serve_forever(app, arguments.listen)
