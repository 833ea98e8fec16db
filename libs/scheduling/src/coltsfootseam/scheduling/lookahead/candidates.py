"""Chooses workers to reserve for tasks of a step."""

import heapq
from collections.abc import Callable

import msgspec

from coltsfootseam.jobs import Step
from coltsfootseam.scheduling.lookahead.releases import (
    ReleasesOf,
    Span,
    expect_due,
)
from coltsfootseam.scheduling.ordering import ReadyStep
from coltsfootseam.scheduling.step_placement import TicketOf
from coltsfootseam.scheduling.worker_capacity import (
    StepKey,
    WorkerCapacity,
)

_MAX_EXAMINED = 24
"""Workers whose releases are examined, those that lack the least first."""
_SURPLUS_DEFICIT = 100.0


class Choice(msgspec.Struct):
    """A worker to reserve.

    Attributes:
        worker: The worker.
        count: For how many tasks.
        due: When the first of them fits; in a gang, when all of them do.
    """

    worker: WorkerCapacity
    count: int
    due: Span


class Request(msgspec.Struct, frozen=True):
    """What workers are chosen for.

    Attributes:
        ready: The step.
        key: Its key.
        count: How many of its tasks need a place.
        max_workers: How many workers may be chosen.
        now_s: Monotonic time.
        until_s: A worker on which no task fits until then isn't chosen.
        releases_of: Finds what the runs on a worker release.
        ticket_of: Finds tickets for queues that have a policy service.
    """

    ready: ReadyStep
    key: StepKey
    count: int
    max_workers: int
    now_s: float
    until_s: float
    releases_of: ReleasesOf
    ticket_of: TicketOf


def choose_workers(
    request: Request,
    workers: list[WorkerCapacity],
    is_reserved: Callable[[str], bool],
) -> list[Choice]:
    """Returns the workers on which the tasks are expected to fit first.

    A gang, or a step whose tasks stay on one rack, gets workers for all of its
    tasks or none.

    Args:
        request: What they are chosen for.
        workers: The open workers.
        is_reserved: Tells whether a worker is reserved already.
    """
    suitable = [
        worker
        for worker in workers
        if is_suitable(worker, request) and not is_reserved(worker.worker_id)
    ]
    step = request.ready.step
    if not step.same_rack:
        return _choose(request, suitable)
    options = [
        option
        for option in (
            _choose(request, members)
            for members in _by_rack(workers, suitable, request.key)
        )
        if option
    ]
    return min(options, key=_last_due_s, default=[])


def is_suitable(worker: WorkerCapacity, request: Request) -> bool:
    """Returns whether a worker may be reserved for a step.

    A worker that has less capacity than its runs use has shrunk, one on
    probation gets a single task.
    """
    step = request.ready.step
    if not worker.is_open or worker.probation_slots is not None:
        return False
    if worker.free_cpu_millis < 0 or worker.free_memory_mb < 0:
        return False
    if not worker.fits_when_empty(step):
        return False
    if not worker.may_run(step, request.key):
        return False
    if request.ready.queue.advice is None:
        return True
    return request.ticket_of(request.key, worker.worker_id) is not None


def _by_rack(
    workers: list[WorkerCapacity],
    suitable: list[WorkerCapacity],
    key: StepKey,
) -> list[list[WorkerCapacity]]:
    """Returns the suitable workers of each rack that the step may use."""
    used_racks = {
        worker.rack for worker in workers if worker.counts_by_step.get(key, 0)
    }
    members_by_rack: dict[str, list[WorkerCapacity]] = {}
    for worker in suitable:
        if not used_racks or worker.rack in used_racks:
            members_by_rack.setdefault(worker.rack, []).append(worker)
    return list(members_by_rack.values())


def _choose(request: Request, workers: list[WorkerCapacity]) -> list[Choice]:
    step = request.ready.step
    examined = heapq.nsmallest(
        max(_MAX_EXAMINED, request.max_workers),
        workers,
        key=lambda worker: _deficit(worker, step),
    )
    options: list[tuple[float, int, Span]] = []
    for index, worker in enumerate(examined):
        _push(options, request, worker, index, 1)
    heapq.heapify(options)
    chosen_by_index: dict[int, Choice] = {}
    count = 0
    while options and count < request.count:
        _, index, due = heapq.heappop(options)
        choice = chosen_by_index.get(index)
        if choice is None:
            if len(chosen_by_index) >= request.max_workers:
                continue
            choice = Choice(examined[index], 0, due)
            chosen_by_index[index] = choice
        choice.count += 1
        if step.gang:
            choice.due = due
        count += 1
        _push(options, request, examined[index], index, choice.count + 1)
        heapq.heapify(options)
    needs_all = step.gang or step.same_rack
    if needs_all and count < request.count:
        return []
    return list(chosen_by_index.values())


def _push(
    options: list[tuple[float, int, Span]],
    request: Request,
    worker: WorkerCapacity,
    index: int,
    count: int,
) -> None:
    """Adds the time at which one more task fits on a worker."""
    step = request.ready.step
    used = worker.counts_by_step.get(request.key, 0)
    if step.per_worker_limit and used + count > step.per_worker_limit:
        return
    due = expect_due(
        worker,
        request.releases_of(worker.worker_id),
        step.resources().times(count),
        request.now_s,
    )
    if due is not None and due.expected_s <= request.until_s:
        options.append((due.expected_s, index, due))


def _deficit(worker: WorkerCapacity, step: Step) -> float:
    """Returns what a worker lacks for a task, as a share of its size."""
    size = worker.size
    cpu = (step.cpu_millis - worker.free_cpu_millis) / max(1, size.cpu_millis)
    memory = (step.memory_mb - worker.free_memory_mb) / max(1, size.memory_mb)
    surplus = _SURPLUS_DEFICIT if worker.is_surplus else 0.0
    return max(cpu, memory) + surplus


def _last_due_s(choices: list[Choice]) -> float:
    return max(choice.due.expected_s for choice in choices)
