"""A store in memory, in the time of a timer service, with faults."""

import asyncio
import random
from collections.abc import Sequence

import msgspec

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.store import (
    Appended,
    Assignment,
    HistoryGone,
    KeyedRecord,
    LatestPage,
    Page,
    Partition,
    PartitionHolder,
    StoredRecord,
    Writer,
)
from coltsfootseam.timers import TimerService

_POLL_S = 0.005
_MAX_KEPT_REPLIES = 5
_MAX_PAGE_RECORDS = 500


class _WriterProgress(msgspec.Struct):
    epoch: int = -1
    sequence: int = -1
    replies_by_sequence: dict[int, Appended] = {}


class _PartitionLog(msgspec.Struct):
    first: int = 0
    end: int = 0
    records: list[StoredRecord] = []
    latest_by_key: dict[str, StoredRecord] = {}
    # Epochs of one writer say nothing about those of another.
    writers_by_name: dict[str, _WriterProgress] = {}

    def writer(self, name: str) -> _WriterProgress:
        return self.writers_by_name.setdefault(name, _WriterProgress())


class _Member(msgspec.Struct):
    name: str
    last_join_s: float
    ttl_s: float


class _Group(msgspec.Struct):
    generation: int = 0
    members: list[_Member] = []


class StoreFaults(msgspec.Struct):
    """What goes wrong for one client of the store.

    Attributes:
        is_down: Every call is refused with no effect.
        is_unresponsive: Every call hangs until its time limit, with no effect.
        lost_reply_share: Share of the writes that are done and not answered.
        delay_s: Such writes are done this much later.
        latency_s: Time that a call takes.
        page_latency_s: Time that a page of newest records takes besides.
        fail_every_nth_page: Each so-manieth page of newest records is cut off;
            0 for none.
        max_append_bytes: Larger appends are cut off with no effect; 0 for
            no limit.
        failing_page_topics: Topics whose pages of newest records are all cut off, by
            name or by kind, the part of a name before the dot.
        unwritable_topics: Topics to which every append is refused, by name.
        raising_topics: Topics of which every read raises, by name.
        refuse_joins: Every join of a group is refused.
        refuse_holder_lists: Every question for holders is refused.
    """

    is_down: bool = False
    is_unresponsive: bool = False
    lost_reply_share: float = 0.0
    delay_s: float = 0.0
    latency_s: float = 0.004
    page_latency_s: float = 0.0
    fail_every_nth_page: int = 0
    max_append_bytes: int = 0
    failing_page_topics: set[str] = set()
    unwritable_topics: set[str] = set()
    raising_topics: set[str] = set()
    refuse_joins: bool = False
    refuse_holder_lists: bool = False


