"""Serving a stand-in over HTTP."""

import asyncio
from typing import Any

import msgspec
from aiohttp import web


async def serve_forever(app: web.Application, address: str) -> None:
    """Serves an application until it is cancelled."""
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, _, port = address.partition(":")
    await web.TCPSite(runner, host, int(port), backlog=1024).start()
    try:
        await asyncio.Event().wait()
    finally:
        await runner.cleanup()


def json_response(value: Any, status: int = 200) -> web.Response:
    """Returns a value as JSON."""
    return web.Response(
        status=status,
        body=msgspec.json.encode(value),
        content_type="application/json",
    )
