"""Chooses one rack for all tasks of a step."""

from coltsfootseam.jobs import Task
from coltsfootseam.scheduling.ordering import ReadyStep
from coltsfootseam.scheduling.worker_capacity import StepKey, WorkerCapacity


def choose_rack(
    ready: ReadyStep,
    tasks: list[Task],
    workers: list[WorkerCapacity],
    key: StepKey,
) -> list[WorkerCapacity]:
    """Returns the workers of one rack.

    A rack that runs tasks of the step already is kept; else the one that fits
    the most of them is chosen.
    """
    workers_by_rack: dict[str, list[WorkerCapacity]] = {}
    for worker in workers:
        workers_by_rack.setdefault(worker.rack, []).append(worker)
    placed_by_rack = {
        rack: sum(worker.counts_by_step.get(key, 0) for worker in members)
        for rack, members in workers_by_rack.items()
    }
    for rack, count in placed_by_rack.items():
        if count:
            return workers_by_rack[rack]
    best = max(
        workers_by_rack,
        key=lambda rack: (
            min(_count_fitting(workers_by_rack[rack], ready, key), len(tasks)),
            rack == ready.step.rack,
        ),
        default=None,
    )
    return [] if best is None else workers_by_rack[best]


def _count_fitting(
    workers: list[WorkerCapacity], ready: ReadyStep, key: StepKey
) -> int:
    """Returns how many tasks of a step fit on the workers."""
    step = ready.step
    count = 0
    for worker in workers:
        if not worker.may_run(step, key):
            continue
        fitting = worker.free_memory_mb // max(1, step.memory_mb)
        if not step.best_effort:
            fitting = min(
                fitting, worker.free_cpu_millis // max(1, step.cpu_millis)
            )
        if step.accelerators:
            fitting = min(
                fitting, worker.free_accelerators // step.accelerators
            )
        if step.per_worker_limit:
            fitting = min(fitting, step.per_worker_limit)
        count += max(0, fitting)
    return count
