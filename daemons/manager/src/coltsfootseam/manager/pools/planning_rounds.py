"""Planning rounds of a pool's owner: plan, store the plan, then send it."""

from coltsfootseam.jobs import JobState, ProgressRecord, job_key
from coltsfootseam.manager.orders.orders import Orders
from coltsfootseam.manager.orders.worker_links import WorkerLinks
from coltsfootseam.manager.pools.evacuation import Evacuation
from coltsfootseam.manager.pools.planning import NewRun, Planner
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.manager.pools.ticket_cache import TicketCache
from coltsfootseam.scheduling import Shortage, find_stalled
from coltsfootseam.store import KeyedRecord

_SLOW_LINK_AFTER_S = 0.5
_UNSTORABLE = "the store does not take its progress"


class PlanningRounds:
    """Runs the planning rounds of one pool.

    Attributes:
        busy_s: How long the last round held the loop before its append.
    """

    __slots__ = (
        "_evacuation",
        "_is_sending_slowly",
        "_orders",
        "_planner",
        "_state",
        "_undecided_since_s",
        "_workers",
        "busy_s",
    )

    def __init__(
        self,
        state: PoolState,
        orders: Orders,
        workers: WorkerLinks,
        tickets: TicketCache,
        evacuation: Evacuation,
    ) -> None:
        self._state = state
        self._orders = orders
        self._workers = workers
        self._evacuation = evacuation
        self._planner = Planner(state, tickets)
        self._undecided_since_s: float | None = None
        self._is_sending_slowly = False
        self.busy_s = 0.0

    async def run_once(self) -> None:
        """Runs one planning round."""
        state = self._state
        started_s = state.now_s()
        new_runs = self._decide()
        end_sequences_by_worker = dict(state.end_sequences_by_worker)
        changes_by_id = state.job_table.drain_changes()
        stored = {
            job_id: state.job_table.jobs_by_id[job_id].state
            for job_id in changes_by_id
        }
        outdated_state_keys = set(state.outdated_state_keys)
        witness_record = state.leases.record_to_store()
        records = self._records_of(outdated_state_keys, changes_by_id)
        if witness_record is not None:
            records.append(witness_record)
        self.busy_s = state.now_s() - started_s
        if records:
            await state.journal.commit(records)
            if state.journal.is_lost:
                return
            untaken_keys = state.journal.untaken_keys
            state.outdated_state_keys -= outdated_state_keys
            if witness_record and witness_record.key not in untaken_keys:
                state.leases.confirm_stored()
            self._give_up_unstorable(changes_by_id, new_runs)
        self._apply_stored(stored, end_sequences_by_worker)
        self._send_starts(new_runs)

    def _decide(self) -> list[NewRun]:
        """Decides what starts and what stops, and sends the stops."""
        self._workers.sync_links()
        self._evacuation.stop_leaving_runs()
        self._stop_stalled()
        new_runs = self._planner.plan_runs(
            self._orders.remaining_start_capacity(),
            self._orders.remaining_late_capacity(),
        )
        self._evacuation.shortages = self._machine_shortages()
        self._evacuation.isolation = self._planner.isolation
        self._watch_isolating_workers()
        self._orders.send_stops()
        return new_runs

    def _records_of(
        self,
        outdated_state_keys: set[str],
        changes_by_id: dict[str, list[ProgressRecord]],
    ) -> list[KeyedRecord]:
        """Returns the records of a round's changes.

        Deletions go first, as a job may have been added again since its state
        became outdated.
        """
        pool = self._state.pool
        records = [KeyedRecord(key) for key in sorted(outdated_state_keys)]
        records.extend(
            KeyedRecord(job_key(pool, job_id) + change.suffix, change.value)
            for job_id, changes in changes_by_id.items()
            for change in changes
        )
        return records

    def _give_up_unstorable(
        self,
        changes_by_id: dict[str, list[ProgressRecord]],
        new_runs: list[NewRun],
    ) -> None:
        """Fails the jobs whose progress the store will never take.

        Nothing of them is started: the next owner couldn't know of it.
        """
        state = self._state
        if not state.journal.untaken_keys:
            return
        for job_id, changes in changes_by_id.items():
            key = job_key(state.pool, job_id)
            keys = {key + change.suffix for change in changes}
            job = state.job_table.jobs_by_id.get(job_id)
            if job is None or keys.isdisjoint(state.journal.untaken_keys):
                continue
            state.context.log.write(
                "job.unstorable",
                job=job_id,
                records=len(keys & state.journal.untaken_keys),
                longest=max(len(change.value) for change in changes),
            )
            state.context.counters.increment("job.unstorable")
            for new in new_runs:
                if new.task.id.job_id == job_id:
                    state.job_table.withdraw_run(
                        new.task, new.run, state.wall_ms()
                    )
            state.job_table.give_up(job, _UNSTORABLE, state.wall_ms())

    def _watch_isolating_workers(self) -> None:
        """Has workers report suspects often, so that they are soon proven."""
        isolating_ids = self._state.job_table.runs.isolating_worker_ids()
        for link in self._state.links_by_id.values():
            link.is_watched = link.worker_id in isolating_ids

    def _machine_shortages(self) -> list[Shortage]:
        """Returns the shortages for which the pool needs more machines.

        Work that is undecided only briefly will need capacity soon. Work that
        stays undecided waits for this host's slow link, which more machines
        would not help.
        """
        plan = self._planner.plan
        self._update_slow_link(plan.undecided)
        quotas = self._state.quotas
        shortages = plan.shortages
        if quotas is not None:
            shortages = shortages + quotas.machine_demand(plan)
        if self._is_sending_slowly:
            return shortages
        return shortages + plan.undecided

    def _update_slow_link(self, undecided: list[Shortage]) -> None:
        now_s = self._state.now_s()
        if not undecided:
            self._undecided_since_s = None
        elif self._undecided_since_s is None:
            self._undecided_since_s = now_s
        since_s = self._undecided_since_s
        was_slow = self._is_sending_slowly
        self._is_sending_slowly = (
            since_s is not None and now_s - since_s > _SLOW_LINK_AFTER_S
        )
        if self._is_sending_slowly and not was_slow:
            self._state.context.log.write(
                "pool.sending_slowly",
                pool=self._state.pool,
                undecided=sum(item.count for item in undecided),
            )
            self._state.context.counters.increment("pool.sending_slowly")

    def _stop_stalled(self) -> None:
        """Stops tasks on workers where they make little or no progress."""
        state = self._state
        ratio = state.health.estimate_ratio()
        for worker_id in state.job_table.runs.worker_ids():
            stalled = find_stalled(
                state.job_table.runs.runs_of(worker_id), ratio
            )
            if not stalled:
                continue
            state.health.record_stall(worker_id, state.now_s())
            state.context.log.write(
                "worker.stalled", worker=worker_id, runs=len(stalled)
            )
            for task, run in stalled:
                task.stall_count += 1
                state.job_table.stop_run(task, run, "it made no progress")

    def _apply_stored(
        self,
        stored: dict[str, JobState],
        end_sequences_by_worker: dict[str, int],
    ) -> None:
        state = self._state
        for job_id, job_state in stored.items():
            job = state.job_table.jobs_by_id.get(job_id)
            if job is None:
                continue
            if job_state.is_final and not state.job_table.is_open(job_id):
                state.undeleted_request_ids.add(job_id)
            if job.stored_state != job_state:
                job.stored_state = job_state
                state.context.log.write(
                    "job.state", job=job_id, state=job.stored_state.name
                )
        for worker_id, sequence in end_sequences_by_worker.items():
            link = state.links_by_id.get(worker_id)
            if link is not None:
                link.acknowledge(sequence)

    def _send_starts(self, new_runs: list[NewRun]) -> None:
        for new in new_runs:
            if new.run in new.task.runs:
                self._orders.send_start(new.task, new.run, new.ticket)
