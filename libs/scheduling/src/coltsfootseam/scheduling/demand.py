"""What the pools need and hold."""

import msgspec


class PoolDemand(msgspec.Struct, frozen=True):
    """The demand of a pool.

    Attributes:
        pool: Name of the pool.
        waiting_cores: Processor that waiting tasks ask for, in cores.
        used_cores: Processor in use, in cores.
        least_cores: Processor of tasks that last, in cores.
        idle_count: How many workers run nothing.
    """

    pool: str
    waiting_cores: float
    used_cores: float
    least_cores: float
    idle_count: int
