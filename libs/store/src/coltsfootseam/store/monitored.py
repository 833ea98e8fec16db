"""A store that records when it last replied."""

from collections.abc import Sequence
from typing import TypeVar

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.store.messages import (
    Appended,
    Assignment,
    Conflict,
    HistoryGone,
    KeyedRecord,
    LatestPage,
    Page,
    Partition,
    PartitionHolder,
    Writer,
)
from coltsfootseam.store.port import Store
from coltsfootseam.timers import TimerService

T = TypeVar("T")


class MonitoredStore:
    """Forwards calls to a store and records when it last replied.

    Attributes:
        last_reply_s: When the store last processed a call, in monotonic
            seconds.
        took_s: How long the last call took that changes something and was
            answered.
    """

    __slots__ = ("_store", "_timers", "last_reply_s", "took_s")

    def __init__(self, store: Store, timers: TimerService) -> None:
        self._store = store
        self._timers = timers
        self.last_reply_s = float("-inf")
        self.took_s = 0.0

    def unanswered_s(self) -> float:
        """Returns the time since the store last replied to this process."""
        return self._timers.now_s() - self.last_reply_s

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        writer: Writer | None = None,
    ) -> Appended | Refusal:
        """Appends all records or none and returns their offsets."""
        sent_s = self._timers.now_s()
        result = await self._store.append(partition, records, writer)
        return self._record_reply(result, sent_s)

    async def append_at(
        self, partition: Partition, records: Sequence[KeyedRecord], end: int
    ) -> Appended | Conflict | Refusal:
        """Appends all records if the partition ends at an offset, else none."""
        sent_s = self._timers.now_s()
        result = await self._store.append_at(partition, records, end)
        return self._record_reply(result, sent_s)

    async def read(
        self, partition: Partition, from_offset: int, wait_s: float
    ) -> Page | HistoryGone | Refusal:
        """Returns records, waiting up to ``wait_s`` for the first one."""
        return self._record_reply(
            await self._store.read(partition, from_offset, wait_s)
        )

    async def latest_page(
        self, partition: Partition, after_key: str = ""
    ) -> LatestPage | Refusal:
        """Returns the latest records of the first keys after ``after_key``."""
        return self._record_reply(
            await self._store.latest_page(partition, after_key)
        )

    async def join(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> Assignment | Refusal:
        """Joins a group or stays a member; returns the assigned partitions."""
        sent_s = self._timers.now_s()
        result = await self._store.join(group, member, topic, ttl_s, generation)
        return self._record_reply(result, sent_s)

    async def leave(self, group: str, member: str) -> Refusal | None:
        """Leaves a group, so that its partitions are rebalanced."""
        return await self._store.leave(group, member)

    async def list_holders(self, group: str) -> list[PartitionHolder] | Refusal:
        """Returns which member holds which partition."""
        return self._record_reply(await self._store.list_holders(group))

    def _record_reply(self, result: T, sent_s: float | None = None) -> T:
        is_answer = (
            not isinstance(result, Refusal)
            or result.code is ResultCode.STALE_EPOCH
        )
        if is_answer:
            self.last_reply_s = self._timers.now_s()
            if sent_s is not None:
                self.took_s = self.last_reply_s - sent_s
        return result
