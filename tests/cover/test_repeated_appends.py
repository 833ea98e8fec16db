"""Appends that are repeated until the store accepts or refuses them."""

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
    """A client whose connection is reset by each append."""

    calls = 0

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        writer: Writer | None = None,
    ) -> Appended | Refusal:
        """Fails with an unknown outcome."""
        del partition, records, writer
        self.calls += 1
        await self._timers.sleep(REPLY_DELAY_S)
        return Refusal(ResultCode.OUTCOME_PENDING, "connection reset")


# While the store reset a host's connections, the host repeated its append
# without a pause: thousands of priced calls per second, and a busy processor.
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
