"""A context manager that serves HTTP at an address."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable

from aiohttp import web

_KEEPALIVE_TIMEOUT_S = 75.0
_SHUTDOWN_TIMEOUT_S = 0.05
_LISTEN_BACKLOG = 512

HttpHandler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


@contextlib.asynccontextmanager
async def serving_http(
    handler: HttpHandler, address: str
) -> AsyncIterator[None]:
    """Serves HTTP while the context is open.

    Args:
        handler: Handles each request.
        address: Host and port to listen on.
    """
    server = web.Server(
        handler, access_log=None, keepalive_timeout=_KEEPALIVE_TIMEOUT_S
    )
    runner = web.ServerRunner(server, shutdown_timeout=_SHUTDOWN_TIMEOUT_S)
    await runner.setup()
    host, _, port = address.partition(":")
    await web.TCPSite(runner, host, int(port), backlog=_LISTEN_BACKLOG).start()
    try:
        yield
    finally:
        await runner.cleanup()
