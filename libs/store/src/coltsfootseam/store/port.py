"""The interface of the store."""

from collections.abc import Sequence
from typing import Protocol

from coltsfootseam.results import Refusal
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


class Store(Protocol):
    """Keyed partitions, and groups that assign partitions to members.

    A refusal with ``LOG_UNAVAILABLE`` means that the call had no effect. One
    with ``OUTCOME_PENDING`` means that the call may still take effect. An
    append under an outdated epoch is refused with ``STALE_EPOCH``.
    """

    async def append(
        self,
        partition: Partition,
        records: Sequence[KeyedRecord],
        writer: Writer | None = None,
    ) -> Appended | Refusal:
        """Appends all records or none and returns their offsets.

        Args:
            partition: The partition to append to.
            records: The records to append.
            writer: Identifies the append, if an owner makes it.
        """

    async def append_at(
        self, partition: Partition, records: Sequence[KeyedRecord], end: int
    ) -> Appended | Conflict | Refusal:
        """Appends all records if the partition ends at an offset, else none.

        An append that is carried out late is checked then. So it takes effect
        only if nothing has been appended since the caller read the end.

        Args:
            partition: The partition to append to.
            records: The records to append.
            end: The offset that the first of them must get.
        """

    async def read(
        self, partition: Partition, from_offset: int, wait_s: float
    ) -> Page | HistoryGone | Refusal:
        """Returns records, waiting up to ``wait_s`` for the first one."""

    async def latest_page(
        self, partition: Partition, after_key: str = ""
    ) -> LatestPage | Refusal:
        """Returns the latest records of the first keys after ``after_key``.

        Args:
            partition: The partition to read.
            after_key: The key after which the page starts.
        """

    async def join(
        self, group: str, member: str, topic: str, ttl_s: float, generation: int
    ) -> Assignment | Refusal:
        """Joins a group or stays a member; returns the assigned partitions."""

    async def leave(self, group: str, member: str) -> Refusal | None:
        """Leaves a group, so that its partitions are rebalanced."""

    async def list_holders(self, group: str) -> list[PartitionHolder] | Refusal:
        """Returns which member holds which partition."""
