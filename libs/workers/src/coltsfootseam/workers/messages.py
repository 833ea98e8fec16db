"""Messages to and from workers."""

import enum

import msgspec

from coltsfootseam.jobs import RunEnd, TaskId


def worker_incarnation_id(instance_id: str, started_ms: int) -> str:
    """Names one life of a worker, as it may keep its id over a restart."""
    return f"{instance_id}@{started_ms}"


def instance_of(worker_id: str) -> str:
    """Returns the worker's own id from the name of one of its lives."""
    return worker_id.rpartition("@")[0]


class WorkerEntry(msgspec.Struct, frozen=True):
    """What a worker says of itself.

    Attributes:
        worker_id: Names one life of the worker: its instance and its start.
        instance_id: The worker's own id; it may keep it over a restart.
        started_ms: Start of this life, Unix milliseconds.
        pool: Pool that it works for.
        address: Where it takes orders.
        zone: Availability zone.
        is_draining: Whether it is about to leave.
        remaining_ms: Least time until a draining worker leaves.
        cpu_millis: Processor that it has, in thousandths of a core.
        memory_mb: Memory that it has, in MB.
        accelerators: Accelerators that it has.
        labels: Its kind and its rack.
        machine_id: Machine that it runs on, or empty.
    """

    worker_id: str
    instance_id: str
    started_ms: int
    pool: str
    address: str
    zone: str
    is_draining: bool
    remaining_ms: int | None
    cpu_millis: int
    memory_mb: int
    accelerators: int
    labels: tuple[str, ...]
    machine_id: str = ""


class StartOrder(msgspec.Struct, frozen=True):
    """An order to run a task."""

    task: TaskId
    number: int
    text: str
    lease_end_ms: int
    token: int
    checkpoint: str = ""
    ticket: str = ""


class StopOrder(msgspec.Struct, frozen=True):
    """An order to end a run."""

    task: TaskId
    number: int
    token: int


class PaceOrder(msgspec.Struct, frozen=True):
    """An order to let a run work at a share of its speed."""

    task: TaskId
    number: int
    percent: int
    token: int


class HeartbeatRequest(msgspec.Struct, frozen=True):
    """Extends the lease of all that runs and asks what runs and has ended.

    Attributes:
        token: Number of the ownership of the pool.
        acknowledged: Number of the newest end that may be forgotten.
        lease_end_ms: New end of the lease on the worker's clock, if known.
        wait_ms: How long the answer may wait for an end.
    """

    token: int
    acknowledged: int
    lease_end_ms: int | None
    wait_ms: int


class RunningRun(msgspec.Struct, frozen=True):
    """A run that is at work on a worker.

    Attributes:
        task: What runs.
        number: Number of the start.
        saved: Newest progress that was saved.
        progress: Percent done; a task that lasts is at work at 100.
        load: Tail in ms for a task that serves, else processor in use.
    """

    task: TaskId
    number: int
    saved: str
    progress: int
    load: int


class EndedRun(msgspec.Struct, frozen=True):
    """A run that has ended on a worker; ``sequence`` numbers the ends."""

    sequence: int
    task: TaskId
    number: int
    end: RunEnd
    saved: str


class HeartbeatReply(msgspec.Struct, frozen=True):
    """A worker's answer to a hold."""

    clock_ms: int
    started_ms: int
    running: list[RunningRun]
    ended: list[EndedRun]


class OrderOutcome(enum.IntEnum):
    """What became of an order."""

    DONE = 0
    FENCED = 1
    """The worker has seen a newer owner."""
    OLD = 2
    """That run, or a later one, has ended there already."""
    LATE = 3
    """The order's lease had ended before it arrived."""
    NO_ROOM = 4
    NO_TICKET = 5
    OTHER_LIFE = 6
    """The worker at that address is not the one meant."""
    UNHEALTHY = 7
    """The worker refused it and has done nothing."""
    MALFORMED = 8
    UNKNOWN = 9
    """No answer: it may have been carried out, or be so later."""


class OrderAnswer(msgspec.Struct, frozen=True):
    """A worker's answer to an order."""

    outcome: OrderOutcome
    clock_ms: int | None = None
