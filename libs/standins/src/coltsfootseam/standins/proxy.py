"""Stand-in of a network path: a TCP proxy that delays or drops data."""

import argparse
import asyncio

import msgspec
from aiohttp import web

from coltsfootseam.standins.serving import json_response, serve_forever

_MS_PER_S = 1000
_READ_BYTES = 64 * 1024


class ProxyFaults(msgspec.Struct):
    """Faults of the path.

    Attributes:
        delay_ms: Delay of all data, in each direction.
        refuse: New connections are closed at once.
        silence_open: Connections that are open when the fault is set stay
            open but drop all further data, while new ones work.
        silence_all: All connections, including new ones, drop all data.
        cut: Connections that are open when the fault is set are reset.
        hold_to_target: Data and ends of connections from the callers wait
            until the fault ends, as on a path that resends lost packets.
        hold_from_target: The same for what the target sends.
    """

    delay_ms: int = 0
    refuse: bool = False
    silence_open: bool = False
    silence_all: bool = False
    cut: bool = False
    hold_to_target: bool = False
    hold_from_target: bool = False


class ProxyTally(msgspec.Struct):
    """Bytes that were forwarded and connections that were opened."""

    bytes_to_target: int = 0
    bytes_from_target: int = 0
    connections: int = 0


class _Connection:
    __slots__ = ("is_silenced", "task", "writers")

    def __init__(self) -> None:
        self.is_silenced = False
        self.task = asyncio.current_task()
        self.writers: list[asyncio.StreamWriter] = []


class ProxyStandIn:
    """Forwards bytes between callers and one target."""

    def __init__(self, target: str, max_hold_s: float = float("inf")) -> None:
        """Makes a proxy without faults.

        Args:
            target: ``HOST:PORT`` to connect to.
            max_hold_s: A connection whose data waited for longer is silenced.
        """
        self._max_hold_s = max_hold_s
        host, _, port = target.partition(":")
        self._host = host
        self._port = int(port)
        self._connections: set[_Connection] = set()
        self._to_target_open = asyncio.Event()
        self._from_target_open = asyncio.Event()
        self.apply(ProxyFaults())
        self.tally = ProxyTally()

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the faults and applies them to open connections."""
        self.apply(msgspec.json.decode(await request.read(), type=ProxyFaults))
        return json_response(self.faults)

    def apply(self, faults: ProxyFaults) -> None:
        """Replaces the faults and applies them to open connections."""
        self.faults = faults
        _set_event(self._to_target_open, not faults.hold_to_target)
        _set_event(self._from_target_open, not faults.hold_from_target)
        for connection in list(self._connections):
            if self.faults.silence_open:
                connection.is_silenced = True
            if self.faults.cut:
                _abort(connection)

    async def close(self) -> None:
        """Ends all connections."""
        tasks = [item.task for item in self._connections if item.task]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def show_tally(self, request: web.Request) -> web.Response:
        """Responds with the tally."""
        del request
        return json_response(self.tally)

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards one connection until it ends."""
        connection = _Connection()
        connection.writers.append(writer)
        self.tally.connections += 1
        self._connections.add(connection)
        try:
            if self.faults.refuse:
                return
            await self._forward(connection, reader, writer)
        except asyncio.CancelledError:
            # The server of the streams would report a task that is cancelled.
            return
        except OSError:
            # A reset doesn't pass the path while it holds data back.
            await self._to_target_open.wait()
            await self._from_target_open.wait()
        finally:
            self._connections.discard(connection)
            _abort(connection)

    async def _forward(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        target_reader, target_writer = await asyncio.open_connection(
            self._host, self._port
        )
        connection.writers.append(target_writer)
        pumps = (
            asyncio.ensure_future(
                self._pump(connection, reader, target_writer, True)
            ),
            asyncio.ensure_future(
                self._pump(connection, target_reader, writer, False)
            ),
        )
        try:
            await asyncio.gather(*pumps)
        finally:
            for pump in pumps:
                pump.cancel()

    async def _pump(
        self,
        connection: _Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        to_target: bool,
    ) -> None:
        is_open = self._to_target_open if to_target else self._from_target_open
        while data := await reader.read(_READ_BYTES):
            if self.faults.delay_ms:
                await asyncio.sleep(self.faults.delay_ms / _MS_PER_S)
            read_s = asyncio.get_running_loop().time()
            await is_open.wait()
            held_s = asyncio.get_running_loop().time() - read_s
            connection.is_silenced |= held_s > self._max_hold_s
            # Data is dropped without closing the connection, as on a path
            # that loses all packets.
            if connection.is_silenced or self.faults.silence_all:
                continue
            if to_target:
                self.tally.bytes_to_target += len(data)
            else:
                self.tally.bytes_from_target += len(data)
            writer.write(data)
            await writer.drain()
        if connection.is_silenced or self.faults.silence_all:
            await asyncio.Event().wait()
        await is_open.wait()
        writer.write_eof()


def _set_event(event: asyncio.Event, is_set: bool) -> None:
    if is_set:
        event.set()
    else:
        event.clear()


def _abort(connection: _Connection) -> None:
    for writer in connection.writers:
        writer.transport.abort()


async def serve_proxy(arguments: argparse.Namespace) -> None:
    """Serves a proxy and its control interface until cancelled."""
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
