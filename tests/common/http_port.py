"""A port with small limits in the test's own process, and a raw client."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from aiohttp import web

from coltsfootseam.connections import (
    HttpHandler,
    Listener,
    LoopShare,
    Port,
    PortLimits,
    RequestLimits,
    make_server,
    read_body,
    serving_connections,
)
from coltsfootseam.results import Refusal, http_status_for_code
from tests.common.ports import reserved_ports

MAX_BODY_BYTES = 100_000
LIMIT_S = 30.0


async def echo(request: web.BaseRequest) -> web.Response:
    """Returns the body, or the status of its refusal."""
    body = await read_body(request, MAX_BODY_BYTES)
    if isinstance(body, Refusal):
        return web.Response(status=http_status_for_code(body.code))
    return web.Response(body=body)


class TestPort:
    """A port that is served.

    Attributes:
        number: The number of the port.
        listener: The open connections.
        closed: Causes for which connections were closed, as reported.
    """

    __test__ = False

    def __init__(self, number: int) -> None:
        self.number = number
        self.listener: Listener | None = None
        self.closed: list[str] = []

    async def open(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Opens a connection."""
        return await asyncio.open_connection("127.0.0.1", self.number)

    async def exchange(self, *parts: bytes) -> bytes:
        """Sends parts on a connection of its own; returns all answers.

        The last request has to ask for the connection's end.
        """
        reader, writer = await self.open()
        try:
            for part in parts:
                writer.write(part)
                await writer.drain()
                await asyncio.sleep(0)
            async with asyncio.timeout(LIMIT_S):
                return await reader.read()
        finally:
            writer.transport.abort()


@contextlib.asynccontextmanager
async def serving_port(
    handler: HttpHandler = echo,
    max_connections: int = 20,
    max_bytes: int = 4 * 1024 * 1024,
) -> AsyncIterator[TestPort]:
    """Serves a handler with limits while the context is open."""
    with reserved_ports(1) as (number,):
        test_port = TestPort(number)

        def report(cause: str, count: int, open_count: int, held: int) -> None:
            del count, open_count, held
            test_port.closed.append(cause)

        port = Port(
            f"127.0.0.1:{number}",
            PortLimits(max_connections, max_bytes),
            LoopShare(),
            report,
            lambda: RequestLimits(max_body_bytes=MAX_BODY_BYTES),
        )
        async with serving_connections(
            make_server(handler), port, 0.1
        ) as listener:
            test_port.listener = listener
            yield test_port
