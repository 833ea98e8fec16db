"""In-memory store with injectable faults, driven by a timer service."""

import asyncio
import random
from collections.abc import Callable, Sequence
from typing import TypeVar

import msgspec

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.store import (
    Appended,
    Assignment,
    Conflict,
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

T = TypeVar("T")

_POLL_INTERVAL_S = 0.005
_TIMEOUT_S = 1.0
_MAX_KEPT_REPLIES = 5
_MAX_PAGE_RECORDS = 500
_MAX_RECORD_BYTES = 262_144
_MAX_APPEND_WAIT_S = 2.0
"""Wait for the earlier appends of a partition beyond which one is refused."""


class _WriterProgress(msgspec.Struct):
    epoch: int = -1
    sequence: int = -1
    replies_by_sequence: dict[int, Appended] = {}


class _PartitionLog(msgspec.Struct):
    first: int = 0
    end: int = 0
    records: list[StoredRecord] = []
    latest_by_key: dict[str, StoredRecord] = {}
    # Epochs of different writers aren't comparable.
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
    """Faults that one client of the store experiences.

    Attributes:
        is_down: Every call is refused and has no effect.
        is_unresponsive: Every call times out and has no effect.
        is_unheard: Every call takes effect but is not answered.
        lost_reply_share: Share of the appends that are applied without a
            reply.
        delay_s: Delay after which such appends are applied.
        latency_s: Duration of a call.
        page_latency_s: Additional duration of reading a page of latest
            records.
        fail_every_nth_page: Every n-th page of latest records times out; 0
            for none.
        max_append_bytes: Larger appends time out and have no effect; 0 for no
            limit.
        failing_page_topics: Topics whose pages of latest records all time
            out, by name or by kind, which is the part of the name before the
            dot.
        unwritable_topics: Names of topics to which every append is refused.
        raising_topics: Names of topics for which every read raises.
        refuse_joins: Every join of a group is refused.
        refuse_holder_lists: Every request for the partition holders is
            refused.
    """

    is_down: bool = False
    is_unresponsive: bool = False
    is_unheard: bool = False
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
    """The partitions and groups, which `client` gives access to.

    Attributes:
        partition_count: Number of partitions of a topic that a group assigns.
        appends: Number of appends that were applied.
        append_s: How long an append takes, in which the other appends of its
            partition wait.
        max_page_records: Maximum number of records on a page of latest
            records.
        max_record_bytes: Appends with a longer record are refused for good.
        poll_interval_s: Pause after which a waiting read looks for records
            again. Simulating a long time takes less work with a longer one.
        timers: Clock and timers of the store.
    """

    __slots__ = (
        "_busy_until_s_by_partition",
        "_groups_by_name",
        "_logs_by_partition",
        "_random",
        "append_s",
        "appends",
        "max_page_records",
        "max_record_bytes",
        "partition_count",
        "poll_interval_s",
        "timers",
    )

    def __init__(
        self, timers: TimerService, partition_count: int = 12, seed: int = 1
    ) -> None:
        self.timers = timers
        self.partition_count = partition_count
        self.appends = 0
        self.append_s = 0.0
        self.poll_interval_s = _POLL_INTERVAL_S
        self._busy_until_s_by_partition: dict[Partition, float] = {}
        self.max_page_records = _MAX_PAGE_RECORDS
        self.max_record_bytes = _MAX_RECORD_BYTES
        self._logs_by_partition: dict[Partition, _PartitionLog] = {}
        self._groups_by_name: dict[str, _Group] = {}
        self._random = random.Random(seed)

    def reserve_append(self, partition: Partition) -> float | None:
        """Returns when an append is done, ``None`` if too many wait."""
        now_s = self.timers.now_s()
        busy_until_s = self._busy_until_s_by_partition.get(partition, now_s)
        starts_s = max(now_s, busy_until_s)
        if starts_s - now_s > _MAX_APPEND_WAIT_S:
            return None
        done_s = starts_s + self.append_s
        self._busy_until_s_by_partition[partition] = done_s
        return done_s

    def client(self, timers: TimerService | None = None) -> "MemoryStoreClient":
        """Returns a client with faults of its own.

        Args:
            timers: The client's timers if its host can be paused; otherwise
                those of the store.
        """
        return MemoryStoreClient(self, self._random, timers or self.timers)

    def partition_log(self, partition: Partition) -> _PartitionLog:
        """Returns the log of a partition, created on first use."""
        return self._logs_by_partition.setdefault(partition, _PartitionLog())

    def drop_history(self) -> None:
        """Drops all records but the latest of each key."""
        for log in self._logs_by_partition.values():
            log.records = []
            log.first = log.end

    def put(self, partition: Partition, key: str, value: bytes) -> None:
        """Appends a record on behalf of a client outside the system."""
        self.apply_append(partition, [KeyedRecord(key, value)], None)

    def apply_append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        writer: Writer | None,
    ) -> Appended | Refusal:
        """Applies an append unless its writer is fenced.

        Returns:
            The reply; for an append that the writer repeats, the reply to the
            first one.
        """
        log = self.partition_log(partition)
        if writer is not None:
            result = self._check_writer(log.writer(writer.name), writer)
            if result is not None:
                return result
        reply = Appended(log.end, log.end + len(records))
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
            progress.replies_by_sequence[writer.sequence] = reply
            progress.replies_by_sequence.pop(
                writer.sequence - _MAX_KEPT_REPLIES, None
            )
        self.appends += 1
        return reply

    def apply_append_at(
        self, partition: Partition, records: Sequence[KeyedRecord], end: int
    ) -> Appended | Conflict | Refusal:
        """Applies an append unless the partition ends elsewhere."""
        log = self.partition_log(partition)
        if log.end != end:
            return Conflict()
        return self.apply_append(partition, records, None)

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
            return Refusal(ResultCode.STALE_EPOCH, "sequence gap")
        return None

    def apply_join(self, group: str, member: str, ttl_s: float) -> Assignment:
        """Adds or renews a member and assigns the partitions evenly."""
        found = self._groups_by_name.setdefault(group, _Group())
        self._remove_expired_members(found)
        now_s = self.timers.now_s()
        existing = [item for item in found.members if item.name == member]
        if existing:
            existing[0].last_join_s = now_s
        else:
            found.members.append(_Member(member, now_s, ttl_s))
            found.generation += 1
        return Assignment(
            found.generation,
            frozenset(self._assigned_partitions(found, member)),
        )

    def apply_leave(self, group: str, member: str) -> None:
        """Removes a member."""
        found = self._groups_by_name.setdefault(group, _Group())
        found.members = [item for item in found.members if item.name != member]
        found.generation += 1

    def rebalance(self, group: str) -> None:
        """Assigns all partitions to other members without any request."""
        found = self._groups_by_name[group]
        found.members = [*found.members[1:], found.members[0]]
        found.generation += 1

    def list_partition_holders(self, group: str) -> list[PartitionHolder]:
        """Returns which member holds which partition."""
        found = self._groups_by_name.setdefault(group, _Group())
        self._remove_expired_members(found)
        return [
            PartitionHolder(number, item.name)
            for item in found.members
            for number in self._assigned_partitions(found, item.name)
        ]

    def _remove_expired_members(self, group: _Group) -> None:
        now_s = self.timers.now_s()
        current = [
            item
            for item in group.members
            if now_s - item.last_join_s <= item.ttl_s
        ]
        if len(current) != len(group.members):
            group.members = current
            group.generation += 1

    def _assigned_partitions(self, group: _Group, member: str) -> list[int]:
        names = [item.name for item in group.members]
        position = names.index(member)
        return list(range(position, self.partition_count, len(names)))


