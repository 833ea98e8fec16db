"""One worker in memory: its runs, its ends and what goes wrong there."""

import msgspec

from coltsfootseam.jobs import TaskId
from coltsfootseam.workers import EndedRun, WorkerEntry

_FULL_PERCENT = 100
_MIN_LONG_RUNNING_S = 1e8


class MemoryRun(msgspec.Struct):
    """A run at work."""

    task: TaskId
    number: int
    total_s: float
    remaining_s: float

    def progress(self) -> int:
        """Returns the percent done; a task that lasts is at work at 100."""
        if self.total_s >= _MIN_LONG_RUNNING_S:
            return _FULL_PERCENT
        done_s = self.total_s - self.remaining_s
        return int(_FULL_PERCENT * done_s / self.total_s)

    def checkpoint(self) -> str:
        """Returns its progress as text, to be resumed from."""
        return f"{self.total_s - self.remaining_s:.2f}"


class Violation(msgspec.Struct, frozen=True):
    """Something that must not happen, as a worker saw it."""

    rule: str
    task: TaskId
    detail: str


class WorkerFaults(msgspec.Struct):
    """What goes wrong at one worker.

    Attributes:
        is_unresponsive: No call is answered or carried out.
        fails_all: Every run ends failed at once.
        hangs: Runs make no progress.
        slowness: Runs take that many times as long.
        late_start_share: Share of starts without an answer, carried out late.
        delay_s: How much later.
        unreachable_from_hosts: Hosts whose calls neither arrive nor are answered.
    """

    is_unresponsive: bool = False
    fails_all: bool = False
    hangs: bool = False
    slowness: float = 1.0
    late_start_share: float = 0.0
    delay_s: float = 3.0
    unreachable_from_hosts: set[str] = set()


class MemoryWorker(msgspec.Struct):
    """One life of a worker."""

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
