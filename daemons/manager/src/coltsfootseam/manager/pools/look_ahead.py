"""Keeps the reservations of a pool's owner between its planning rounds.

They are in memory only. The next owner makes its own from what waits.
"""

import msgspec

from coltsfootseam.jobs import Run, RunPhase, Step, Task
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.manager.pools.ticket_cache import TicketCache
from coltsfootseam.scheduling import WorkerCapacity
from coltsfootseam.scheduling.lookahead import (
    LOOK_AHEAD_RULES,
    LookAheadRound,
    RatioSpread,
    Release,
    ReservationBook,
    ReservationChange,
    RoundView,
    Span,
    expect_rest,
)

_MS_PER_S = 1000
_STOP = Span(0.0, 0.1, 0.2)
"""Rest of a run that is being stopped."""


class LookAheadPlanner:
    """Gives planning rounds the reservations, and reports their changes."""

    __slots__ = (
        "_book",
        "_releases_by_worker",
        "_round",
        "_rule",
        "_state",
        "_tickets",
    )

    def __init__(self, state: PoolState, tickets: TicketCache) -> None:
        self._state = state
        self._tickets = tickets
        self._rule = LOOK_AHEAD_RULES.lookup(state.context.policies.look_ahead)
        self._book = ReservationBook()
        self._releases_by_worker: dict[str, list[Release]] = {}
        self._round: LookAheadRound | None = None
        state.reservations_by_step = self._book.by_step

    def begin_round(
        self, workers: list[WorkerCapacity]
    ) -> LookAheadRound | None:
        """Returns the reservations, ``None`` if the policy has none.

        Args:
            workers: Snapshot of the workers.
        """
        if not self._rule.max_steps:
            return None
        self._releases_by_worker = {}
        self._round = LookAheadRound(
            RoundView(
                self._rule,
                self._book,
                [worker for worker in workers if worker.is_open],
                self._state.now_s(),
                self._tickets.find,
                self._releases_of,
                self._ratio_of,
            )
        )
        return self._round

    def clear(self) -> None:
        """Ends all reservations, as nothing waits."""
        self._book.forget_all_but(set())

    def report(self) -> None:
        """Logs and counts what the round changed."""
        if self._round is None:
            return
        counters = self._state.context.counters
        for change in self._round.changes:
            counters.increment(f"reservation.{change.change.value}")
            self._write(change)
        if self._round.backfilled:
            counters.increment("reservation.backfilled", self._round.backfilled)
        counters.set_gauge(
            f"reservation.held_cores.{self._state.pool}",
            self._round.held_cpu_millis / _MS_PER_S,
        )

    def _write(self, change: ReservationChange) -> None:
        job_id, occurrence, step = change.key
        due_s = None
        if change.due is not None:
            due_s = round(change.due.expected_s - self._state.now_s(), 2)
        self._state.context.log.write(
            f"reservation.{change.change.value}",
            job=job_id,
            occurrence=occurrence,
            step=step,
            workers=change.worker_ids,
            lost=change.lost_ids,
            due_s=due_s,
        )

    def _ratio_of(self, step: Step) -> RatioSpread:
        pool_ratio = self._state.health.estimate_ratio()
        return self._state.estimate_ratios.spread_of(step, pool_ratio)

    def _releases_of(self, worker_id: str) -> list[Release]:
        """Returns what the runs on a worker release, by expected end."""
        known = self._releases_by_worker.get(worker_id)
        if known is not None:
            return known
        runs = self._state.job_table.runs.runs_of(worker_id)
        releases = [
            self._release(task, run)
            for task, run in runs
            if run.phase is RunPhase.STOPPING or not task.step.long_running
        ]
        releases.sort(key=lambda release: release.end.expected_s)
        self._releases_by_worker[worker_id] = releases
        return releases

    def _release(self, task: Task, run: Run) -> Release:
        now_s = self._state.now_s()
        rest = _STOP
        if run.phase is not RunPhase.STOPPING:
            rest = expect_rest(
                now_s - run.ordered_s,
                task.step.estimate_ms / _MS_PER_S,
                self._ratio_of(task.step),
            )
        resources = task.step.resources()
        if task.step.best_effort:
            resources = msgspec.structs.replace(resources, cpu_millis=0)
        return Release(
            resources,
            Span(
                now_s + rest.early_s,
                now_s + rest.expected_s,
                now_s + rest.late_s,
            ),
        )
