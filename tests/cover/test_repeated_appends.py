"""Appends that are repeated until the store settles them."""

import asyncio
from collections.abc import Sequence

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.standins.memory_store import MemoryStore, MemoryStoreClient
from coltsfootseam.store import (
    Appended,
    Journal,
    KeyedRecord,
    Partition,
    Writer,
)
from coltsfootseam.timers import VirtualTimers

REPLY_DELAY_S = 0.001
OBSERVED_S = 5.0
MAX_CALLS_PER_S = 20


class ResettingClient(MemoryStoreClient):
    """A way to the store on which each append is broken off at once."""

    calls = 0

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        writer: Writer | None = None,
    ) -> Appended | Refusal:
        """Is broken off; nobody can tell whether it takes effect."""
        del partition, records, writer
        self.calls += 1
        await self._timers.sleep(REPLY_DELAY_S)
        return Refusal(ResultCode.OUTCOME_PENDING, "connection reset")


# Guards against thousands of priced calls a second, and a processor that does
# nothing else, while the store resets a host's connections.
async def test_an_append_that_is_reset_is_repeated_with_pauses() -> None:
    timers = VirtualTimers()
    store = MemoryStore(timers)
    client = ResettingClient(store, store._random, timers)
    journal = Journal(client, timers, Partition("journal.1"), "pool.p", 1)
    committing = asyncio.ensure_future(
        journal.commit([KeyedRecord("p/job", b"progress")])
    )
    for _ in range(round(OBSERVED_S / REPLY_DELAY_S)):
        await timers.advance(REPLY_DELAY_S)
    committing.cancel()
    assert client.calls <= MAX_CALLS_PER_S * OBSERVED_S
