"""HTTP serving that the stand-ins share."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import msgspec
from aiohttp import web

_SHUTDOWN_TIMEOUT_S = 60.0
_BACKLOG = 1024


@contextlib.asynccontextmanager
async def serving(
    app: web.Application, address: str, shutdown_s: float = _SHUTDOWN_TIMEOUT_S
) -> AsyncIterator[None]:
    """Serves an application while the context is open.

    Args:
        app: The application.
        address: ``HOST:PORT`` to listen on.
        shutdown_s: Time that requests in progress have to finish when the
            context closes.
    """
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=shutdown_s)
    await runner.setup()
    host, _, port = address.partition(":")
    await web.TCPSite(runner, host, int(port), backlog=_BACKLOG).start()
    try:
        yield
    finally:
        await runner.cleanup()


async def serve_forever(app: web.Application, address: str) -> None:
    """Serves an application until cancelled."""
    async with serving(app, address):
        await asyncio.Event().wait()


def json_response(value: Any, status: int = 200) -> web.Response:
    """Returns a response with a value as JSON."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
    )
