"""Messages to and from workers."""

import enum

import msgspec

from coltsfootseam.jobs import RunEnd, TaskId


def worker_incarnation_id(instance_id: str, started_ms: int) -> str:
    """Returns the id of one incarnation of a worker.

    A worker may keep its instance id over a restart.
    """
    return f"{instance_id}@{started_ms}"


def instance_of(worker_id: str) -> str:
    """Returns a worker's instance id from the id of an incarnation."""
    return worker_id.rpartition("@")[0]


def started_ms_of(worker_id: str) -> int:
    """Returns when an incarnation started, Unix milliseconds, from its id."""
    return int(worker_id.rpartition("@")[2])


class WorkerEntry(msgspec.Struct, frozen=True):
    """What a worker reports about itself.

    Attributes:
        worker_id: Id of this incarnation: the instance id and the start.
        instance_id: The worker's own id, which it may keep over a restart.
        started_ms: Start of this incarnation, Unix milliseconds.
        pool: Pool that it belongs to.
        address: Address that orders are sent to.
        zone: Its availability zone.
        is_draining: Whether it is about to leave.
        remaining_ms: Lower bound of the time until a draining worker leaves.
        cpu_millis: Its processor, in thousandths of a core.
        memory_mb: Its memory, in MB.
        accelerators: Number of its accelerators.
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
    """An order to stop a run."""

    task: TaskId
    number: int
    token: int


class PaceOrder(msgspec.Struct, frozen=True):
    """An order to run at a percentage of full speed."""

    task: TaskId
    number: int
    percent: int
    token: int


class HeartbeatRequest(msgspec.Struct, frozen=True):
    """Extends the lease of all runs and asks what runs and what has ended.

    Attributes:
        token: Fencing token of the pool's owner.
        acknowledged: Sequence number of the latest end that the worker may
            forget.
        lease_end_ms: New end of the lease on the worker's clock, ``None`` to
            leave the lease unchanged.
        wait_ms: How long the worker may wait for an end before it replies.
    """

    token: int
    acknowledged: int
    lease_end_ms: int | None
    wait_ms: int


class RunningRun(msgspec.Struct, frozen=True):
    """A run that is active on a worker.

    Attributes:
        task: The task.
        number: Number of the run.
        saved: Latest checkpoint.
        progress: Percent done; a long-running task is active at 100.
        load: Tail latency in ms for a serving task, else processor in use.
    """

    task: TaskId
    number: int
    saved: str
    progress: int
    load: int


class EndedRun(msgspec.Struct, frozen=True):
    """A run that has ended on a worker.

    Attributes:
        sequence: Sequence number of the end on this worker.
        task: The task.
        number: Number of the run.
        end: How the run ended.
        saved: Latest checkpoint.
    """

    sequence: int
    task: TaskId
    number: int
    end: RunEnd
    saved: str


class HeartbeatReply(msgspec.Struct, frozen=True):
    """A worker's reply to a heartbeat.

    Attributes:
        clock_ms: The worker's monotonic clock.
        started_ms: Start of its incarnation, Unix milliseconds, 0 if unknown.
        running: All runs that are active.
        ended: Runs that have ended and aren't acknowledged, oldest first; one
            page of them.
        has_more_ends: Whether there may be further such runs, which the worker
            lists once these are acknowledged. Until then a run that is in
            neither list may have ended.
    """

    clock_ms: int
    started_ms: int
    running: list[RunningRun]
    ended: list[EndedRun]
    has_more_ends: bool = False


class OrderOutcome(enum.IntEnum):
    """Outcome of an order."""

    DONE = 0
    FENCED = 1
    """The worker has seen a newer owner."""
    OLD = 2
    """That run, or a later one of the task, has already ended there."""
    LATE = 3
    """The order's lease ended before the order arrived."""
    NO_ROOM = 4
    NO_TICKET = 5
    OTHER_LIFE = 6
    """Another incarnation of the worker is at that address."""
    UNHEALTHY = 7
    """The worker refused the order and did nothing."""
    MALFORMED = 8
    UNKNOWN = 9
    """No reply: the order may have been carried out, or may be later."""


class OrderReply(msgspec.Struct, frozen=True):
    """A worker's reply to an order.

    Attributes:
        outcome: Outcome of the order.
        clock_ms: The worker's monotonic clock, ``None`` if unknown.
        is_confirmed: Whether the incarnation that the order was meant for has
            replied. It is false if that can't be told.
    """

    outcome: OrderOutcome
    clock_ms: int | None = None
    is_confirmed: bool = False
