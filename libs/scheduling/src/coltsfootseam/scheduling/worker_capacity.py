"""Snapshots of the free capacity of workers, to plan with."""

import msgspec

from coltsfootseam.jobs import Resources, Step, Task, TaskId
from coltsfootseam.scheduling.occupancy import WorkerSize
from coltsfootseam.workers import WorkerEntry

StepKey = tuple[str, int, int]
"""Identifies a step of one occurrence: job id, occurrence, step."""


def step_key(task_id: TaskId) -> StepKey:
    """Returns the key of the step that a task belongs to."""
    return task_id.job_id, task_id.occurrence, task_id.step


class WorkerCapacity(msgspec.Struct):
    """A worker and its free capacity.

    Attributes:
        worker_id: Incarnation of the worker.
        zone: Its availability zone.
        rack: Its rack.
        labels: All of its labels.
        free_cpu_millis: Processor that isn't reserved, in thousandths of a
            core.
        free_memory_mb: Memory that isn't reserved, in MB.
        free_accelerators: Accelerators that aren't reserved.
        is_open: Whether it may get new tasks.
        is_surplus: Whether the pool could release it, so that it gets tasks
            only if no other worker can take them.
        probation_slots: How many new tasks it may get while on probation,
            ``None`` if it isn't.
        slowness: Ratio of its run times to the pool's.
        best_effort_count: Best-effort tasks on it.
        counts_by_step: How many tasks of each step it runs.
        long_running_count: Long-running tasks on it.
        unproven_count: Runs on it that it hasn't reported for a while yet.
        has_unproven_suspect: Whether one of these is of a task under which a
            worker has crashed before.
        is_isolating: Whether a suspect runs there in isolation and isn't
            proven.
        has_only_isolated: Whether suspects are all that runs there.
        remaining_s: Estimated time until all runs on it have ended.
        size: Its resources when nothing runs on it.
    """

    worker_id: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    free_cpu_millis: int
    free_memory_mb: int
    free_accelerators: int
    is_open: bool = True
    is_surplus: bool = False
    probation_slots: int | None = None
    slowness: float = 1.0
    best_effort_count: int = 0
    counts_by_step: dict[StepKey, int] = {}
    long_running_count: int = 0
    unproven_count: int = 0
    has_unproven_suspect: bool = False
    is_isolating: bool = False
    has_only_isolated: bool = True
    remaining_s: float = 0.0
    size: WorkerSize = WorkerSize()

    def is_empty(self) -> bool:
        """Returns whether no task runs on the worker."""
        return not any(self.counts_by_step.values())

    def fits(self, step: Step) -> bool:
        """Returns whether there is capacity for a task of the step."""
        if step.memory_mb > self.free_memory_mb:
            return False
        if step.accelerators > self.free_accelerators:
            return False
        return step.best_effort or step.cpu_millis <= self.free_cpu_millis

    def fits_when_empty(self, step: Step) -> bool:
        """Returns whether a task of the step fits if nothing else runs."""
        return (
            step.memory_mb <= self.size.memory_mb
            and step.accelerators <= self.size.accelerators
            and (step.best_effort or step.cpu_millis <= self.size.cpu_millis)
        )

    def may_run(self, step: Step, key: StepKey) -> bool:
        """Returns whether the step's label and limit allow this worker."""
        if step.label and step.label not in self.labels:
            return False
        if not step.per_worker_limit:
            return True
        return self.counts_by_step.get(key, 0) < step.per_worker_limit

    def reserve(self, step: Step, key: StepKey) -> None:
        """Reserves capacity for a task."""
        if step.best_effort:
            self.best_effort_count += 1
        else:
            self.free_cpu_millis -= step.cpu_millis
        self.free_memory_mb -= step.memory_mb
        self.free_accelerators -= step.accelerators
        self.counts_by_step[key] = self.counts_by_step.get(key, 0) + 1
        if self.probation_slots is not None:
            self.probation_slots -= 1

    def release(self, step: Step, key: StepKey) -> None:
        """Releases the capacity reserved for a task."""
        if step.best_effort:
            self.best_effort_count -= 1
        else:
            self.free_cpu_millis += step.cpu_millis
        self.free_memory_mb += step.memory_mb
        self.free_accelerators += step.accelerators
        self.counts_by_step[key] -= 1
        if self.probation_slots is not None:
            self.probation_slots += 1


def fits_beside(task: Task, occupied: Resources, entry: WorkerEntry) -> bool:
    """Returns whether a task fits on a worker, part of which is occupied."""
    worker = WorkerCapacity(
        worker_id=entry.worker_id,
        zone=entry.zone,
        rack="",
        labels=entry.labels,
        free_cpu_millis=entry.cpu_millis - occupied.cpu_millis,
        free_memory_mb=entry.memory_mb - occupied.memory_mb,
        free_accelerators=entry.accelerators - occupied.accelerators,
    )
    return worker.fits(task.step)


class FreeCapacityBound:
    """Upper bound of the free capacity of any worker.

    It rules out cheaply that a task fits anywhere. Free capacity only shrinks
    during a planning round, so a stale bound is still a valid upper bound.
    """

    __slots__ = (
        "_accelerators",
        "_cpu_millis",
        "_is_stale",
        "_memory_mb",
        "_workers",
    )

    def __init__(self, workers: list[WorkerCapacity]) -> None:
        self._workers = workers
        self._is_stale = False
        self.refresh()

    def may_fit(self, step: Step) -> bool:
        """Returns whether a task of the step may fit on some worker."""
        if self._fits(step) and self._is_stale:
            self.refresh()
        return self._fits(step)

    def record_reservations(self, count: int) -> None:
        """Marks the bound as stale if capacity was reserved."""
        self._is_stale = self._is_stale or count > 0

    def _fits(self, step: Step) -> bool:
        if step.memory_mb > self._memory_mb:
            return False
        if step.accelerators > self._accelerators:
            return False
        return step.best_effort or step.cpu_millis <= self._cpu_millis

    def refresh(self) -> None:
        """Reads the free capacity of the workers again."""
        workers = self._workers
        self._cpu_millis = max(
            (worker.free_cpu_millis for worker in workers), default=-1
        )
        self._memory_mb = max(
            (worker.free_memory_mb for worker in workers), default=-1
        )
        self._accelerators = max(
            (worker.free_accelerators for worker in workers), default=-1
        )
        self._is_stale = False
