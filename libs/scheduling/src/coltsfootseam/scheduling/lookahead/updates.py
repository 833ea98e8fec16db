"""Changes reservations in a planning round: makes, moves and gives them up."""

from collections.abc import Callable

import msgspec

from coltsfootseam.jobs import Step
from coltsfootseam.scheduling.lookahead.backfill import (
    HeldCapacity,
    Need,
    hold_back,
)
from coltsfootseam.scheduling.lookahead.candidates import (
    Choice,
    Request,
    choose_workers,
    is_suitable,
)
from coltsfootseam.scheduling.lookahead.estimates import RatioSpread
from coltsfootseam.scheduling.lookahead.releases import (
    ReleasesOf,
    expect_due,
)
from coltsfootseam.scheduling.lookahead.reservations import (
    Change,
    Reservation,
    ReservationBook,
    ReservationChange,
    WorkerReservation,
)
from coltsfootseam.scheduling.lookahead.rules import LookAheadRule
from coltsfootseam.scheduling.ordering import ReadyStep
from coltsfootseam.scheduling.step_placement import TicketOf
from coltsfootseam.scheduling.worker_capacity import StepKey, WorkerCapacity

_MIN_PROMISE_S = 0.2
"""Planning rounds and reports take this time, whatever the estimates."""

RatioOf = Callable[[Step], RatioSpread]


class RoundView(msgspec.Struct, frozen=True):
    """What a planning round knows.

    Attributes:
        rule: Limits of reservations.
        book: The reservations.
        workers: Snapshot of the open workers.
        now_s: Monotonic time.
        ticket_of: Finds tickets for queues that have a policy service.
        releases_of: Finds what the runs on a worker release.
        ratio_of: Finds the ratio of a step's run times to its estimate.
    """

    rule: LookAheadRule
    book: ReservationBook
    workers: list[WorkerCapacity]
    now_s: float
    ticket_of: TicketOf
    releases_of: ReleasesOf
    ratio_of: RatioOf