class MemoryStore:
    """The partitions and groups; clients reach them through `client`.

    Attributes:
        partition_count: Partitions of a topic that a group deals.
        appends: How many appends took effect.
        max_page_records: Most records on a page of newest ones.
    """

    __slots__ = (
        "_groups_by_name",
        "_logs_by_partition",
        "_random",
        "appends",
        "max_page_records",
        "partition_count",
        "timers",
    )

    def __init__(
        self, timers: TimerService, partition_count: int = 12, seed: int = 1
    ) -> None:
        self.timers = timers
        self.partition_count = partition_count
        self.appends = 0
        self.max_page_records = _MAX_PAGE_RECORDS
        self._logs_by_partition: dict[Partition, _PartitionLog] = {}
        self._groups_by_name: dict[str, _Group] = {}
        self._random = random.Random(seed)

    def client(self, timers: TimerService | None = None) -> "MemoryStoreClient":
        """Returns a client with faults of its own.

        Args:
            timers: The client's time, where its host can be frozen.
        """
        return MemoryStoreClient(self, self._random, timers or self.timers)

    def partition_log(self, partition: Partition) -> _PartitionLog:
        """Returns a partition, made on first use."""
        return self._logs_by_partition.setdefault(partition, _PartitionLog())

    def drop_history(self) -> None:
        """Drops all records but the newest of each key."""
        for log in self._logs_by_partition.values():
            log.records = []
            log.first = log.end

    def put(self, partition: Partition, key: str, value: bytes) -> None:
        """Appends as somebody outside the system does."""
        self.apply_append(partition, [KeyedRecord(key, value)], None)

    def apply_append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        writer: Writer | None,
    ) -> Appended | Refusal:
        """Carries an append out."""
        log = self.partition_log(partition)
        if writer is not None:
            refusal = self._check_writer(log.writer(writer.name), writer)
            if refusal is not None:
                return refusal
        answer = Appended(log.end, log.end + len(records))
        for record in records:
            stored = StoredRecord(log.end, record.key, record.value)
            log.records.append(stored)
            log.end += 1
            if record.value:
                log.latest_by_key[record.key] = stored
            else:
                log.latest_by_key.pop(record.key, None)
        if writer is not None:
            progress = log.writer(writer.name)
            progress.epoch = writer.epoch
            progress.sequence = writer.sequence
            progress.replies_by_sequence[writer.sequence] = answer
            progress.replies_by_sequence.pop(
                writer.sequence - _MAX_KEPT_REPLIES, None
            )
        self.appends += 1
        return answer

    def _check_writer(
        self, progress: _WriterProgress, writer: Writer
    ) -> Appended | Refusal | None:
        if writer.epoch < progress.epoch:
            return Refusal(ResultCode.STALE_EPOCH, "fenced")
        if writer.epoch > progress.epoch:
            progress.replies_by_sequence = {}
            return None
        if writer.sequence in progress.replies_by_sequence:
            return progress.replies_by_sequence[writer.sequence]
        if writer.sequence != progress.sequence + 1:
            return Refusal(ResultCode.STALE_EPOCH, "sequence")
        return None

    def apply_join(self, group: str, member: str, ttl_s: float) -> Assignment:
        """Joins a member and deals the partitions evenly."""
        found = self._groups_by_name.setdefault(group, _Group())
        self._remove_expired_members(found)
        now_s = self.timers.now_s()
        progress = [item for item in found.members if item.name == member]
        if progress:
            progress[0].last_join_s = now_s
        else:
            found.members.append(_Member(member, now_s, ttl_s))
            found.generation += 1
        return Assignment(
            found.generation,
            frozenset(self._assigned_partitions(found, member)),
        )

    def apply_leave(self, group: str, member: str) -> None:
        """Takes a member out."""
        found = self._groups_by_name.setdefault(group, _Group())
        found.members = [item for item in found.members if item.name != member]
        found.generation += 1

    def rebalance(self, group: str) -> None:
        """Deals all partitions to others, which no member asked for."""
        found = self._groups_by_name[group]
        found.members = [*found.members[1:], found.members[0]]
        found.generation += 1

    def list_partition_holders(self, group: str) -> list[PartitionHolder]:
        """Tells who holds what."""
        found = self._groups_by_name.setdefault(group, _Group())
        self._remove_expired_members(found)
        return [
            PartitionHolder(number, item.name)
            for item in found.members
            for number in self._assigned_partitions(found, item.name)
        ]

    def _remove_expired_members(self, group: _Group) -> None:
        now_s = self.timers.now_s()
        alive = [
            item
            for item in group.members
            if now_s - item.last_join_s <= item.ttl_s
        ]
        if len(alive) != len(group.members):
            group.members = alive
            group.generation += 1

    def _assigned_partitions(self, group: _Group, member: str) -> list[int]:
        names = [item.name for item in group.members]
        position = names.index(member)
        return list(range(position, self.partition_count, len(names)))


