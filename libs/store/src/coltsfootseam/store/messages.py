"""Requests to the store of keyed partitions, and its replies."""

import msgspec


class Partition(msgspec.Struct, frozen=True):
    """A keyed partition: an ordered log that keeps the latest record per key.

    Attributes:
        topic: Name of the topic, without the store's own prefix.
        number: Number of the partition within the topic, from 0.
    """

    topic: str
    number: int = 0


class KeyedRecord(msgspec.Struct, frozen=True):
    """A record to append. An empty value deletes the key."""

    key: str
    value: bytes = b""


class StoredRecord(msgspec.Struct, frozen=True):
    """A record in a partition."""

    offset: int
    key: str
    value: bytes


class Writer(msgspec.Struct, frozen=True):
    """Identifies an append, so that the store detects repeats and old owners.

    Attributes:
        name: Name of the journal, the same for each of its owners.
        epoch: Number of the ownership; the store refuses lower ones.
        sequence: Number of the append within the epoch, from 0.
    """

    name: str
    epoch: int
    sequence: int


class Appended(msgspec.Struct, frozen=True):
    """The offsets of an append that took effect.

    Attributes:
        offset: Offset of its first record.
        end: Offset after its last record.
    """

    offset: int
    end: int


class Page(msgspec.Struct, frozen=True):
    """Records from an offset on.

    Attributes:
        end: Offset that the next appended record will get.
        first: Offset of the oldest record that the store still has.
        next_offset: Offset at which the next read starts.
        records: The records, oldest first.
    """

    end: int
    first: int
    next_offset: int
    records: list[StoredRecord]


class Conflict(msgspec.Struct, frozen=True):
    """A conditional append was refused: the partition ends elsewhere."""


class HistoryGone(msgspec.Struct, frozen=True):
    """The requested records are deleted."""


class LatestRecords(msgspec.Struct, frozen=True):
    """The latest record of every key.

    It is read in pages, which aren't a consistent snapshot: records appended
    from ``end`` on may be missing, and some records may be newer than ``end``.
    """

    end: int
    records: list[StoredRecord]


class LatestPage(msgspec.Struct, frozen=True):
    """Latest records of some keys, in the order of the keys.

    Attributes:
        end: Offset that the next appended record will get.
        records: One record per key.
        next_key: The key after which the next page starts, or ``None`` on the
            last page.
    """

    end: int
    records: list[StoredRecord]
    next_key: str | None = None


class Assignment(msgspec.Struct, frozen=True):
    """The partitions that a group assigned to a member.

    Attributes:
        generation: Number of the assignment; it rises with each change.
        numbers: Numbers of the partitions of the group's topic.
    """

    generation: int
    numbers: frozenset[int]


class PartitionHolder(msgspec.Struct, frozen=True):
    """A partition of a group's topic and the member that holds it."""

    number: int
    member: str
