"""Claims of a journal: unique epochs, and refusal of former owners."""

import asyncio

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.standins.memory_store import MemoryStore
from coltsfootseam.store import (
    Claim,
    Journal,
    KeyedRecord,
    Partition,
    claim_journal,
)
from coltsfootseam.timers import VirtualTimers

PARTITION = Partition("pool.x", 1)


async def claim(
    store: MemoryStore, owner: str, name: str = "pool.x"
) -> Journal:
    timers = store.timers
    assert isinstance(timers, VirtualTimers)
    task = asyncio.ensure_future(
        claim_journal(
            store.client(), timers, PARTITION, name, Claim(owner, "a:1")
        )
    )
    while not task.done():
        await timers.advance(0.01)
    journal = task.result()
    assert isinstance(journal, Journal)
    return journal


async def commit(store: MemoryStore, journal: Journal) -> Refusal | None:
    timers = store.timers
    assert isinstance(timers, VirtualTimers)
    task = asyncio.ensure_future(journal.commit([KeyedRecord("k", b"v")]))
    while not task.done():
        await timers.advance(0.01)
    return task.result()


async def test_two_claims_never_share_an_epoch() -> None:
    store = MemoryStore(VirtualTimers())
    first = await claim(store, "one")
    second = await claim(store, "two")
    assert second.epoch > first.epoch


async def test_concurrent_claims_never_share_an_epoch() -> None:
    store = MemoryStore(VirtualTimers())
    journals = await asyncio.gather(
        claim(store, "one"), claim(store, "two"), claim(store, "three")
    )
    assert len({journal.epoch for journal in journals}) == 3


async def test_an_owner_that_was_followed_can_not_append() -> None:
    store = MemoryStore(VirtualTimers())
    first = await claim(store, "one")
    assert await commit(store, first) is None
    second = await claim(store, "two")
    refusal = await commit(store, first)
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.STALE_EPOCH
    assert first.is_lost
    assert await commit(store, second) is None


async def test_claims_with_lost_replies_have_rising_epochs() -> None:
    store = MemoryStore(VirtualTimers(), seed=3)
    client = store.client()
    client.faults.lost_reply_share = 0.5
    timers = store.timers
    assert isinstance(timers, VirtualTimers)
    epochs = []
    for number in range(12):
        task = asyncio.ensure_future(
            claim_journal(
                client, timers, PARTITION, "pool.x", Claim(str(number), "a:1")
            )
        )
        while not task.done():
            await timers.advance(0.01)
        journal = task.result()
        if isinstance(journal, Journal):
            epochs.append(journal.epoch)
    assert len(epochs) == len(set(epochs))
    assert epochs == sorted(epochs)


async def test_owners_that_share_a_partition_leave_each_other() -> None:
    store = MemoryStore(VirtualTimers())
    first = await claim(store, "one", "pool.x")
    other = await claim(store, "two", "pool.y")
    assert await commit(store, first) is None
    assert await commit(store, other) is None
    later = await claim(store, "three", "pool.y")
    assert await commit(store, other) is not None
    assert await commit(store, first) is None
    assert await commit(store, later) is None


async def test_confirming_during_an_append_does_not_replace_it() -> None:
    timers = VirtualTimers()
    store = MemoryStore(timers)
    client = store.client()
    claiming = asyncio.ensure_future(
        claim_journal(client, timers, PARTITION, "pool.x", Claim("one", "a:1"))
    )
    await timers.advance(0.1)
    journal = claiming.result()
    assert isinstance(journal, Journal)
    client.faults.is_down = True
    commit_task = asyncio.ensure_future(
        journal.commit([KeyedRecord("k", b"v")])
    )
    await timers.advance(0.01)
    client.faults.is_down = False
    # The store recovers, and the owner confirms before its append is repeated.
    confirming = asyncio.ensure_future(journal.confirm())
    await timers.advance(1.0)
    assert confirming.done()
    assert commit_task.result() is None
    assert store.partition_log(PARTITION).latest_by_key["k"].value == b"v"
