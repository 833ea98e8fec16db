"""The operator's configuration: queues, the pools they use, and waves."""

import msgspec


class Advice(msgspec.Struct, frozen=True):
    """How a queue's policy service answers.

    Attributes:
        decide_ms: Time that it takes for a call.
        per_worker_ms: Time that it takes for each worker named.
        valid_ms: How long a ticket is valid.
    """

    decide_ms: int
    per_worker_ms: int
    valid_ms: int


class Queue(msgspec.Struct, frozen=True):
    """A queue that callers submit jobs to.

    Attributes:
        name: Name of the queue.
        host: Host name that callers use.
        prefix: Path prefix of the queue, ending with a slash.
        pool: Pool whose workers run its tasks.
        priority: 0 comes first.
        attempts: How many runs of a task may fail.
        stretch: Factor on a job's longest chain within its objective.
        target_ms: What the objective allows beyond that.
        timeout_ms: Time limit of a caller's request.
        advice: Set if a policy service chooses the workers.
    """

    name: str
    host: str
    prefix: str
    pool: str
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    target_ms: int = 0
    timeout_ms: int = 3000
    advice: Advice | None = None


class Pool(msgspec.Struct, frozen=True):
    """A pool of machines.

    Attributes:
        name: Name of the pool.
        workers_guard: Whether its workers refuse what does not fit.
        is_standby: Whether its machines are off and free of charge.
    """

    name: str
    workers_guard: bool = True
    is_standby: bool = False


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration.

    Attributes:
        version: Rises with each change, in uneven steps.
        queues_by_name: All queues.
        pools_by_name: All pools.
    """

    version: int
    queues_by_name: dict[str, Queue]
    pools_by_name: dict[str, Pool]


class Wave(msgspec.Struct, frozen=True):
    """Machines that are due for maintenance.

    Attributes:
        number: Number of the wave.
        machine_ids: Machines that have to be maintained.
        duration_s: Time that the wave should take at most.
        limit: Most machines that may be down for it at once.
    """

    number: int
    machine_ids: tuple[str, ...]
    duration_s: float
    limit: int


class QueueIndex:
    """Finds the queue of a request: its host and longest prefix."""

    __slots__ = ("_queues_by_host",)

    def __init__(self, configuration: Configuration) -> None:
        self._queues_by_host: dict[str, list[Queue]] = {}
        for queue in configuration.queues_by_name.values():
            self._queues_by_host.setdefault(queue.host, []).append(queue)
        for queues in self._queues_by_host.values():
            queues.sort(key=lambda queue: len(queue.prefix), reverse=True)

    def find(self, host: str, path: str) -> Queue | None:
        """Returns the queue that a host and path belong to."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None
