"""Large replies over slow links."""

import asyncio
import base64
import time

import msgspec
from aiohttp import web

from coltsfootseam.adapter.store import StoreClient
from coltsfootseam.calls.http import HttpClient, NoReply, Reply
from coltsfootseam.standins.serving import serving
from coltsfootseam.store import LatestPage, Partition
from coltsfootseam.timers import LoopTimers

ADDRESS = "127.135.77.1:9100"
PIECES = 16
PIECE_INTERVAL_S = 0.1
SLOW_PIECE_INTERVAL_S = 0.35


def page_body() -> bytes:
    """Returns a page of latest records as the store encodes it."""
    items = [
        {
            "key": f"pool/{number:04}",
            "offset": number,
            "value": base64.b64encode(b"x" * 200).decode(),
        }
        for number in range(100)
    ]
    return msgspec.json.encode({"items": items, "more": False, "end": 100})


async def reply_slowly(request: web.Request) -> web.StreamResponse:
    """Sends a page in pieces, as over a slow link."""
    body = page_body()
    response = web.StreamResponse()
    response.content_length = len(body)
    await response.prepare(request)
    size = -(-len(body) // PIECES)
    pause_s = (
        SLOW_PIECE_INTERVAL_S if "slower" in request.query else PIECE_INTERVAL_S
    )
    for start in range(0, len(body), size):
        await response.write(body[start : start + size])
        await asyncio.sleep(pause_s)
    return response


async def never_reply(request: web.Request) -> web.Response:
    """Accepts a request and never replies."""
    del request
    await asyncio.Event().wait()
    return web.Response()


def application() -> web.Application:
    """Returns a server with a slow and an unresponsive resource."""
    app = web.Application()
    app.router.add_get("/api/log-newest", reply_slowly)
    app.router.add_get("/unresponsive", never_reply)
    return app


# A page that takes 1.6 s over a slow link was cut off after 1.2 s each time, so
# after a takeover the owner never loaded its pool and jobs were lost.
async def test_a_page_that_is_still_arriving_is_not_cut_off() -> None:
    store = StoreClient(ADDRESS, LoopTimers())
    async with serving(application(), ADDRESS, shutdown_s=0.1):
        page = await store.latest_page(Partition("inbox.1"))
        await store.close()
    assert isinstance(page, LatestPage)
    assert len(page.records) == 100


# An unanswered call closed the connection of a large reply that was arriving at
# the same time, and jobs were lost after a takeover.
async def test_an_unanswered_call_does_not_cut_off_a_large_reply() -> None:
    client = HttpClient(ADDRESS, 4)
    async with serving(application(), ADDRESS, shutdown_s=0.1):
        large = asyncio.ensure_future(
            client.call("GET", "/api/log-newest?slower=1", 12.0, idle_s=1.2)
        )
        unanswered = await client.call("GET", "/unresponsive", 0.1)
        assert isinstance(unanswered, NoReply)
        assert isinstance(await large, Reply)
        await client.close()


# The other extreme: an unresponsive connection must not block a reader for as
# long as a large reply may take.
async def test_an_unanswered_call_fails_after_the_idle_limit() -> None:
    client = HttpClient(ADDRESS, 4)
    async with serving(application(), ADDRESS, shutdown_s=0.1):
        started_s = time.monotonic()
        reply = await client.call("GET", "/unresponsive", 12.0, idle_s=0.3)
        assert time.monotonic() - started_s < 6.0
        assert isinstance(reply, NoReply)
        await client.close()
