"""Places suspects: tasks that may crash the worker that starts them.

A suspect runs on a worker that runs nothing else, so that a crash harms no
other task and tells whether the suspect is the cause. The next suspect may join
it once it is proven. While no worker is empty, some get no new tasks until they
are. A suspect that has waited for long accepts a worker all of whose runs are
proven.
"""

import msgspec

from coltsfootseam.jobs import Task
from coltsfootseam.scheduling.fits import Fit
from coltsfootseam.scheduling.limits import (
    NO_LIMITS,
    StartLimits,
    tasks_within,
)
from coltsfootseam.scheduling.ordering import ReadyStep
from coltsfootseam.scheduling.placement import Shortage, make_shortage
from coltsfootseam.scheduling.step_placement import (
    Placement,
    TicketOf,
    place_step,
)
from coltsfootseam.scheduling.worker_capacity import WorkerCapacity, step_key

_MAX_EXCLUSIVE_WAIT_S = 2.0
_MIN_ISOLATING_WORKERS = 2


class _Group(msgspec.Struct, frozen=True):
    """Suspects to place together: a single task, or a gang."""

    ready: ReadyStep
    tasks: list[Task]

    def suspect_since_s(self) -> float:
        """Returns since when one of the tasks has been a suspect."""
        return min(
            task.suspect_since_s
            for task in self.tasks
            if task.suspect_since_s is not None
        )

    def crash_count(self) -> int:
        """Returns how many workers have crashed under the tasks."""
        return max(len(task.crashed_worker_ids) for task in self.tasks)


class IsolationPlan(msgspec.Struct):
    """The result of placing suspects.

    Attributes:
        placements: Suspects to start.
        reserved_ids: Workers that get no new tasks, so that they become empty.
        waiting_count: How many more workers suspects could use.
        lacking_tickets: Suspects that wait for a ticket of a policy service.
        over_quota: Suspects that the limits on starts held back. No worker is
            reserved for them.
    """

    placements: list[Placement] = []
    reserved_ids: set[str] = set()
    waiting_count: int = 0
    lacking_tickets: list[Shortage] = []
    over_quota: list[Shortage] = []


def max_isolating_workers(worker_count: int, share: float) -> int:
    """Returns how many workers of a pool may run suspects at once."""
    return max(_MIN_ISOLATING_WORKERS, int(worker_count * share))


def plan_isolated_starts(
    ready_steps: list[ReadyStep],
    workers: list[WorkerCapacity],
    now_s: float,
    ticket_of: TicketOf,
    fit: Fit,
    max_isolating: int,
    reserved_ids: set[str],
    limits: StartLimits = NO_LIMITS,
) -> IsolationPlan:
    """Returns a plan that places suspects; call it before all other tasks.

    Args:
        ready_steps: Ready steps, in the order in which they are to be served.
        workers: Snapshot of the workers. Those that the plan uses or reserves
            are closed.
        now_s: Monotonic time.
        ticket_of: Finds tickets for queues that have a policy service.
        fit: Chooses among workers of otherwise equal cost.
        max_isolating: How many workers may run suspects at once. A suspect that
            has waited for long does not count.
        reserved_ids: Workers that the previous plan reserved.
        limits: Limits what may start besides the workers' capacity.
    """
    plan = IsolationPlan()
    free_slots = max_isolating - _close_isolating(workers)
    for group in _waiting_groups(ready_steps, now_s):
        is_overdue = now_s - group.suspect_since_s() > _MAX_EXCLUSIVE_WAIT_S
        if free_slots <= 0 and not is_overdue:
            continue
        if not tasks_within(limits, group.ready, group.tasks):
            held_back = make_shortage(group.ready, len(group.tasks))
            plan.over_quota.append(held_back)
            continue
        used = _place_group(group, workers, is_overdue, ticket_of, fit, plan)
        if used:
            limits.take(group.ready, len(group.tasks))
        else:
            suitable = _suitable_workers(group, workers, is_overdue, ticket_of)
            used = _reserve_workers(group, suitable, reserved_ids, plan)
        free_slots -= max(1, used)
    return plan


