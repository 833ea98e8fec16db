"""The reservations in one planning round."""

from collections.abc import Iterable

from coltsfootseam.jobs import Resources, Step
from coltsfootseam.scheduling.lookahead.backfill import (
    HeldCapacity,
    ends_before,
)
from coltsfootseam.scheduling.lookahead.reservations import ReservationChange
from coltsfootseam.scheduling.lookahead.updates import (
    ReservationUpdates,
    RoundView,
)
from coltsfootseam.scheduling.ordering import ReadyStep
from coltsfootseam.scheduling.step_placement import Placement
from coltsfootseam.scheduling.worker_capacity import StepKey, WorkerCapacity

_MS_PER_S = 1000


class LookAheadRound:
    """Holds capacity back in one planning round, and adapts reservations.

    Attributes:
        backfilled: How many tasks were placed on workers that are reserved for
            other steps.
        held_cpu_millis: Free processor that reservations held back.
    """

    __slots__ = (
        "_largest_held",
        "_late_rests_s",
        "_longest_due_s",
        "_opened",
        "_pending",
        "_seen",
        "_updates",
        "_view",
        "backfilled",
        "held_cpu_millis",
    )

    def __init__(self, view: RoundView) -> None:
        self._view = view
        self._updates = ReservationUpdates(view)
        self._opened: list[HeldCapacity] = []
        self._seen: set[StepKey] = set()
        self._late_rests_s: dict[Step, float] = {}
        self._pending = set(view.book.by_step)
        self._longest_due_s = 0.0
        self._largest_held = Resources()
        self._update_bounds()
        self.backfilled = 0
        self.held_cpu_millis = 0

    @property
    def changes(self) -> list[ReservationChange]:
        """What happened to reservations."""
        return self._updates.changes

    def open_workers_for(
        self, ready: ReadyStep, key: StepKey, may_fit: bool
    ) -> list[WorkerCapacity]:
        """Returns the workers that a step may be placed on.

        Until :meth:`settle`, capacity held back for others is free on those
        that the step may use nevertheless.

        Args:
            ready: The step.
            key: Its key.
            may_fit: Whether it may fit on what isn't held back.
        """
        self._seen.add(key)
        self._opened = self._find_usable(ready, key)
        for held in self._opened:
            held.open()
        if may_fit:
            return self._view.workers
        return [
            held.worker for held in self._opened if held.worker.fits(ready.step)
        ]

    def settle(
        self,
        ready: ReadyStep,
        key: StepKey,
        placements: list[Placement],
        missing: int,
    ) -> bool:
        """Adapts reservations after tasks of a step were placed.

        Args:
            ready: The step.
            key: Its key.
            placements: Placements of its tasks.
            missing: Tasks for which there is no capacity.

        Returns:
            Whether capacity that was held back may have become free.
        """
        for held in self._opened:
            held.close()
        self._opened = []
        self._count_backfilled(key, placements)
        self._record_hold(ready, key, missing)
        self._pending.discard(key)
        reservation = self._view.book.by_step.get(key)
        if reservation is None:
            if missing and self._updates.may_reserve(ready, key):
                self._updates.make(ready, key, missing)
                self._update_bounds()
            return False
        self._updates.adapt(ready, reservation, len(placements), missing)
        self._update_bounds()
        return True

    def finish(self, undecided: Iterable[StepKey]) -> None:
        """Ends the round: shows all free capacity in the snapshot again.

        Args:
            undecided: Steps that are left to a later round.
        """
        self._seen.update(undecided)
        self._view.book.forget_all_but(self._seen)
        for worker_id, held in self._updates.held_by_worker.items():
            held.open()
            if worker_id in self._view.book.owners_by_worker:
                self.held_cpu_millis += max(
                    0,
                    min(held.amount.cpu_millis, held.worker.free_cpu_millis),
                )
        self._updates.held_by_worker = {}

    def _find_usable(
        self, ready: ReadyStep, key: StepKey
    ) -> list[HeldCapacity]:
        """Returns the held capacity that a step may use."""
        held_by_worker = self._updates.held_by_worker
        if not held_by_worker or not self._may_fit_held(ready.step):
            return []
        view = self._view
        late_end_s = view.now_s + self._late_rest_s(ready.step)
        was_held_long = bool(self._pending) and self._was_held_long(key)
        is_own = key in view.book.by_step
        if late_end_s > self._longest_due_s and not (is_own or was_held_long):
            return []
        usable = []
        for reservation in view.book.by_step.values():
            is_free = reservation.key == key or (
                was_held_long and reservation.key in self._pending
            )
            if not is_free and not view.rule.may_backfill:
                continue
            for worker_id, item in reservation.by_worker.items():
                if is_free or ends_before(late_end_s, item.due):
                    usable.append(held_by_worker[worker_id])
        return usable

    def _update_bounds(self) -> None:
        self._longest_due_s = self._find_longest_due_s()
        self._largest_held = self._find_largest_held()

    def _may_fit_held(self, step: Step) -> bool:
        """Returns whether a step may fit on a worker if nothing is held."""
        largest = self._largest_held
        is_small = step.best_effort or step.cpu_millis <= largest.cpu_millis
        return is_small and step.memory_mb <= largest.memory_mb

    def _find_longest_due_s(self) -> float:
        """Returns the latest time at which a reservation is due."""
        return max(
            (
                item.due.expected_s
                for reservation in self._view.book.by_step.values()
                for item in reservation.by_worker.values()
            ),
            default=0.0,
        )

    def _find_largest_held(self) -> Resources:
        """Returns a bound of what is free on a reserved worker.

        It spares most steps the search for a worker that they are kept from.
        """
        held = self._updates.held_by_worker.values()
        return Resources(
            max(
                (
                    one.worker.free_cpu_millis + one.amount.cpu_millis
                    for one in held
                ),
                default=0,
            ),
            max(
                (
                    one.worker.free_memory_mb + one.amount.memory_mb
                    for one in held
                ),
                default=0,
            ),
        )

    def _was_held_long(self, key: StepKey) -> bool:
        view = self._view
        since_s = view.book.held_since_s_by_step.get(key, view.now_s)
        return view.now_s - since_s >= view.rule.max_hold_s

    def _late_rest_s(self, step: Step) -> float:
        """Returns how long a task that starts now takes at most."""
        if step.long_running or not step.estimate_ms:
            return float("inf")
        known = self._late_rests_s.get(step)
        if known is None:
            estimate_s = step.estimate_ms / _MS_PER_S
            known = estimate_s * self._view.ratio_of(step).high
            self._late_rests_s[step] = known
        return known

    def _count_backfilled(
        self, key: StepKey, placements: list[Placement]
    ) -> None:
        owners = self._view.book.owners_by_worker
        if not owners:
            return
        self.backfilled += sum(
            1
            for placement in placements
            if owners.get(placement.worker_id, key) != key
        )

    def _record_hold(
        self, ready: ReadyStep, key: StepKey, missing: int
    ) -> None:
        """Records since when reservations hold back a step ahead of them."""
        since_s_by_step = self._view.book.held_since_s_by_step
        if not missing:
            since_s_by_step.pop(key, None)
            return
        if not self._pending or key in since_s_by_step:
            return
        if not self._may_fit_held(ready.step):
            return
        for worker_id, held in self._updates.held_by_worker.items():
            owner = self._view.book.owners_by_worker.get(worker_id)
            if owner == key or owner not in self._pending:
                continue
            held.open()
            if held.worker.fits(ready.step):
                since_s_by_step[key] = self._view.now_s
            held.close()
            if key in since_s_by_step:
                return