class ReservationUpdates:
    """Adapts reservations, and holds capacity back for them.

    Attributes:
        held_by_worker: What is held back on each reserved worker.
        changes: What happened to reservations.
    """

    __slots__ = (
        "_tries_left",
        "_view",
        "_workers_by_id",
        "changes",
        "held_by_worker",
    )

    def __init__(self, view: RoundView) -> None:
        self._view = view
        self._workers_by_id = {
            worker.worker_id: worker for worker in view.workers
        }
        self._tries_left = view.rule.max_steps
        self.held_by_worker: dict[str, HeldCapacity] = {}
        self.changes: list[ReservationChange] = []
        for reservation in view.book.by_step.values():
            self._refresh(reservation)

    def may_reserve(self, ready: ReadyStep, key: StepKey) -> bool:
        """Returns whether a step without a reservation may get one."""
        view, rule, book = self._view, self._view.rule, self._view.book
        if self._tries_left <= 0 or len(book.by_step) >= rule.max_steps:
            return False
        if ready.step.best_effort or not self._is_large(ready.step):
            return False
        if view.now_s < book.retry_s_by_step.get(key, 0.0):
            return False
        # A job too late to profit still gets one that nobody else needs, so
        # that it doesn't wait for ever.
        can_profit = ready.waited_s <= rule.lateness * ready.objective_s
        return can_profit or not book.by_step

    def _refresh(self, reservation: Reservation) -> None:
        """Updates when a reservation is due; drops workers that are lost."""
        for item in list(reservation.by_worker.values()):
            if not self._update_due(reservation, item):
                self._view.book.remove_worker(reservation, item.worker_id)
                reservation.lost_ids.append(item.worker_id)
        needs_all = reservation.step.gang or reservation.step.same_rack
        if needs_all and reservation.lost_ids:
            for worker_id in list(reservation.by_worker):
                self._view.book.remove_worker(reservation, worker_id)
                reservation.lost_ids.append(worker_id)
        self._hold(reservation)

    def _update_due(
        self, reservation: Reservation, item: WorkerReservation
    ) -> bool:
        """Updates when a worker is due; returns whether it is still usable."""
        worker = self._workers_by_id.get(item.worker_id)
        if worker is None or worker.probation_slots is not None:
            return False
        is_smaller = (
            worker.size.cpu_millis < item.size.cpu_millis
            or worker.size.memory_mb < item.size.memory_mb
            or worker.size.accelerators < item.size.accelerators
        )
        if is_smaller:
            return False
        due = expect_due(
            worker,
            self._view.releases_of(item.worker_id),
            reservation.step.resources().times(
                item.count if reservation.step.gang else 1
            ),
            self._view.now_s,
        )
        if due is None:
            return False
        item.due = due
        return due.expected_s <= max(self._view.now_s, item.promised_s)

    def _hold(self, reservation: Reservation) -> None:
        """Holds back what a reservation needs on each of its workers."""
        for item in reservation.by_worker.values():
            held = hold_back(
                self._workers_by_id[item.worker_id],
                self._view.releases_of(item.worker_id),
                self._needs(reservation, item),
                self._view.rule.may_backfill,
            )
            held.close()
            self.held_by_worker[item.worker_id] = held

    def _needs(
        self, reservation: Reservation, item: WorkerReservation
    ) -> list[Need]:
        """Returns what the tasks need on a worker, and from when on."""
        resources = reservation.step.resources()
        if reservation.step.gang:
            needed = resources.times(item.count)
            return [Need(needed, reservation.last_due_s())]
        needs = []
        for count in range(1, item.count + 1):
            needed = resources.times(count)
            due = expect_due(
                self._workers_by_id[item.worker_id],
                self._view.releases_of(item.worker_id),
                needed,
                self._view.now_s,
            )
            if due is not None:
                needs.append(Need(needed, due.expected_s))
        return needs

    def _free(self, reservation: Reservation) -> None:
        """Holds nothing back for a reservation any more."""
        for worker_id in reservation.by_worker:
            self.held_by_worker.pop(worker_id).open()

    def _is_large(self, step: Step) -> bool:
        if not self._view.workers:
            return False
        size = self._view.workers[0].size
        share = max(
            step.cpu_millis / max(1, size.cpu_millis),
            step.memory_mb / max(1, size.memory_mb),
            step.accelerators / max(1, size.accelerators),
        )
        return step.gang or share >= self._view.rule.min_size_share

    def make(self, ready: ReadyStep, key: StepKey, missing: int) -> None:
        """Makes a reservation for a step if there are workers for it."""
        reservation = Reservation(key, ready.step, self._view.now_s, {}, [])
        if self._add_workers(ready, reservation, missing):
            self._hold(reservation)
            self._report(Change.MADE, reservation)

    def adapt(
        self,
        ready: ReadyStep,
        reservation: Reservation,
        placed: int,
        missing: int,
    ) -> None:
        """Adapts the reservation of a step to its tasks that still wait."""
        self._free(reservation)
        if placed:
            reservation.since_s = self._view.now_s
            self._report(Change.DUE, reservation)
        if not missing:
            self._view.book.remove(reservation.key)
            return
        self._drop_unneeded(reservation, placed, missing)
        age_s = self._view.now_s - reservation.since_s
        if age_s > self._view.rule.max_life_s:
            self._give_up(reservation)
            return
        self._drop_unsuitable(ready, reservation)
        lacking = missing - reservation.task_count()
        if lacking > 0:
            self._add_workers(ready, reservation, lacking)
        if not reservation.by_worker:
            self._give_up(reservation)
            return
        self._hold(reservation)
        reservation.lost_ids = [
            worker_id
            for worker_id in reservation.lost_ids
            if worker_id not in reservation.by_worker
        ]
        if reservation.lost_ids:
            self._report(Change.MOVED, reservation)
            reservation.lost_ids = []

    def _drop_unneeded(
        self, reservation: Reservation, placed: int, missing: int
    ) -> None:
        """Drops workers that are used or not needed any more."""
        by_due = sorted(
            reservation.by_worker.values(), key=lambda item: item.due.expected_s
        )
        if placed and reservation.step.gang:
            placed = len(by_due)
        while placed > 0 and by_due:
            item = by_due.pop(0)
            placed -= item.count
            self._view.book.remove_worker(reservation, item.worker_id)
        while by_due and reservation.task_count() - by_due[-1].count >= missing:
            self._view.book.remove_worker(reservation, by_due.pop().worker_id)

    def _drop_unsuitable(
        self, ready: ReadyStep, reservation: Reservation
    ) -> None:
        """Drops workers that the step's labels or tickets exclude by now."""
        request = self._request(ready, reservation.key, 1)
        for worker_id in list(reservation.by_worker):
            if not is_suitable(self._workers_by_id[worker_id], request):
                self._view.book.remove_worker(reservation, worker_id)
                reservation.lost_ids.append(worker_id)

    def _give_up(self, reservation: Reservation) -> None:
        reservation.lost_ids.extend(reservation.by_worker)
        self._view.book.remove(reservation.key)
        reservation.by_worker = {}
        self._view.book.retry_s_by_step[reservation.key] = (
            self._view.now_s + self._view.rule.retry_s
        )
        self._report(Change.GIVEN_UP, reservation)

    def _add_workers(
        self, ready: ReadyStep, reservation: Reservation, count: int
    ) -> bool:
        """Reserves more workers for a step; returns whether it found any."""
        rule, book = self._view.rule, self._view.book
        limit = min(
            rule.max_workers,
            max(1, int(rule.worker_share * len(self._view.workers))),
        )
        max_workers = limit - len(book.owners_by_worker)
        if max_workers <= 0:
            return False
        request = self._request(ready, reservation.key, count, max_workers)
        self._tries_left -= 1
        choices = choose_workers(
            request, self._view.workers, book.owners_by_worker.__contains__
        )
        for choice in choices:
            book.add_worker(reservation, self._reserve(choice))
        return bool(choices)

    def _request(
        self, ready: ReadyStep, key: StepKey, count: int, max_workers: int = 1
    ) -> Request:
        view = self._view
        return Request(
            ready,
            key,
            count,
            max_workers,
            view.now_s,
            view.now_s + view.rule.max_life_s,
            view.releases_of,
            view.ticket_of,
        )

    def _reserve(self, choice: Choice) -> WorkerReservation:
        late_s = max(choice.due.late_s, self._view.now_s + _MIN_PROMISE_S)
        return WorkerReservation(
            choice.worker.worker_id,
            choice.count,
            choice.worker.size,
            choice.due,
            late_s,
        )

    def _report(self, change: Change, reservation: Reservation) -> None:
        first = reservation.first_due()
        self.changes.append(
            ReservationChange(
                change,
                reservation.key,
                list(reservation.by_worker),
                None if first is None else first.due,
                list(reservation.lost_ids),
            )
        )
