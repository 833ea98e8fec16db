"""Where pools and the fleet stand in the store.

The store limits the number of topics, so pools share them. Two pools may share
a partition: their keys begin with the pool, and each has a writer of its own.
"""

import zlib

from coltsfootseam.store import Partition

FLEET_JOURNAL = Partition("fleet", 1)
"""The partition that only the owner of the fleet's machines appends to."""

_TOPICS_PER_KIND = 45


def partition_of_pool(kind: str, pool: str, partitions: int) -> Partition:
    """Returns a pool's partition of one kind.

    Args:
        kind: What stands there; names the topics.
        pool: Name of the pool.
        partitions: Partitions of a topic.
    """
    number = zlib.crc32(pool.encode())
    topic = number % _TOPICS_PER_KIND
    return Partition(f"{kind}.{topic}", number // _TOPICS_PER_KIND % partitions)
