"""One in-memory worker: its runs, ended runs and faults."""

import msgspec

from coltsfootseam.jobs import TaskId
from coltsfootseam.workers import EndedRun, WorkerEntry

_FULL_PERCENT = 100
_MIN_LONG_RUNNING_S = 1e8
_MAX_REPORT_AGE_S = 4.5
"""How long after a change of its capacity a worker's report may be late."""


class MemoryRun(msgspec.Struct):
    """A run in progress."""

    task: TaskId
    number: int
    total_s: float
    remaining_s: float

    def progress(self) -> int:
        """Returns the percent done, always 100 for a long-running task."""
        if self.total_s >= _MIN_LONG_RUNNING_S:
            return _FULL_PERCENT
        done_s = self.total_s - self.remaining_s
        return int(_FULL_PERCENT * done_s / self.total_s)

    def checkpoint(self) -> str:
        """Returns the checkpoint that a later run resumes from."""
        return f"{self.total_s - self.remaining_s:.2f}"


class Violation(msgspec.Struct, frozen=True):
    """A broken guarantee, as observed by a worker."""

    rule: str
    task: TaskId
    detail: str


class WorkerFaults(msgspec.Struct):
    """Faults of one worker.

    Attributes:
        is_unresponsive: Calls are neither applied nor answered.
        fails_all: Every run fails at once.
        hangs: Runs make no progress.
        slowness: Factor by which runs take longer.
        late_start_share: Share of starts that are applied late and without a
            reply.
        delay_s: Delay after which such starts are applied.
        unreachable_from_hosts: Ids of hosts whose calls are neither applied
            nor answered.
        unheard_by_hosts: Ids of hosts whose calls are applied but not
            answered.
        loses_start_replies: Starts are applied at once but not answered.
        resets_connections: The end of the process resets its connections; a
            machine that loses power doesn't.
    """

    is_unresponsive: bool = False
    fails_all: bool = False
    hangs: bool = False
    slowness: float = 1.0
    late_start_share: float = 0.0
    delay_s: float = 3.0
    unreachable_from_hosts: set[str] = set()
    unheard_by_hosts: set[str] = set()
    loses_start_replies: bool = False
    resets_connections: bool = True


class MemoryWorker(msgspec.Struct):
    """One incarnation of a worker.

    Attributes:
        entry: What it reports about itself.
        started_s: When it started, monotonic seconds.
        token: Highest fencing token that it has seen.
        lease_end_ms: End of its lease on its own clock.
        runs_by_task: Its runs in progress.
        ended_runs: Ended runs that are not acknowledged.
        ended_count: How many runs have ended.
        highest_ended_by_task: Highest number of an ended run of each task.
        faults: Its faults.
        is_dead: Whether it has ended.
        is_lapsed: Whether its lease has ended.
        lapse_count: How often its lease has ended.
        lapse_count_by_end: That count when each of its runs ended, by the
            sequence number of the end.
        starts_before_end: How many starts all workers had applied when each
            of its runs ended, by the sequence number of the end.
        resized_s: When its capacity last changed, monotonic seconds.
        tolerated_cpu_millis: Processor that starts may use until a report of
            that change must have been read.
    """

    entry: WorkerEntry
    started_s: float
    token: int = 0
    lease_end_ms: float = 0.0
    runs_by_task: dict[TaskId, MemoryRun] = {}
    ended_runs: list[EndedRun] = []
    ended_count: int = 0
    highest_ended_by_task: dict[TaskId, int] = {}
    faults: WorkerFaults = msgspec.field(default_factory=WorkerFaults)
    is_dead: bool = False
    is_lapsed: bool = False
    lapse_count: int = 0
    lapse_count_by_end: dict[int, int] = {}
    starts_before_end: dict[int, int] = {}
    resized_s: float = float("-inf")
    tolerated_cpu_millis: int = 0

    def capacity_millis(self, now_s: float) -> int:
        """Returns the processor that starts may use, in thousandths."""
        if now_s - self.resized_s < _MAX_REPORT_AGE_S:
            return max(self.entry.cpu_millis, self.tolerated_cpu_millis)
        return self.entry.cpu_millis
