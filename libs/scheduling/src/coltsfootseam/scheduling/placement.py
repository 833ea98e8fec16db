"""Places the tasks of ready steps on workers."""

import heapq
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from coltsfootseam.jobs import Step, Task
from coltsfootseam.scheduling.fits import Fit, fit_tightest
from coltsfootseam.scheduling.limits import (
    NO_LIMITS,
    StartLimits,
    tasks_within,
)
from coltsfootseam.scheduling.ordering import ReadyStep
from coltsfootseam.scheduling.racks import choose_rack
from coltsfootseam.scheduling.worker_capacity import (
    FreeCapacityBound,
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


class Shortage(msgspec.Struct, frozen=True):
    """A ready step and how many of its tasks could not be placed."""

    ready: ReadyStep
    count: int
    needs_ticket: bool = False

    def key(self) -> StepKey:
        """Returns the key of the step."""
        return _key_of(self.ready)


class Plan(msgspec.Struct):
    """The result of a planning round.

    Attributes:
        placements: Tasks to start.
        shortages: Tasks for which there was no capacity.
        undecided: Tasks left to a later round because the limit on placements
            was reached; whether there is capacity for them isn't known.
        over_quota: Tasks that the limits on starts held back, whether or not
            there was capacity for them.
    """

    placements: list[Placement] = []
    shortages: list[Shortage] = []
    undecided: list[Shortage] = []
    over_quota: list[Shortage] = []


class LookAhead(Protocol):
    """Holds capacity back for steps that don't fit yet."""

    def open_workers_for(
        self, ready: ReadyStep, key: StepKey, may_fit: bool
    ) -> list[WorkerCapacity]:
        """Returns the workers that a step may be placed on."""

    def settle(
        self,
        ready: ReadyStep,
        key: StepKey,
        placements: list[Placement],
        missing: int,
    ) -> bool:
        """Adapts what is held back; returns whether more may be free."""

    def finish(self, undecided: Iterable[StepKey]) -> None:
        """Ends the planning round."""


class _Round(msgspec.Struct):
    """What a planning round places tasks with.

    Attributes:
        plan: The result so far.
        open_workers: Workers that take new tasks.
        bound: Upper bound of their free capacity.
        ticket_of: Finds tickets for queues that have a policy service.
        fit: Chooses among workers of otherwise equal cost.
        limits: Limits what may start besides the workers' capacity.
        look_ahead: Holds capacity back for steps that don't fit, or ``None``.
    """

    plan: Plan
    open_workers: list[WorkerCapacity]
    bound: FreeCapacityBound
    ticket_of: TicketOf
    fit: Fit
    limits: StartLimits
    look_ahead: LookAhead | None

    def place(self, ready: ReadyStep, tasks: list[Task]) -> None:
        """Places tasks of a step, as far as they fit and the limits allow."""
        tasks = _hold_back(self.plan, ready, tasks, self.limits)
        if not tasks:
            return
        key = step_key(tasks[0].id)
        may_fit = self.bound.may_fit(ready.step)
        eligible = self.open_workers if may_fit else []
        if self.look_ahead is not None:
            eligible = self.look_ahead.open_workers_for(
                ready, key, bool(eligible)
            )
        placed: list[Placement] = []
        if eligible:
            placed = place_step(
                ready, tasks, eligible, self.ticket_of, self.fit
            )
            self.bound.record_reservations(len(placed))
            self.limits.take(ready, len(placed))
        self.plan.placements.extend(placed)
        missing = len(tasks) - len(placed)
        if missing:
            self.plan.shortages.append(make_shortage(ready, missing))
        if self.look_ahead is not None and self.look_ahead.settle(
            ready, key, placed, missing
        ):
            self.bound.refresh()


def plan_starts(
    ready_steps: list[ReadyStep],
    workers: list[WorkerCapacity],
    now_s: float,
    ticket_of: TicketOf,
    fit: Fit | None = None,
    max_placements: int | None = None,
    limits: StartLimits = NO_LIMITS,
    look_ahead: LookAhead | None = None,
    max_late_placements: int = 0,
) -> Plan:
    """Returns a plan that places the waiting tasks of ready steps.

    Args:
        ready_steps: Ready steps, in the order in which they are to be served.
        workers: Snapshot of the workers, which the placements are reserved on.
        now_s: Monotonic time.
        ticket_of: Finds tickets for queues that have a policy service.
        fit: Chooses among workers of otherwise equal cost, ``None`` for the
            tightest fit.
        max_placements: No further step is placed once this many tasks are,
            ``None`` for no limit. A step is never split, so that gangs stay
            whole, and the plan may exceed the limit.
        limits: Limits what may start besides the workers' capacity.
        look_ahead: Holds capacity back for steps that don't fit, ``None`` if
            every step may use all that is free.
        max_late_placements: Up to this many placements in all, steps that are
            left to a later round are placed nevertheless if they have waited
            for longer than their objective, the latest ones first. Otherwise
            they would never start while others always go before them.
    """
    plan = Plan()
    open_workers = [worker for worker in workers if worker.is_open]
    planning = _Round(
        plan,
        open_workers,
        FreeCapacityBound(open_workers),
        ticket_of,
        fit or fit_tightest,
        limits,
        look_ahead,
    )
    left: list[ReadyStep] = []
    for ready in ready_steps:
        tasks = _waiting_tasks(ready, now_s)
        if not tasks:
            continue
        is_over = (
            max_placements is not None
            and len(plan.placements) >= max_placements
        )
        if is_over:
            left.append(ready)
        else:
            planning.place(ready, tasks)
    placed_keys = _place_late(planning, left, now_s, max_late_placements)
    for ready in left:
        waiting = len(_waiting_tasks(ready, now_s))
        if _key_of(ready) not in placed_keys:
            plan.undecided.append(make_shortage(ready, waiting))
    if look_ahead is not None:
        look_ahead.finish(item.key() for item in plan.undecided)
    if limits is not NO_LIMITS:
        plan.shortages = _within_limits(plan.shortages, limits, plan)
        plan.undecided = _within_limits(plan.undecided, limits, plan)
    return plan


def _place_late(
    planning: _Round, left: list[ReadyStep], now_s: float, max_placements: int
) -> set[StepKey]:
    """Places late steps that would be left to a later round.

    Returns:
        The steps for which that was tried.
    """
    keys: set[StepKey] = set()
    if max_placements <= len(planning.plan.placements):
        return keys
    late = [ready for ready in left if ready.waited_s > ready.objective_s]
    for ready in heapq.nlargest(max_placements, late, key=_lateness):
        room = max_placements - len(planning.plan.placements)
        tasks = _waiting_tasks(ready, now_s)
        if room <= 0 or (ready.step.gang and len(tasks) > room):
            continue
        planning.place(ready, tasks[:room])
        keys.add(_key_of(ready))
        if len(tasks) > room:
            rest = make_shortage(ready, len(tasks) - room)
            planning.plan.undecided.append(rest)
    return keys


def _lateness(ready: ReadyStep) -> float:
    return ready.waited_s / ready.objective_s


def _key_of(ready: ReadyStep) -> StepKey:
    return ready.job.id, ready.occurrence.number, ready.number


def _hold_back(
    plan: Plan, ready: ReadyStep, tasks: list[Task], limits: StartLimits
) -> list[Task]:
    """Returns the tasks within the limits, and adds the others to the plan."""
    within = tasks_within(limits, ready, tasks)
    if len(within) < len(tasks):
        held_back = make_shortage(ready, len(tasks) - len(within))
        plan.over_quota.append(held_back)
    return within


def _within_limits(
    shortages: list[Shortage], limits: StartLimits, plan: Plan
) -> list[Shortage]:
    """Returns what could start on more machines; holds the rest back.

    Each shortage was within the limits by itself. Together they may exceed
    what the placements have left of them.
    """
    within = []
    for shortage in shortages:
        ready = shortage.ready
        allowed = max(0, limits.allowed(ready, shortage.count))
        if allowed < shortage.count and ready.step.gang:
            allowed = 0
        limits.take(ready, allowed)
        if allowed:
            within.append(make_shortage(ready, allowed))
        if allowed < shortage.count:
            held_back = make_shortage(ready, shortage.count - allowed)
            plan.over_quota.append(held_back)
    return within


def make_shortage(ready: ReadyStep, count: int) -> Shortage:
    """Returns the shortage of a number of a step's tasks."""
    return Shortage(ready, count, ready.queue.advice is not None)


def _waiting_tasks(ready: ReadyStep, now_s: float) -> list[Task]:
    tasks = ready.occurrence.tasks_by_step[ready.number]
    waiting = [
        task
        for task in tasks
        if task.is_pending()
        and task.wait_until_s <= now_s
        and not task.is_suspect
    ]
    if ready.step.gang and len(waiting) < len(tasks):
        return []
    return waiting


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
