"""Places the tasks of one step on workers."""

import heapq
from collections.abc import Callable

import msgspec

from coltsfootseam.jobs import Step, Task
from coltsfootseam.scheduling.fits import Fit
from coltsfootseam.scheduling.ordering import ReadyStep
from coltsfootseam.scheduling.racks import choose_rack
from coltsfootseam.scheduling.worker_capacity import (
    StepKey,
    WorkerCapacity,
    step_key,
)

_FAILED_HERE_COST = 1000.0
_SURPLUS_COST = 200.0
_REMOTE_RACK_COST = 50.0
_SLOWNESS_COST = 20.0
_EMPTY_WORKER_COST = 1.0
_SAME_RACK_COST = 0.1

TicketOf = Callable[[StepKey, str], str | None]
"""Returns a step's ticket for a worker, ``None`` if there is none."""


class Placement(msgspec.Struct, frozen=True):
    """A task and the worker that is to run it."""

    task: Task
    worker_id: str
    ticket: str = ""


def place_step(
    ready: ReadyStep,
    tasks: list[Task],
    workers: list[WorkerCapacity],
    ticket_of: TicketOf,
    fit: Fit,
) -> list[Placement]:
    """Reserves capacity for tasks of a step and returns their placements.

    Args:
        ready: The step.
        tasks: Waiting tasks of it; all of them if it is a gang.
        workers: Workers that may get them.
        ticket_of: Finds tickets for queues that have a policy service.
        fit: Chooses among workers of otherwise equal cost.
    """
    key = step_key(tasks[0].id)
    tickets_by_worker = _find_tickets(ready, key, workers, ticket_of)
    eligible = workers
    if tickets_by_worker is not None:
        eligible = [
            worker
            for worker in workers
            if worker.worker_id in tickets_by_worker
        ]
    if ready.step.same_rack:
        eligible = choose_rack(ready, tasks, eligible, key)
    place = (
        _place_interchangeable
        if _are_interchangeable(tasks)
        else _place_one_by_one
    )
    placed = place(tasks, eligible, key, fit)
    if is_partial_gang(ready.step, len(placed), len(tasks)):
        for task, worker in placed:
            worker.release(task.step, key)
        return []
    tickets = tickets_by_worker or {}
    return [
        Placement(task, worker.worker_id, tickets.get(worker.worker_id, ""))
        for task, worker in placed
    ]


def _are_interchangeable(tasks: list[Task]) -> bool:
    """Returns whether all tasks of a step have the same cost on a worker.

    The cost of a long-running task depends on where its step's other tasks are,
    the cost of a task that failed on where it failed. A task under which a
    worker has crashed may not run beside another such task.
    """
    return not tasks[0].step.long_running and not any(
        task.failed_worker_ids or task.crashed_worker_ids for task in tasks
    )


def _place_interchangeable(
    tasks: list[Task], workers: list[WorkerCapacity], key: StepKey, fit: Fit
) -> list[tuple[Task, WorkerCapacity]]:
    """Places tasks where a placement changes only the cost of its worker."""
    first = tasks[0]
    costs = [
        (_cost(first, worker, workers, key, fit), index)
        for index, worker in enumerate(workers)
        if _can_accept(worker, first.step, key)
    ]
    heapq.heapify(costs)
    placed = []
    for task in tasks:
        if not costs:
            break
        _, index = costs[0]
        worker = workers[index]
        worker.reserve(task.step, key)
        placed.append((task, worker))
        if _can_accept(worker, task.step, key):
            cost = _cost(task, worker, workers, key, fit)
            heapq.heapreplace(costs, (cost, index))
        else:
            heapq.heappop(costs)
    return placed


def _place_one_by_one(
    tasks: list[Task], workers: list[WorkerCapacity], key: StepKey, fit: Fit
) -> list[tuple[Task, WorkerCapacity]]:
    placed = []
    for task in tasks:
        worker = _best_worker(task, workers, key, fit)
        if worker is None:
            break
        worker.reserve(task.step, key)
        if task.crashed_worker_ids:
            worker.has_unproven_suspect = True
        placed.append((task, worker))
    return placed


def _can_accept(worker: WorkerCapacity, step: Step, key: StepKey) -> bool:
    if worker.probation_slots is not None and worker.probation_slots <= 0:
        return False
    return worker.fits(step) and worker.may_run(step, key)


def is_partial_gang(step: Step, placed: int, requested: int) -> bool:
    """Returns whether only some tasks of a gang were placed."""
    return step.gang and placed < requested


def _find_tickets(
    ready: ReadyStep,
    key: StepKey,
    workers: list[WorkerCapacity],
    ticket_of: TicketOf,
) -> dict[str, str] | None:
    """Returns the tickets by worker, ``None`` if none is needed."""
    if ready.queue.advice is None:
        return None
    found = {
        worker.worker_id: ticket_of(key, worker.worker_id) for worker in workers
    }
    return {
        worker_id: ticket
        for worker_id, ticket in found.items()
        if ticket is not None
    }


def _best_worker(
    task: Task, workers: list[WorkerCapacity], key: StepKey, fit: Fit
) -> WorkerCapacity | None:
    step = task.step
    best: WorkerCapacity | None = None
    best_cost = float("inf")
    for worker in workers:
        if not _can_accept(worker, step, key):
            continue
        if task.crashed_worker_ids and worker.has_unproven_suspect:
            continue
        cost = _cost(task, worker, workers, key, fit)
        if cost < best_cost:
            best = worker
            best_cost = cost
    return best


def _cost(
    task: Task,
    worker: WorkerCapacity,
    workers: list[WorkerCapacity],
    key: StepKey,
    fit: Fit,
) -> float:
    step = task.step
    cost = _SLOWNESS_COST * max(0.0, worker.slowness - 1.0)
    if worker.worker_id in task.failed_worker_ids:
        cost += _FAILED_HERE_COST
    if worker.is_surplus:
        cost += _SURPLUS_COST
    if step.rack and step.rack != worker.rack:
        cost += _REMOTE_RACK_COST
    if step.long_running:
        # A long-running task keeps its worker from ever becoming idle, so it
        # goes to one that is in use already.
        cost += _EMPTY_WORKER_COST if worker.is_empty() else 0.0
        cost += _SAME_RACK_COST * _tasks_on_rack(worker, workers, key)
    if step.best_effort:
        return cost + worker.best_effort_count - worker.free_cpu_millis / 1e6
    return cost + fit(worker)


def _tasks_on_rack(
    worker: WorkerCapacity, workers: list[WorkerCapacity], key: StepKey
) -> int:
    return sum(
        other.counts_by_step.get(key, 0)
        for other in workers
        if other.rack == worker.rack
    )
