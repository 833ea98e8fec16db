"""The partitions of the store that hold the records of pools and the fleet.

The store limits the number of topics, so pools share them. Two pools may share
a partition: their keys start with the pool's name, and each pool has its own
writer.
"""

import zlib

from coltsfootseam.store import Partition

FLEET_JOURNAL = Partition("fleet", 1)
"""The partition to which only the owner of the fleet's machines appends."""

QUEUE_POOLS = Partition("queues")
"""The partition of the records of which pools may have a queue's jobs."""

_TOPICS_PER_KIND = 45


def partition_of_pool(kind: str, pool: str, partitions: int) -> Partition:
    """Returns a pool's partition of one kind.

    Args:
        kind: Kind of the records, the prefix of the topics' names.
        pool: Name of the pool.
        partitions: Number of partitions of a topic.
    """
    number = zlib.crc32(pool.encode())
    topic = number % _TOPICS_PER_KIND
    return Partition(f"{kind}.{topic}", number // _TOPICS_PER_KIND % partitions)
