"""The narrow interface through which the store is used."""

from collections.abc import Sequence
from typing import Protocol

from coltsfootseam.results import Refusal
from coltsfootseam.store.messages import (
    Appended,
    Assignment,
    HistoryGone,
    KeyedRecord,
    LatestPage,
    Page,
    Partition,
    PartitionHolder,
    Writer,
)


class Store(Protocol):
    """Keyed partitions and groups of members.

    A refusal with ``LOG_UNAVAILABLE`` means that nothing was done. One with
    ``OUTCOME_PENDING`` means that the call may yet take effect. An append that
    lost its epoch is refused with ``STALE_EPOCH``.
    """

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        writer: Writer | None = None,
    ) -> Appended | Refusal:
        """Appends all records or none.

        Args:
            partition: Where to append.
            records: What to append.
            writer: If given, the owner that appends.
        """

    async def read(
        self, partition: Partition, from_offset: int, wait_s: float
    ) -> Page | HistoryGone | Refusal:
        """Reads records, waiting up to ``wait_s`` for the first one."""

    async def latest_page(
        self, partition: Partition, after_key: str = ""
    ) -> LatestPage | Refusal:
        """Reads the newest records of the first keys after ``after_key``.

        Args:
            partition: Where to read.
            after_key: Keys up to this one are left out.
        """

    async def join(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> Assignment | Refusal:
        """Joins a group that deals a topic's partitions, or stays in it."""

    async def leave(self, group: str, member: str) -> Refusal | None:
        """Leaves a group, so that its partitions are dealt anew."""

    async def partition_holders(
        self, group: str
    ) -> list[PartitionHolder] | Refusal:
        """Tells which member holds which partition."""
