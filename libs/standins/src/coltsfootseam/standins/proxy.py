"""Stand-in of a network path: a TCP proxy that delays, silences and cuts."""

import argparse
import asyncio

import msgspec
from aiohttp import web

from coltsfootseam.standins.serving import json_response, serve_forever

_MS_PER_S = 1000
_READ_BYTES = 64 * 1024


class ProxyFaults(msgspec.Struct):
    """What is wrong with the path.

    Attributes:
        delay_ms: Every piece of data arrives this much later, one way.
        refuse: New connections are closed at once.
        silence_open: Connections open now carry nothing more and stay open,
            while new ones work.
        silence_all: Nothing passes on any connection, new ones included.
        cut: Connections open now are reset.
    """

    delay_ms: int = 0
    refuse: bool = False
    silence_open: bool = False
    silence_all: bool = False
    cut: bool = False


class ProxyTally(msgspec.Struct):
    """What has passed, in bytes, and connections opened."""

    bytes_to_target: int = 0
    bytes_from_target: int = 0
    connections: int = 0


class _Connection:
    __slots__ = ("is_silent", "writers")

    def __init__(self) -> None:
        self.is_silent = False
        self.writers: list[asyncio.StreamWriter] = []


class ProxyStandIn:
    """Passes bytes between callers and one target."""

    def __init__(self, target: str) -> None:
        host, _, port = target.partition(":")
        self._host = host
        self._port = int(port)
        self._connections: set[_Connection] = set()
        self.faults = ProxyFaults()
        self.tally = ProxyTally()

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the faults; silences or cuts what is open."""
        self.faults = msgspec.json.decode(
            await request.read(), type=ProxyFaults
        )
        for link in list(self._connections):
            if self.faults.silence_open:
                link.is_silent = True
            if self.faults.cut:
                _abort(link)
        return json_response(self.faults)

    async def show_tally(self, request: web.Request) -> web.Response:
        """Answers with the tally."""
        del request
        return json_response(self.tally)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Carries one connection."""
        link = _Connection()
        link.writers.append(writer)
        self.tally.connections += 1
        self._connections.add(link)
        try:
            if self.faults.refuse:
                return
            await self._forward(link, reader, writer)
        except OSError:
            pass
        finally:
            self._connections.discard(link)
            _abort(link)

    async def _forward(
        self,
        link: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            self._host, self._port
        )
        link.writers.append(target_writer)
        pumps = (
            asyncio.ensure_future(
                self._pump(link, reader, target_writer, True)
            ),
            asyncio.ensure_future(
                self._pump(link, target_reader, writer, False)
            ),
        )
        try:
            await asyncio.gather(*pumps)
        finally:
            for pump in pumps:
                pump.cancel()

    async def _pump(
        self,
        link: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        while data := await reader.read(_READ_BYTES):
            if self.faults.delay_ms:
                await asyncio.sleep(self.faults.delay_ms / _MS_PER_S)
            # What reaches a silent link is lost, and nobody is told.
            if link.is_silent or self.faults.silence_all:
                continue
            if to_target:
                self.tally.bytes_to_target += len(data)
            else:
                self.tally.bytes_from_target += len(data)
            writer.write(data)
            await writer.drain()
        if link.is_silent or self.faults.silence_all:
            await asyncio.Event().wait()
        writer.write_eof()


def _abort(link: _Connection) -> None:
    for writer in link.writers:
        writer.transport.abort()


async def serve_proxy(arguments: argparse.Namespace) -> None:
    """Serves a proxy and its control interface until it is cancelled."""
    proxy = ProxyStandIn(arguments.target)
    app = web.Application()
    app.add_routes(
        [
            web.post("/faults", proxy.set_faults),
            web.get("/tally", proxy.show_tally),
        ]
    )
    host, _, port = arguments.listen.partition(":")
    server = await asyncio.start_server(
        proxy.accept, host, int(port), backlog=1024
    )
    async with server:
        await serve_forever(app, arguments.control)
