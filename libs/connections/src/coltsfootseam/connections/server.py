"""Servers whose connections stay within the limits of their port."""

import asyncio
import contextlib
import errno
import logging
import socket
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web
from aiohttp.http import HttpProcessingError

from coltsfootseam.connections.internal.channel import Channel
from coltsfootseam.connections.internal.connection import (
    RECEIVE_BYTES,
    Connection,
)
from coltsfootseam.connections.internal.table import ConnectionTable, Report
from coltsfootseam.connections.limits import PortLimits, RequestLimits
from coltsfootseam.connections.loop_share import LoopShare

MAX_HEAD_BYTES = 65_536
"""The longest head that a port can be set to accept."""

_LISTEN_BACKLOG = 512
_SEND_BUFFER_BYTES = 32 * 1024
_ACCEPTS_AT_ONCE = 16
_MAX_LOGGED_PER_S = 5
_ACCEPT_RETRY_S = 0.1
_KEEPALIVE_TIMEOUT_S = 75.0
_SMALL_WORK_BYTES = 16 * 1024
_WORK_S_PER_BYTE = 1e-7

HttpHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class Port(msgspec.Struct, frozen=True):
    """What a port serves, and within which limits.

    Attributes:
        address: Host and port to listen on.
        limits: What all its connections may use.
        share: The share of the loop that all ports of a process use together.
        report: Is told how many connections were closed, and why.
        request_limits: Returns what a request may be.
    """

    address: str
    limits: PortLimits
    share: LoopShare
    report: Report
    request_limits: Callable[[], RequestLimits] = RequestLimits