class MemoryStoreClient:
    """One host's way to the store.

    Attributes:
        faults: What goes wrong for this host.
    """

    __slots__ = ("_pages_requested", "_random", "_store", "_timers", "faults")

    def __init__(
        self, store: MemoryStore, rng: random.Random, timers: TimerService
    ) -> None:
        self._store = store
        self._timers = timers
        self._random = rng
        self.faults = StoreFaults()
        self._pages_requested = 0

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        writer: Writer | None = None,
    ) -> Appended | Refusal:
        """Appends all records or none."""
        refusal = await self._simulate_call()
        if refusal is not None:
            return refusal
        if partition.topic in self.faults.unwritable_topics:
            return Refusal(ResultCode.LOG_UNAVAILABLE, "topic is full")
        limit = self.faults.max_append_bytes
        if limit and _size_of(records) > limit:
            return Refusal(ResultCode.OUTCOME_PENDING, "append cut off")
        is_lost = self._random.random() < self.faults.lost_reply_share
        if is_lost and self.faults.delay_s:
            self._store.timers.schedule(
                self.faults.delay_s,
                lambda: self._append_late(partition, records, writer),
            )
            return Refusal(ResultCode.OUTCOME_PENDING, "answer lost")
        result = self._store.apply_append(partition, records, writer)
        if is_lost:
            return Refusal(ResultCode.OUTCOME_PENDING, "answer lost")
        return result

    def _append_late(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        writer: Writer | None,
    ) -> None:
        self._store.apply_append(partition, records, writer)

    async def read(
        self, partition: Partition, from_offset: int, wait_s: float
    ) -> Page | HistoryGone | Refusal:
        """Reads records, waiting up to ``wait_s`` for the first one."""
        until_s = self._timers.now_s() + wait_s
        while True:
            refusal = await self._simulate_call()
            if refusal is not None:
                return refusal
            if partition.topic in self.faults.raising_topics:
                raise ValueError("made to fail")
            log = self._store.partition_log(partition)
            if from_offset < log.first:
                return HistoryGone(log.first)
            records = log.records[max(0, from_offset - log.first) :]
            if records or self._timers.now_s() >= until_s:
                return Page(log.end, log.first, log.end, list(records))
            await self._timers.sleep(_POLL_S)

    async def latest_page(
        self, partition: Partition, after_key: str = ""
    ) -> LatestPage | Refusal:
        """Reads the newest records of the first keys after ``after_key``."""
        self._pages_requested += 1
        interval = self.faults.fail_every_nth_page
        names = {partition.topic, partition.topic.partition(".")[0]}
        is_cut = bool(names & self.faults.failing_page_topics)
        if is_cut or (interval and self._pages_requested % interval == 0):
            return Refusal(ResultCode.OUTCOME_PENDING, "page cut off")
        refusal = await self._simulate_call()
        if refusal is not None:
            return refusal
        await self._timers.sleep(self.faults.page_latency_s)
        log = self._store.partition_log(partition)
        keys = sorted(key for key in log.latest_by_key if key > after_key)
        page_keys = keys[: self._store.max_page_records]
        return LatestPage(
            log.end,
            [log.latest_by_key[key] for key in page_keys],
            page_keys[-1] if len(page_keys) < len(keys) else None,
        )

    async def join(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> Assignment | Refusal:
        """Joins a group that deals a topic's partitions, or stays in it."""
        del topic, generation
        refusal = await self._simulate_call()
        if refusal is not None:
            return refusal
        if self.faults.refuse_joins:
            return Refusal(ResultCode.LOG_UNAVAILABLE, "no joins")
        return self._store.apply_join(group, member, ttl_s)

    async def leave(self, group: str, member: str) -> Refusal | None:
        """Leaves a group, so that its partitions are dealt anew."""
        refusal = await self._simulate_call()
        if refusal is not None:
            return refusal
        self._store.apply_leave(group, member)
        return None

    async def list_holders(self, group: str) -> list[PartitionHolder] | Refusal:
        """Tells which member holds which partition."""
        refusal = await self._simulate_call()
        if refusal is not None:
            return refusal
        if self.faults.refuse_holder_lists:
            return Refusal(ResultCode.LOG_UNAVAILABLE, "no holders")
        return self._store.list_partition_holders(group)

    async def _simulate_call(self) -> Refusal | None:
        if self.faults.is_unresponsive:
            await self._timers.sleep(1.0)
            return Refusal(ResultCode.OUTCOME_PENDING, "silent")
        await self._timers.sleep(self.faults.latency_s)
        if self.faults.is_down:
            return Refusal(ResultCode.LOG_UNAVAILABLE, "down")
        await asyncio.sleep(0)
        return None


def _size_of(records: Sequence[KeyedRecord]) -> int:
    return sum(len(record.key) + len(record.value) for record in records)