def _close_isolating(workers: list[WorkerCapacity]) -> int:
    """Closes the workers that run suspects, and returns how many they are."""
    isolating = [worker for worker in workers if worker.is_isolating]
    for worker in isolating:
        worker.is_open = False
    return len(isolating)


def _waiting_groups(ready_steps: list[ReadyStep], now_s: float) -> list[_Group]:
    """Returns the waiting suspects, those with the most crashes first."""
    groups: list[_Group] = []
    for ready in ready_steps:
        tasks = ready.occurrence.tasks_by_step[ready.number]
        waiting = [
            task
            for task in tasks
            if task.is_pending() and task.wait_until_s <= now_s
        ]
        suspects = [task for task in waiting if task.is_suspect]
        if not ready.step.gang:
            groups.extend(_Group(ready, [task]) for task in suspects)
        elif suspects and len(waiting) == len(tasks):
            groups.append(_Group(ready, waiting))
    groups.sort(key=lambda group: -group.crash_count())
    return groups


def _place_group(
    group: _Group,
    workers: list[WorkerCapacity],
    is_overdue: bool,
    ticket_of: TicketOf,
    fit: Fit,
    plan: IsolationPlan,
) -> int:
    """Places a group; returns how many workers it uses, 0 if it can't."""
    candidates = [
        worker
        for worker in workers
        if worker.is_open and _is_safe_company(worker, is_overdue)
    ]
    placements = place_step(
        group.ready, group.tasks, candidates, ticket_of, fit
    )
    used_ids = {placement.worker_id for placement in placements}
    for worker in candidates:
        if worker.worker_id in used_ids:
            worker.is_open = False
    plan.placements.extend(placements)
    return len(used_ids)


def _is_safe_company(worker: WorkerCapacity, is_overdue: bool) -> bool:
    """Returns whether a crash there would tell the cause, and harm few."""
    if worker.unproven_count:
        return False
    return worker.has_only_isolated or is_overdue


def _suitable_workers(
    group: _Group,
    workers: list[WorkerCapacity],
    is_overdue: bool,
    ticket_of: TicketOf,
) -> list[WorkerCapacity]:
    """Returns the open workers that could run a group once they are empty."""
    step = group.ready.step
    key = step_key(group.tasks[0].id)
    needs_ticket = group.ready.queue.advice is not None
    return [
        worker
        for worker in workers
        if worker.is_open
        and worker.may_run(step, key)
        and worker.fits_when_empty(step)
        and (is_overdue or not worker.long_running_count)
        and not (needs_ticket and ticket_of(key, worker.worker_id) is None)
    ]


def _reserve_workers(
    group: _Group,
    suitable: list[WorkerCapacity],
    reserved_ids: set[str],
    plan: IsolationPlan,
) -> int:
    """Closes the workers that are empty soonest; returns how many.

    A gang gets as many as it may need, as it starts on all of them at once.
    """
    if group.ready.queue.advice is not None:
        # Also while workers are reserved, as their tickets may expire before
        # they are empty.
        plan.lacking_tickets.append(
            Shortage(group.ready, len(group.tasks), needs_ticket=True)
        )
    suitable.sort(
        key=lambda worker: (
            worker.worker_id not in reserved_ids,
            worker.long_running_count,
            worker.remaining_s,
        ),
    )
    chosen = suitable[: _workers_needed(group, suitable)]
    for worker in chosen:
        worker.is_open = False
        plan.reserved_ids.add(worker.worker_id)
    if not chosen:
        plan.waiting_count += 1
    return len(chosen)


def _workers_needed(group: _Group, workers: list[WorkerCapacity]) -> int:
    """Returns how many empty workers a group fits on, at most one a task."""
    step = group.ready.step
    largest = max((item.size.cpu_millis for item in workers), default=0)
    per_worker = max(1, largest // max(1, step.cpu_millis))
    if step.per_worker_limit:
        per_worker = min(per_worker, step.per_worker_limit)
    return -(-len(group.tasks) // per_worker)