class Listener:
    """Accepts connections of a port.

    Attributes:
        table: The open connections.
    """

    def __init__(self, server: web.Server, port: Port) -> None:
        self._server = server
        self._port = port
        self.table = ConnectionTable(port.limits, port.report)
        self._socket = _listening_socket(port.address)
        self._connecting: set[asyncio.Task[None]] = set()
        self._task = asyncio.ensure_future(self._accept_all())

    def stop(self) -> None:
        """Accepts no more connections; those that are open stay."""
        self._task.cancel()
        self._socket.close()

    async def _accept_all(self) -> None:
        loop = asyncio.get_running_loop()
        accepted = 0
        while True:
            try:
                client, _ = await loop.sock_accept(self._socket)
            except OSError as error:
                if error.errno != errno.ECONNABORTED:
                    self.table.count_closed("accept_failed")
                    await asyncio.sleep(_ACCEPT_RETRY_S)
                continue
            try:
                await self.table.wait_for_slot()
            except BaseException:
                client.close()
                raise
            task = asyncio.ensure_future(self._connect(client))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
            accepted += 1
            if accepted % _ACCEPTS_AT_ONCE == 0:
                await asyncio.sleep(0)

    async def _connect(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with self.table.connecting():
            try:
                await loop.connect_accepted_socket(self._make, client)
            except OSError:
                client.close()

    def _make(self) -> Connection:
        return Connection(
            self._server,
            self._port.request_limits,
            self.table,
            self._port.share,
        )


def make_server(handler: HttpHandler) -> web.Server:
    """Returns a server of a handler, for ``serving_connections``."""

    async def handle(request: web.BaseRequest) -> web.StreamResponse:
        return await _serve(request, handler)

    return web.Server(handle, **_server_options())


def _server_options() -> dict[str, Any]:
    """Returns the options of the HTTP library's servers.

    Bodies are not unpacked: what is received is what is held.
    """
    return {
        "access_log": None,
        "logger": _logger(),
        "keepalive_timeout": _KEEPALIVE_TIMEOUT_S,
        "max_line_size": MAX_HEAD_BYTES,
        "max_field_size": MAX_HEAD_BYTES,
        "read_bufsize": RECEIVE_BYTES,
        "auto_decompress": False,
    }


def _guard_application(app: web.Application) -> None:

    @web.middleware
    async def middleware(
        request: web.Request,
        handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
    ) -> web.StreamResponse:
        async def handle(_: web.BaseRequest) -> web.StreamResponse:
            return await handler(request)

        return await _serve(request, handle)

    app.middlewares.append(middleware)


@contextlib.asynccontextmanager
async def working_on(
    request: web.BaseRequest, size: int
) -> AsyncIterator[None]:
    """Waits for the request's share of the loop; the work is done inside.

    Args:
        request: The request.
        size: Bytes to work on. Little work goes first, and very little is done
            at once.
    """
    channel = request.transport
    if size <= _SMALL_WORK_BYTES or not isinstance(channel, Channel):
        yield
        return
    assert isinstance(channel.owner, Connection)
    share = channel.owner.share
    await share.wait_turn(size * _WORK_S_PER_BYTE)
    started_s = time.perf_counter()
    try:
        yield
    finally:
        share.charge(time.perf_counter() - started_s)


@contextlib.asynccontextmanager
async def serving_connections(
    server: web.Server, port: Port, shutdown_timeout_s: float
) -> AsyncIterator[Listener]:
    """Serves a port while the context is open.

    Args:
        server: A server of ``make_server``.
        port: The port.
        shutdown_timeout_s: How long requests may take when the context closes.
    """
    listener = Listener(server, port)
    try:
        yield listener
    finally:
        listener.stop()
        await asyncio.sleep(0)
        server.pre_shutdown()
        await server.shutdown(shutdown_timeout_s)
        listener.table.close_all()


@contextlib.asynccontextmanager
async def serving_application(
    app: web.Application, port: Port, shutdown_timeout_s: float
) -> AsyncIterator[Listener]:
    """Serves an application at a port while the context is open."""
    _guard_application(app)
    runner = web.AppRunner(app, **_server_options())
    await runner.setup()
    server = runner.server
    assert server is not None
    try:
        async with serving_connections(
            server, port, shutdown_timeout_s
        ) as listener:
            yield listener
    finally:
        await runner.cleanup()


class _LogFilter(logging.Filter):
    """Leaves out what clients cause, and most of what repeats."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether a record is logged."""
        if record.exc_info and isinstance(
            record.exc_info[1], HttpProcessingError
        ):
            return False
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        return self._count <= _MAX_LOGGED_PER_S


def _logger() -> logging.Logger:
    logger = logging.getLogger("coltsfootseam.connections")
    if not logger.filters:
        logger.addFilter(_LogFilter())
    return logger


async def _serve(
    request: web.BaseRequest, handler: HttpHandler
) -> web.StreamResponse:
    """Handles a request and sends the answer, before anything behind it."""
    channel = request.transport
    if not isinstance(channel, Channel):
        # The client is gone.
        return web.Response(status=400)
    connection = channel.owner
    assert isinstance(connection, Connection)
    connection.begin_request(request)
    try:
        if connection.is_body_too_long():
            response: web.StreamResponse = web.Response(status=413)
        else:
            response = await _handle(request, handler)
        with contextlib.suppress(ConnectionError):
            await response.prepare(request)
            await response.write_eof()
        return response
    finally:
        connection.end_request()


async def _handle(
    request: web.BaseRequest, handler: HttpHandler
) -> web.StreamResponse:
    if request.method == "CONNECT":
        refusal = web.Response(status=405)
        refusal.force_close()
        return refusal
    try:
        return await handler(request)
    except web.HTTPException as error:
        return error
    except (ConnectionError, web.RequestPayloadError):
        if request.transport is not None:
            raise
        # The client is gone, so nobody gets this.
        return web.Response(status=400)


def _listening_socket(address: str) -> socket.socket:
    """Returns a listening socket; connections inherit its buffer sizes."""
    host, _, port = address.partition(":")
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
        )
        listening.setblocking(False)
        listening.bind((host, int(port)))
        listening.listen(_LISTEN_BACKLOG)
    except BaseException:
        listening.close()
        raise
    return listening