class MemoryStoreClient:
    """Access of one host to the store.

    Attributes:
        faults: Faults that this host experiences.
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
        """Appends all records or none of them."""
        return await self._append(
            partition,
            records,
            lambda: self._store.apply_append(partition, records, writer),
        )

    async def append_at(
        self, partition: Partition, records: Sequence[KeyedRecord], end: int
    ) -> Appended | Conflict | Refusal:
        """Appends all records if the partition ends at an offset, else none."""
        return await self._append(
            partition,
            records,
            lambda: self._store.apply_append_at(partition, records, end),
        )

    async def _append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        apply: Callable[[], T],
    ) -> T | Refusal:
        """Has an append applied, subject to this host's faults."""
        refusal = await self._simulate_call(is_effective=True)
        if refusal is not None:
            return refusal
        if partition.topic in self.faults.unwritable_topics:
            return Refusal(ResultCode.LOG_UNAVAILABLE, "topic is not writable")
        if any(
            _size_of([record]) > self._store.max_record_bytes
            for record in records
        ):
            return Refusal(ResultCode.NOT_RUN_TOO_LARGE, "too long a record")
        limit = self.faults.max_append_bytes
        if limit and _size_of(records) > limit:
            return Refusal(ResultCode.OUTCOME_PENDING, "append timed out")
        done_s = self._store.reserve_append(partition)
        if done_s is None:
            return Refusal(ResultCode.LOG_UNAVAILABLE, "too many appends wait")
        if done_s > self._timers.now_s():
            await self._timers.sleep(done_s - self._timers.now_s())
        is_reply_lost = self._random.random() < self.faults.lost_reply_share
        if is_reply_lost and self.faults.delay_s:

            def apply_late() -> None:
                apply()

            self._store.timers.schedule(self.faults.delay_s, apply_late)
            return Refusal(ResultCode.OUTCOME_PENDING, "reply lost")
        result = apply()
        if is_reply_lost:
            return Refusal(ResultCode.OUTCOME_PENDING, "reply lost")
        if self.faults.is_unheard:
            return await self._lose_reply()
        return result

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
                raise ValueError("injected fault")
            log = self._store.partition_log(partition)
            if from_offset < log.first:
                return HistoryGone()
            records = log.records[max(0, from_offset - log.first) :]
            if records or self._timers.now_s() >= until_s:
                return Page(log.end, log.first, log.end, list(records))
            await self._timers.sleep(self._store.poll_interval_s)

    async def latest_page(
        self, partition: Partition, after_key: str = ""
    ) -> LatestPage | Refusal:
        """Reads the latest records of the first keys after ``after_key``."""
        self._pages_requested += 1
        interval = self.faults.fail_every_nth_page
        names = {partition.topic, partition.topic.partition(".")[0]}
        is_failing = bool(names & self.faults.failing_page_topics)
        if is_failing or (interval and self._pages_requested % interval == 0):
            return Refusal(ResultCode.OUTCOME_PENDING, "page timed out")
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
        """Joins the group that assigns a topic's partitions, or renews."""
        del topic, generation
        refusal = await self._simulate_call(is_effective=True)
        if refusal is not None:
            return refusal
        if self.faults.refuse_joins:
            return Refusal(ResultCode.LOG_UNAVAILABLE, "joins are refused")
        assignment = self._store.apply_join(group, member, ttl_s)
        if self.faults.is_unheard:
            return await self._lose_reply()
        return assignment

    async def leave(self, group: str, member: str) -> Refusal | None:
        """Leaves a group, whose partitions are then rebalanced."""
        refusal = await self._simulate_call(is_effective=True)
        if refusal is not None:
            return refusal
        self._store.apply_leave(group, member)
        if self.faults.is_unheard:
            return await self._lose_reply()
        return None

    async def list_holders(self, group: str) -> list[PartitionHolder] | Refusal:
        """Returns which member holds which partition."""
        refusal = await self._simulate_call()
        if refusal is not None:
            return refusal
        if self.faults.refuse_holder_lists:
            return Refusal(
                ResultCode.LOG_UNAVAILABLE, "holder lists are refused"
            )
        return self._store.list_partition_holders(group)

    async def _simulate_call(
        self, is_effective: bool = False
    ) -> Refusal | None:
        """Returns the refusal of a call that has no effect, if any.

        Args:
            is_effective: Whether the call changes anything, so that it matters
                if only its reply is lost.
        """
        if self.faults.is_unresponsive or (
            self.faults.is_unheard and not is_effective
        ):
            return await self._lose_reply()
        await self._timers.sleep(self.faults.latency_s)
        if self.faults.is_down:
            return Refusal(ResultCode.LOG_UNAVAILABLE, "store is down")
        await asyncio.sleep(0)
        return None

    async def _lose_reply(self) -> Refusal:
        await self._timers.sleep(_TIMEOUT_S)
        return Refusal(ResultCode.OUTCOME_PENDING, "no reply")


def _size_of(records: Sequence[KeyedRecord]) -> int:
    return sum(len(record.key) + len(record.value) for record in records)
