"""Servers whose connections stay within the limits of their port."""

import contextlib
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from aiohttp import hdrs, web

from coltsfootseam.connections.internal.channel import Channel
from coltsfootseam.connections.internal.connection import (
    RECEIVE_BYTES,
    Connection,
)
from coltsfootseam.connections.internal.http_log import bounded_logger
from coltsfootseam.connections.internal.listener import Listener
from coltsfootseam.connections.port import Port

MAX_HEAD_BYTES = 65_536
"""The longest head that a port can be set to accept."""

_KEEPALIVE_TIMEOUT_S = 75.0
_SMALL_WORK_BYTES = 16 * 1024
_WORK_S_PER_BYTE = 1e-7

HttpHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


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
        "logger": bounded_logger(),
        "keepalive_timeout": _KEEPALIVE_TIMEOUT_S,
        "max_line_size": MAX_HEAD_BYTES,
        "max_field_size": MAX_HEAD_BYTES,
        "read_bufsize": RECEIVE_BYTES,
        "auto_decompress": False,
    }


def _guard_application(app: web.Application) -> None:
    """Has an application answer one request of a connection at a time."""

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
        await listener.stop()
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
    if request.method == hdrs.METH_CONNECT:
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
