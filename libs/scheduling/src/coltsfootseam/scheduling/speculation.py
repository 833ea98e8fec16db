"""Speculation: starts copies of slow tasks.

Only steps that allow it get copies, and only on capacity that nothing else
waits for. A copy is worthwhile if a new run on a healthy worker is expected to
end well before the first run.
"""

from collections.abc import Callable

import msgspec

from coltsfootseam.jobs import Run, RunPhase, Task
from coltsfootseam.scheduling.registry import Registry
from coltsfootseam.scheduling.step_placement import Placement
from coltsfootseam.scheduling.worker_capacity import WorkerCapacity, step_key

_MS_PER_S = 1000
_FULL_PERCENT = 100
_MIN_SPEEDUP = 1.5
_OVERDUE_RATIO = 1.2
_MIN_REMAINING_S = 0.5
_MAX_HEALTHY_SLOWNESS = 1.5


class SlowRun(msgspec.Struct, frozen=True):
    """A task with a single active run.

    Attributes:
        task: The task.
        run: Its run.
        expected_s: Time that a new run would take on a healthy worker.
        age_s: Time since its run started.
        reported_age_s: Age at which its progress was last reported.
    """

    task: Task
    run: Run
    expected_s: float
    age_s: float
    reported_age_s: float

    def remaining_s(self) -> float:
        """Returns the remaining time of the run, by its progress so far."""
        if self.run.progress <= 0:
            return float("inf")
        total_s = self.reported_age_s * _FULL_PERCENT / self.run.progress
        return total_s - self.age_s


SpeculationRule = Callable[[SlowRun], bool]
"""Returns whether a run should get a copy."""

SPECULATION_RULES: Registry[SpeculationRule] = Registry("copy rule")


@SPECULATION_RULES.register("never")
def never_speculate(slow: SlowRun) -> bool:
    """Returns false: no run gets a copy."""
    del slow
    return False


@SPECULATION_RULES.register("overdue")
def speculate_if_overdue(slow: SlowRun) -> bool:
    """Returns whether a run has taken longer than expected."""
    return slow.age_s > _OVERDUE_RATIO * slow.expected_s


@SPECULATION_RULES.register("remaining")
def speculate_by_remaining_time(slow: SlowRun) -> bool:
    """Returns whether an overdue run needs much longer than a new one would.

    Progress reported before the run was overdue is ignored, as it says little
    about the remaining time.
    """
    overdue_s = _OVERDUE_RATIO * slow.expected_s
    min_remaining_s = max(_MIN_REMAINING_S, _MIN_SPEEDUP * slow.expected_s)
    return (
        slow.reported_age_s > overdue_s and slow.remaining_s() > min_remaining_s
    )


def find_slow_runs(
    tasks: list[Task],
    estimate_ratio: float,
    now_s: float,
    rule: SpeculationRule,
) -> list[SlowRun]:
    """Returns the tasks of a step that should get a copy.

    Args:
        tasks: The tasks of a step that allows copies.
        estimate_ratio: Ratio of the pool's run times to their estimates.
        now_s: Monotonic time.
        rule: Decides which of the tasks with a single run are slow.
    """
    slow_runs = []
    for task in tasks:
        if task.is_done or len(task.runs) != 1 or task.crashed_worker_ids:
            continue
        run = task.runs[0]
        if run.phase is not RunPhase.RUNNING or run.started_s is None:
            continue
        reported_s = run.progress_s or run.started_s
        slow = SlowRun(
            task,
            run,
            expected_s=task.step.estimate_ms * estimate_ratio / _MS_PER_S,
            age_s=now_s - run.started_s,
            reported_age_s=reported_s - run.started_s,
        )
        if rule(slow):
            slow_runs.append(slow)
    return slow_runs


def plan_speculative_copies(
    slow_runs: list[SlowRun],
    workers: list[WorkerCapacity],
    tickets_by_worker: dict[str, str | None],
    max_copies: int | None = None,
) -> list[Placement]:
    """Returns placements of a second run for slow tasks.

    Args:
        slow_runs: Slow tasks of one step.
        workers: Free capacity after the starts of this planning round; the
            copies are reserved on it.
        tickets_by_worker: The step's ticket for each worker, empty where none
            is needed; a worker without one gets no copy.
        max_copies: Limit on the number of copies, ``None`` for no limit.
    """
    placements: list[Placement] = []
    allowed = [
        worker
        for worker in workers
        if tickets_by_worker.get(worker.worker_id) is not None
    ]
    for slow in slow_runs:
        if max_copies is not None and len(placements) >= max_copies:
            break
        worker = _choose_worker(slow, allowed)
        if worker is None:
            continue
        worker.reserve(slow.task.step, step_key(slow.task.id))
        ticket = tickets_by_worker[worker.worker_id] or ""
        placements.append(Placement(slow.task, worker.worker_id, ticket))
    return placements


def _choose_worker(
    slow: SlowRun, workers: list[WorkerCapacity]
) -> WorkerCapacity | None:
    """Returns the healthy worker with the most free processor.

    The worker of the first run, those on which the task failed, and surplus
    ones are left out.
    """
    step = slow.task.step
    key = step_key(slow.task.id)
    fitting = [
        worker
        for worker in workers
        if worker.is_open
        and not worker.is_surplus
        and worker.probation_slots is None
        and worker.slowness < _MAX_HEALTHY_SLOWNESS
        and worker.worker_id != slow.run.worker_id
        and worker.worker_id not in slow.task.failed_worker_ids
        and worker.fits(step)
        and worker.may_run(step, key)
    ]
    return max(fitting, key=lambda worker: worker.free_cpu_millis, default=None)
