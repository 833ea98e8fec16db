"""Large appends over slow links."""

import asyncio

from aiohttp import web

from coltsfootseam.adapter.store import StoreClient
from coltsfootseam.standins.serving import serving
from coltsfootseam.store import Journal, KeyedRecord, Partition
from coltsfootseam.timers import LoopTimers

ADDRESS = "127.135.77.2:9100"
RECORDS = 10
RECORD_BYTES = 100_000
PIECE_BYTES = 50_000
PIECE_INTERVAL_S = 0.1
TIMEOUT_S = 15.0


async def receive_slowly(request: web.Request) -> web.Response:
    """Receives an append in pieces, as over a slow link."""
    async for _ in request.content.iter_chunked(PIECE_BYTES):
        await asyncio.sleep(PIECE_INTERVAL_S)
    return web.json_response({"offset": 0, "end": RECORDS})


# An append that takes 2 s over a slow link was cut off after 1.2 s each time,
# so an active owner never started a task again, and no log line reported it.
async def test_an_append_that_is_still_being_sent_is_not_cut_off() -> None:
    app = web.Application(client_max_size=0)
    app.router.add_post("/api/log-append", receive_slowly)
    timers = LoopTimers()
    store = StoreClient(ADDRESS, timers)
    journal = Journal(store, timers, Partition("journal.1"), "pool.p", 1)
    records = [
        KeyedRecord(f"p/{number}", b"x" * RECORD_BYTES)
        for number in range(RECORDS)
    ]
    async with serving(app, ADDRESS, shutdown_s=0.1):
        committing = asyncio.ensure_future(journal.commit(records))
        await asyncio.wait([committing], timeout=TIMEOUT_S)
        is_stored = committing.done()
        committing.cancel()
        await store.close()
    assert is_stored
