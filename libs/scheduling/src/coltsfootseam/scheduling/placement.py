"""Plans which tasks of ready steps start, in the order of the steps."""

import heapq
from collections.abc import Iterable
from typing import Protocol

import msgspec

from coltsfootseam.jobs import Task
from coltsfootseam.scheduling.fits import Fit, fit_tightest
from coltsfootseam.scheduling.limits import (
    NO_LIMITS,
    StartLimits,
    tasks_within,
)
from coltsfootseam.scheduling.ordering import ReadyStep
from coltsfootseam.scheduling.step_placement import (
    Placement,
    TicketOf,
    place_step,
)
from coltsfootseam.scheduling.worker_capacity import (
    FreeCapacityBound,
    StepKey,
    WorkerCapacity,
    step_key,
)


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
    left = _place_in_order(planning, ready_steps, now_s, max_placements)
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


def _place_in_order(
    planning: _Round,
    ready_steps: list[ReadyStep],
    now_s: float,
    max_placements: int | None,
) -> list[ReadyStep]:
    """Places steps until enough tasks are placed.

    Returns:
        The steps that are left, which have waiting tasks.
    """
    placements = planning.plan.placements
    left: list[ReadyStep] = []
    for ready in ready_steps:
        tasks = _waiting_tasks(ready, now_s)
        if not tasks:
            continue
        if max_placements is not None and len(placements) >= max_placements:
            left.append(ready)
        else:
            planning.place(ready, tasks)
    return left


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
