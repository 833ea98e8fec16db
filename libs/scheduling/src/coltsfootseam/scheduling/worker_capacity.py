"""What is free on each worker, as a snapshot to plan with."""

import msgspec

from coltsfootseam.jobs import Step, TaskId

StepKey = tuple[str, int, int]
"""Names a step of one occurrence: job id, occurrence, step."""


def step_key(task_id: TaskId) -> StepKey:
    """Returns the step of an occurrence that a task belongs to."""
    return task_id.job_id, task_id.occurrence, task_id.step


class WorkerCapacity(msgspec.Struct):
    """One worker and what is free on it.

    Attributes:
        worker_id: The life of the worker.
        zone: Its availability zone.
        rack: Its rack.
        labels: All of its labels.
        free_cpu_millis: Processor that no order claims.
        free_memory_mb: Memory that no order claims.
        free_accelerators: Accelerators that no order claims.
        is_open: Whether new work may go there.
        probation_slots: How many new tasks it may get while on probation,
            ``None`` if it isn't.
        slowness: Run times there against the pool's, 1.0 for alike.
        best_effort_count: Tasks on it that live on unused capacity.
        counts_by_step: How many tasks of a step it runs.
    """

    worker_id: str
    zone: str
    rack: str
    labels: tuple[str, ...]
    free_cpu_millis: int
    free_memory_mb: int
    free_accelerators: int
    is_open: bool = True
    probation_slots: int | None = None
    slowness: float = 1.0
    best_effort_count: int = 0
    counts_by_step: dict[StepKey, int] = {}

    def is_empty(self) -> bool:
        """Tells whether nothing runs here."""
        return not any(self.counts_by_step.values())

    def fits(self, step: Step) -> bool:
        """Tells whether a task of the step has room here."""
        if step.memory_mb > self.free_memory_mb:
            return False
        if step.accelerators > self.free_accelerators:
            return False
        return step.best_effort or step.cpu_millis <= self.free_cpu_millis

    def may_run(self, step: Step, key: StepKey) -> bool:
        """Tells whether the step's own conditions allow this worker."""
        if step.label and step.label not in self.labels:
            return False
        if not step.per_worker_limit:
            return True
        return self.counts_by_step.get(key, 0) < step.per_worker_limit

    def reserve(self, step: Step, key: StepKey) -> None:
        """Claims room for a task."""
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
        """Gives the room of a task back."""
        if step.best_effort:
            self.best_effort_count -= 1
        else:
            self.free_cpu_millis += step.cpu_millis
        self.free_memory_mb += step.memory_mb
        self.free_accelerators += step.accelerators
        self.counts_by_step[key] -= 1
        if self.probation_slots is not None:
            self.probation_slots += 1


class FreeCapacityBound:
    """Tells cheaply that no worker has room for a task.

    What is free only shrinks while a round is planned, so an old answer of yes
    may be wrong and an old answer of no stays right.
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
        self._refresh()

    def may_fit(self, step: Step) -> bool:
        """Tells whether a task of the step may have room somewhere."""
        if self._fits(step) and self._is_stale:
            self._refresh()
        return self._fits(step)

    def record_reservations(self, count: int) -> None:
        """Takes note that room was claimed."""
        self._is_stale = self._is_stale or count > 0

    def _fits(self, step: Step) -> bool:
        if step.memory_mb > self._memory_mb:
            return False
        if step.accelerators > self._accelerators:
            return False
        return step.best_effort or step.cpu_millis <= self._cpu_millis

    def _refresh(self) -> None:
        workers = self._workers
        self._cpu_millis = max((r.free_cpu_millis for r in workers), default=-1)
        self._memory_mb = max((r.free_memory_mb for r in workers), default=-1)
        self._accelerators = max(
            (r.free_accelerators for r in workers), default=-1
        )
        self._is_stale = False
