"""Messages to and from the store of keyed partitions."""

import msgspec


class Partition(msgspec.Struct, frozen=True):
    """A keyed partition: an ordered log that keeps each key's newest record.

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
    """A record as it stands in a partition."""

    offset: int
    key: str
    value: bytes


class Writer(msgspec.Struct, frozen=True):
    """Identifies appends of one owner so that repeats and losers are told.

    Attributes:
        name: The role that writes, the same for each of its owners.
        epoch: Number of the ownership; a lower one is refused by the store.
        sequence: Number of the append within the epoch, from 0.
    """

    name: str
    epoch: int
    sequence: int


class Appended(msgspec.Struct, frozen=True):
    """An append took effect; ``offset`` is that of its first record."""

    offset: int
    end: int


class Page(msgspec.Struct, frozen=True):
    """Records read from an offset on.

    Attributes:
        end: Offset that the next appended record will get.
        first: Offset of the oldest record that is still kept.
        next_offset: Where the next read goes on.
        records: What was read, oldest first.
    """

    end: int
    first: int
    next_offset: int
    records: list[StoredRecord]


class HistoryGone(msgspec.Struct, frozen=True):
    """Records from the offset asked for on were deleted up to ``first``."""

    first: int


class LatestRecords(msgspec.Struct, frozen=True):
    """The newest record of every key.

    The pages it was read from are no snapshot: what was appended from ``end``
    on may be missing, what stands here may be newer than ``end``.
    """

    end: int
    records: list[StoredRecord]


class LatestPage(msgspec.Struct, frozen=True):
    """Newest records of some keys, in the order of the keys.

    Attributes:
        end: Offset that the next appended record will get.
        records: One record a key.
        next_key: The next page begins after this key, ``None`` on the last.
    """

    end: int
    records: list[StoredRecord]
    next_key: str | None = None


class Assignment(msgspec.Struct, frozen=True):
    """What a group dealt to a member.

    Attributes:
        generation: Number of the deal; it rises with each change.
        numbers: Partitions of the group's topic that the member holds.
    """

    generation: int
    numbers: frozenset[int]


class PartitionHolder(msgspec.Struct, frozen=True):
    """One partition of a group's topic and the member that holds it."""

    number: int
    member: str
