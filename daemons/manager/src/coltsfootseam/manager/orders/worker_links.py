"""Keeps links to all workers of a pool."""

import asyncio
from collections.abc import Callable, Iterable

from coltsfootseam.manager.background import start_restarting
from coltsfootseam.manager.membership.reachability_log import ReachabilityLog
from coltsfootseam.manager.orders.unlisted_lives import UnlistedLives
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.manager.pools.run_reconciler import RunReconciler
from coltsfootseam.workers import (
    HeartbeatReply,
    WorkerEntry,
    WorkerLease,
    WorkerLink,
    instance_of,
    started_ms_of,
)

_INCARNATION_ENDED = "its incarnation has ended"
_LEASE_ENDED = "its lease has ended"


class WorkerLinks:
    """Opens a link to each new worker and closes those of ended workers."""

    __slots__ = (
        "_latest_by_machine",
        "_on_change",
        "_reachability",
        "_reconciler",
        "_reported_leases_by_id",
        "_state",
        "_tasks_by_id",
        "_unlisted",
    )

    def __init__(
        self,
        state: PoolState,
        reconciler: RunReconciler,
        on_change: Callable[[], None],
    ) -> None:
        self._state = state
        self._reconciler = reconciler
        self._on_change = on_change
        self._reachability = ReachabilityLog(state.context)
        self._unlisted = UnlistedLives(state.context, state.lives)
        self._latest_by_machine: dict[str, WorkerEntry] = {}
        # The latest event about the leases of each worker with lost runs.
        self._reported_leases_by_id: dict[str, str] = {}
        self._tasks_by_id: dict[str, asyncio.Task[None]] = {}

    def sync_links(self) -> None:
        """Opens, updates and drops links according to the workers' entries."""
        entries = self._state.cluster.usable_workers()
        self._latest_by_machine = _latest_by_machine(entries)
        for entry in entries:
            is_gone = entry.worker_id in self._state.ended_worker_ids
            if entry.pool == self._state.pool and not is_gone:
                self._sync_link(entry)
        for link in list(self._state.links_by_id.values()):
            self._check_link(link)
        self._end_unlinked_runs()
        self._state.crash_rate.record_workers(
            len(self._state.links_by_id), self._state.now_s()
        )

    def close(self) -> None:
        """Closes all links; the workers' leases run on."""
        for task in self._tasks_by_id.values():
            task.cancel()
        self._unlisted.close()
        for link in self._state.links_by_id.values():
            link.close()

    def _sync_link(self, entry: WorkerEntry) -> None:
        link = self._state.links_by_id.get(entry.worker_id)
        if link is not None:
            link.entry = entry
            return
        token = self._state.lives.take_token(entry)
        if token is None:
            # The pool's next claim comes with new tokens.
            self._state.context.log.write(
                "pool.tokens_used_up",
                pool=self._state.pool,
                epoch=self._state.journal.epoch,
                worker=entry.worker_id,
            )
            self._state.journal.is_lost = True
            return
        self._unlisted.forget(entry.instance_id)
        link = self._make_link(entry, token)
        self._state.links_by_id[entry.worker_id] = link
        self._tasks_by_id[entry.worker_id] = start_restarting(
            self._state.context,
            f"link to {entry.worker_id}",
            lambda: self._follow(link),
            link.record_failure,
        )
        self._state.context.log.write(
            "worker.linked",
            worker=entry.worker_id,
            machine=entry.machine_id,
            pool=entry.pool,
            token=token,
            longest_lease_s=round(link.lease.longest_s(), 2),
            known_s=round(
                self._state.cluster.sightings.known_s(entry.worker_id), 2
            ),
        )

    async def _follow(self, link: WorkerLink) -> None:
        """Sends heartbeats to an incarnation until it has ended."""
        await link.run()
        if link.restarted_ms is not None:
            self._unlisted.call(link)

    def _make_link(self, entry: WorkerEntry, token: int) -> WorkerLink:
        context = self._state.context
        lease = WorkerLease(
            context.timers,
            context.times.lease_s,
            self._state.leases,
            self._state.lives.inherited_lease_s(entry),
        )
        link = WorkerLink(
            entry,
            context.ports.workers,
            context.timers,
            lease,
            token,
            context.times.hold_wait_s,
            self._handle_reply,
        )
        link.unanswered_start_s = self._state.lives.last_unanswered_s(
            entry.instance_id
        )
        return link

    def _handle_reply(
        self, link: WorkerLink, report: HeartbeatReply, sent_s: float
    ) -> None:
        self._reconciler.apply_reply(link, report, sent_s)
        self._on_change()

    def _check_link(self, link: WorkerLink) -> None:
        self._reachability.check(link)
        if link.is_fenced:
            # The worker has seen the orders of a newer owner, so the store has
            # a newer claim.
            self._state.journal.is_lost = True
            return
        latest = self._state.cluster.workers_by_instance.get(
            link.entry.instance_id
        )
        successor = self._successor(link.entry, latest)
        if successor is not None:
            link.is_gone = True
            link.is_replaced |= successor.instance_id != link.entry.instance_id
        if link.is_gone:
            self._drop_link(link, _INCARNATION_ENDED)
        elif not link.is_reachable and link.lease.has_ended():
            if not self._end_lapsed_runs(link.worker_id, link.silent_since_s()):
                return
            # Only its next incarnation can tell what became of runs that it
            # may have, so the worker is asked until they have ended.
            has_runs = self._state.job_table.runs.runs_of(link.worker_id)
            if latest is None and not has_runs:
                self._drop_link(link, "it does not respond and has no entry")

    def _end_lapsed_runs(
        self, worker_id: str, silent_s: float | None = None
    ) -> bool:
        """Ends the runs on a worker on which no granted lease runs any more.

        Args:
            worker_id: The worker, which can't be reached.
            silent_s: When it stopped replying, ``None`` if that isn't known.

        Returns:
            Whether it can have no longer lease of an earlier incarnation.
        """
        pairs = self._state.job_table.runs.runs_of(worker_id)
        if self._state.lives.may_hold_inherited(worker_id, pairs):
            self._report_leases("worker.lease_awaited", worker_id)
            return False
        self._report_leases("worker.leases_ended", worker_id)
        self._reconciler.end_lost_runs(worker_id, _LEASE_ENDED, silent_s)
        return True

    def _report_leases(self, event: str, worker_id: str) -> None:
        """Logs, once, what becomes of the runs on an unreachable worker."""
        state = self._state
        pairs = state.job_table.runs.runs_of(worker_id)
        if not pairs:
            self._reported_leases_by_id.pop(worker_id, None)
            return
        if self._reported_leases_by_id.get(worker_id) == event:
            return
        self._reported_leases_by_id[worker_id] = event
        link = state.links_by_id.get(worker_id)
        is_heard = link is not None and link.last_reply_s is not None
        state.context.log.write(
            event,
            worker=worker_id,
            pool=state.pool,
            epoch=state.journal.epoch,
            runs=len(pairs),
            taken_over=sum(run.sent_s is None for _, run in pairs),
            is_heard=is_heard,
            known_s=round(state.cluster.sightings.known_s(worker_id), 2),
            claimed_age_s=round(state.now_s() - state.journal.claimed_s, 2),
        )
        state.context.counters.increment(event)

    def _successor(
        self, entry: WorkerEntry, latest: WorkerEntry | None
    ) -> WorkerEntry | None:
        """Returns a later incarnation of a worker, ``None`` if there is none.

        It may have another instance id, but is on the same machine.
        """
        candidates = (latest, self._latest_by_machine.get(entry.machine_id))
        for candidate in candidates:
            if candidate and candidate.started_ms > entry.started_ms:
                return candidate
        return None

    def _has_successor(self, entry: WorkerEntry) -> bool:
        """Returns whether a later incarnation of a worker is listed."""
        latest = self._state.cluster.workers_by_instance.get(entry.instance_id)
        return self._successor(entry, latest) is not None

    def _is_leaving(self, entry: WorkerEntry) -> bool:
        """Returns whether a worker's end was planned."""
        if entry.is_draining:
            return True
        if entry.worker_id in self._state.evacuating_worker_ids:
            return True
        successor = self._latest_by_machine.get(entry.machine_id)
        return successor is not None and successor.pool != entry.pool

    def _drop_link(self, link: WorkerLink, reason: str) -> None:
        worker_id = link.worker_id
        self._state.lives.record_closed(link)
        if link.is_replaced:
            self._state.lives.record_replaced(link.entry.instance_id)
        self._state.links_by_id.pop(worker_id, None)
        if link.is_gone:
            self._state.ended_worker_ids.add(worker_id)
        if not link.is_gone:
            self._reconciler.end_lost_runs(
                worker_id, reason, link.silent_since_s()
            )
        elif self._is_leaving(link.entry):
            self._reconciler.end_evacuated_runs(worker_id, reason)
        else:
            self._reconciler.end_crashed_runs(
                worker_id, reason, link.silent_since_s()
            )
        self._state.end_sequences_by_worker.pop(worker_id, None)
        self._state.health.forget(worker_id)
        self._reachability.forget(worker_id)
        self._reported_leases_by_id.pop(worker_id, None)
        task = self._tasks_by_id.pop(worker_id, None)
        if task is not None:
            task.cancel()
        link.close()
        self._state.context.log.write(
            "worker.dropped", worker=worker_id, why=reason
        )
        if link.restarted_ms is None and not self._has_successor(link.entry):
            self._unlisted.await_successor(link)

    def _end_unlinked_runs(self) -> None:
        """Ends the runs on workers to which there is no link."""
        state = self._state
        runs = state.job_table.runs
        have_leases_ended = state.leases.have_earlier_ended()
        worker_ids = {
            *runs.worker_ids(),
            *self._reconciler.lost_worker_ids(),
        }
        read_s = state.now_s() - state.cluster.worker_entries_age_s()
        for worker_id in sorted(worker_ids - state.links_by_id.keys()):
            if instance_of(worker_id) not in state.cluster.workers_by_instance:
                state.lives.record_missing(worker_id, read_s)
            replacement = self._replacement(worker_id)
            if replacement is not None:
                state.lives.record_replaced(instance_of(worker_id))
            has_ended = (
                worker_id in state.ended_worker_ids
                or replacement is not None
                or self._has_newer_incarnation(worker_id)
            )
            is_planned = worker_id in state.evacuating_worker_ids or (
                replacement is not None and replacement.pool != state.pool
            )
            if has_ended and is_planned:
                self._reconciler.end_evacuated_runs(
                    worker_id, _INCARNATION_ENDED
                )
            elif has_ended:
                self._reconciler.end_crashed_runs(worker_id, _INCARNATION_ENDED)
            elif have_leases_ended:
                self._end_lapsed_runs(worker_id)
        state.lives.record_pending(
            pair
            for worker_id in worker_ids - state.links_by_id.keys()
            for pair in runs.runs_of(worker_id)
        )

    def _replacement(self, worker_id: str) -> WorkerEntry | None:
        """Returns the later worker with another id on a worker's machine."""
        machine_id = self._state.cluster.sightings.machine_of(worker_id)
        latest = self._latest_by_machine.get(machine_id)
        if latest is None or latest.instance_id == instance_of(worker_id):
            return None
        is_later = latest.started_ms > started_ms_of(worker_id)
        return latest if is_later else None

    def _has_newer_incarnation(self, worker_id: str) -> bool:
        latest = self._state.cluster.workers_by_instance.get(
            instance_of(worker_id)
        )
        # The entries that a new owner has read may be of an earlier one.
        return latest is not None and latest.started_ms > started_ms_of(
            worker_id
        )


def _latest_by_machine(
    entries: Iterable[WorkerEntry],
) -> dict[str, WorkerEntry]:
    """Returns the worker that started last on each machine."""
    latest: dict[str, WorkerEntry] = {}
    for entry in entries:
        known = latest.get(entry.machine_id)
        is_later = known is None or entry.started_ms > known.started_ms
        if entry.machine_id and is_later:
            latest[entry.machine_id] = entry
    return latest
