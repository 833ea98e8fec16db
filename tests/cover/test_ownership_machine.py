"""Stateful test of the ownership of a journal under faults of the store."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from coltsfootseam.results import Refusal
from coltsfootseam.standins.memory_store import MemoryStore, MemoryStoreClient
from coltsfootseam.store import (
    Claim,
    Journal,
    KeyedRecord,
    Partition,
    claim_journal,
)
from coltsfootseam.timers import VirtualTimers

PARTITION = Partition("journal.1", 3)
ROLE = "pool.x"
KEYS = st.sampled_from(["a", "b", "c"])
SECONDS = st.sampled_from([0.01, 0.1, 0.5, 2.0])
FAULTS = st.sampled_from(["none", "lost", "late", "down", "silent"])

T = TypeVar("T")


class Owner:
    """A successful claim and its owner's append in flight."""

    def __init__(
        self, number: int, client: MemoryStoreClient, journal: Journal
    ) -> None:
        self.number = number
        self.client = client
        self.journal = journal
        self.pending: asyncio.Task[Refusal | None] | None = None
        self.pending_record = KeyedRecord("", b"")


class OwnershipMachine(RuleBasedStateMachine):
    """Owners claim the journal one after the other while the store has faults.

    The value of each record is the number of its owner and of its commit. An
    acknowledged record must stay stored, and no owner may append once its
    successor has taken over.
    """

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.timers = VirtualTimers()
        self.store = MemoryStore(self.timers)
        self.owners: list[Owner] = []
        self.acknowledged: dict[str, tuple[int, int]] = {}
        self.commit_count = 0
        self.claim_count = 0
        self.other_appends = 0

    def teardown(self) -> None:
        """Cancels the pending commits and closes the loop."""
        for owner in self.owners:
            if owner.pending is not None:
                owner.pending.cancel()
        self.run(self.timers.advance(5.0))
        self.loop.close()

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine on the machine's own loop."""
        return self.loop.run_until_complete(work)

    async def run_within(
        self, work: Coroutine[Any, Any, T], limit_s: float
    ) -> Any:
        """Advances time until a coroutine ends; ``None`` after the limit."""
        task = asyncio.ensure_future(work)
        until_s = self.timers.now_s() + limit_s
        while not task.done() and self.timers.now_s() < until_s:
            await self.timers.advance(0.02)
        if task.done():
            return task.result()
        task.cancel()
        return None

    @rule(fault=FAULTS)
    def claim(self, fault: str) -> None:
        """A new owner claims the journal, with or without a fault."""
        self.claim_count += 1
        client = self.store.client()
        _set_fault(client, fault)
        claim = Claim(f"owner-{self.claim_count}", "10.0.0.1:1")
        journal = self.run(
            self.run_within(
                claim_journal(client, self.timers, PARTITION, ROLE, claim), 6.0
            )
        )
        _set_fault(client, "none")
        if not isinstance(journal, Journal):
            return
        owner = Owner(len(self.owners), client, journal)
        self.owners.append(owner)
        self.record_finished_commits()
        assert all(
            other.journal.epoch < journal.epoch for other in self.owners[:-1]
        )

    @rule(data=st.data(), key=KEYS, fault=FAULTS, wait_s=SECONDS)
    def commit(
        self, data: st.DataObject, key: str, fault: str, wait_s: float
    ) -> None:
        """A current or former owner commits a record."""
        idle = [owner for owner in self.owners if owner.pending is None]
        if not idle:
            return
        owner = data.draw(st.sampled_from(idle))
        _set_fault(owner.client, fault)
        self.commit_count += 1
        value = f"{owner.number} {self.commit_count}".encode()
        owner.pending_record = KeyedRecord(key, value)
        owner.pending = self.loop.create_task(
            owner.journal.commit([owner.pending_record])
        )
        self.run(self.timers.advance(wait_s))
        self.record_finished_commits()

    @rule(data=st.data(), fault=FAULTS, wait_s=SECONDS)
    def change_fault(
        self, data: st.DataObject, fault: str, wait_s: float
    ) -> None:
        """The fault on an owner's connection to the store changes."""
        if self.owners:
            owner = data.draw(st.sampled_from(self.owners))
            _set_fault(owner.client, fault)
        self.run(self.timers.advance(wait_s))
        self.record_finished_commits()

    @rule(data=st.data())
    def confirm(self, data: st.DataObject) -> None:
        """An owner confirms its epoch; a former owner learns that it lost."""
        if not self.owners:
            return
        owner = data.draw(st.sampled_from(self.owners))
        _set_fault(owner.client, "none")
        self.run(self.run_within(owner.journal.confirm(), 3.0))
        self.record_finished_commits()
        is_current = owner is self.owners[-1]
        assert is_current or owner.journal.is_lost

    @rule()
    def append_to_other_journal(self) -> None:
        """The owner of another pool in the same partition appends."""
        self.other_appends += 1
        self.store.put(PARTITION, f"y/{self.other_appends % 3}", b"other")

    @rule()
    def drop_history(self) -> None:
        """The store deletes all but the latest record of each key."""
        self.store.drop_history()

    def record_finished_commits(self) -> None:
        """Records the commits that the store acknowledged."""
        for owner in self.owners:
            if owner.pending is None or not owner.pending.done():
                continue
            if owner.pending.result() is None:
                key = owner.pending_record.key
                written = _parse(owner.pending_record.value)
                latest = self.acknowledged.get(key, (-1, -1))
                self.acknowledged[key] = max(latest, written)
            owner.pending = None

    @invariant()
    def acknowledged_records_are_stored(self) -> None:
        """No acknowledged record is replaced by a former owner's record."""
        latest_by_key = self.store.partition_log(PARTITION).latest_by_key
        for key, acknowledged in self.acknowledged.items():
            assert _parse(latest_by_key[key].value) >= acknowledged

    @invariant()
    def former_owners_never_append(self) -> None:
        """The owners' records are in the order of their epochs."""
        numbers = [
            _parse(record.value)[0]
            for record in self.store.partition_log(PARTITION).records
            if record.key in ("a", "b", "c")
        ]
        assert numbers == sorted(numbers)

    @invariant()
    def no_two_owners_share_an_epoch(self) -> None:
        """An epoch is also the fencing token of orders, so it is unique."""
        epochs = [owner.journal.epoch for owner in self.owners]
        assert len(epochs) == len(set(epochs))


def _parse(value: bytes) -> tuple[int, int]:
    owner, _, commit = value.decode().partition(" ")
    return int(owner), int(commit)


def _set_fault(client: MemoryStoreClient, fault: str) -> None:
    faults = client.faults
    faults.is_down = fault == "down"
    faults.is_unresponsive = fault == "silent"
    faults.lost_reply_share = 0.6 if fault in ("lost", "late") else 0.0
    faults.delay_s = 0.9 if fault == "late" else 0.0


TestOwnershipMachine = OwnershipMachine.TestCase
TestOwnershipMachine.settings = settings(
    derandomize=True, deadline=None, max_examples=60, stateful_step_count=25
)
