"""The operator's configuration: queues, pools, teams and waves."""

import msgspec

from coltsfootseam.jobs.resources import Resources


class Advice(msgspec.Struct, frozen=True):
    """Response times of a queue's policy service.

    Attributes:
        decide_ms: Time that a call takes.
        per_worker_ms: Time that each worker in the call adds.
        valid_ms: How long a ticket is valid.
    """

    decide_ms: int
    per_worker_ms: int
    valid_ms: int


class QueueTerms(msgspec.Struct, frozen=True, array_like=True):
    """The settings of a queue under which a job was accepted.

    They hold while the queue is missing from the configuration.

    Attributes:
        attempts: After how many failed runs a task fails its job.
        priority: Priority of its jobs; 0 comes first.
        stretch: Factor on a job's critical path in its objective.
        target_ms: Time that the objective adds to that.
        advice: Set if a policy service decides where tasks may run.
    """

    attempts: int = 1
    priority: int = 0
    stretch: float = 1.0
    target_ms: int = 0
    advice: Advice | None = None


class Queue(msgspec.Struct, frozen=True):
    """A queue that callers submit jobs to.

    Attributes:
        name: Name of the queue.
        host: Host name that callers use.
        prefix: Path prefix of the queue, ending with a slash.
        pool: Pool whose workers run its tasks.
        priority: Priority of its jobs; 0 comes first.
        attempts: After how many failed runs a task fails its job.
        stretch: Factor on a job's critical path in its objective.
        target_ms: Time that the objective adds to that.
        timeout_ms: Timeout of a caller's request.
        advice: Set if a policy service decides where tasks may run.
        is_open: Whether callers need no key.
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
    is_open: bool = True

    def terms(self) -> QueueTerms:
        """Returns what a job keeps of the queue that it was submitted to."""
        return QueueTerms(
            self.attempts,
            self.priority,
            self.stretch,
            self.target_ms,
            self.advice,
        )


class Pool(msgspec.Struct, frozen=True):
    """A pool of machines.

    Attributes:
        name: Name of the pool.
        workers_guard: Whether its workers refuse tasks that don't fit.
        is_standby: Whether its machines are off and cost nothing.
    """

    name: str
    workers_guard: bool = True
    is_standby: bool = False


class Team(msgspec.Struct, frozen=True):
    """A team that submits jobs, and what it may use.

    Attributes:
        name: Name of the team.
        key_digests: SHA-256 digests of its keys, in hexadecimal digits.
        weight: Its share of a full pool relative to other teams, and the number
            of jobs a second that its contract covers.
        priority: Rank among teams of equal share; 0 comes first.
        limit: What its runs may use at once over all pools; 0 is no limit.
    """

    name: str
    key_digests: frozenset[str] = frozenset()
    weight: float = 1.0
    priority: int = 0
    limit: Resources = Resources()


class Configuration(msgspec.Struct, frozen=True):
    """One version of the operator's configuration.

    Attributes:
        version: Increases with each change, not always by one.
        queues_by_name: All queues.
        pools_by_name: All pools.
        teams_by_name: All teams, empty if the deployment has none.
        max_head_bytes: The longest head of a caller's request.
        max_body_bytes: The longest body, ``None`` if the operator sets none.
    """

    version: int
    queues_by_name: dict[str, Queue]
    pools_by_name: dict[str, Pool]
    teams_by_name: dict[str, Team] = {}
    max_head_bytes: int = 16_384
    max_body_bytes: int | None = None


class Wave(msgspec.Struct, frozen=True):
    """Machines that are due for maintenance.

    Attributes:
        number: Number of the wave.
        machine_ids: Machines to maintain.
        duration_s: Time within which the wave should be over.
        limit: How many of the machines may be down at once.
    """

    number: int
    machine_ids: tuple[str, ...]
    duration_s: float
    limit: int


class QueueIndex:
    """Finds the queue of a request by its host and the longest prefix."""

    __slots__ = ("_queues_by_host",)

    def __init__(self, configuration: Configuration) -> None:
        self._queues_by_host: dict[str, list[Queue]] = {}
        for queue in configuration.queues_by_name.values():
            self._queues_by_host.setdefault(queue.host, []).append(queue)
        for queues in self._queues_by_host.values():
            queues.sort(key=lambda queue: len(queue.prefix), reverse=True)

    def find(self, host: str, path: str) -> Queue | None:
        """Returns the queue of a host and path, ``None`` if there is none."""
        for queue in self._queues_by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None
