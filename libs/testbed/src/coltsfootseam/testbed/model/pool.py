"""One pool of the model: its jobs, planner and workers."""

import asyncio

from coltsfootseam.calls import EvacuationReply, EvacuationRequest
from coltsfootseam.jobs import JobRequest, JobTable, RunEnd, RunPhase
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.leases.pool_leases import PoolLeases
from coltsfootseam.manager.leases.store_contacts import StoreContacts
from coltsfootseam.manager.leases.witnesses import FormerOwners
from coltsfootseam.manager.orders.worker_lives import WorkerLives
from coltsfootseam.manager.pools.evacuation import Evacuation
from coltsfootseam.manager.pools.interruptions import Interruptions
from coltsfootseam.manager.pools.planning import Planner
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.manager.pools.ticket_cache import TicketCache
from coltsfootseam.scheduling import WorkerHealth, find_stalled
from coltsfootseam.store import Journal, Partition
from coltsfootseam.testbed.model.load import Arrival
from coltsfootseam.testbed.model.workers import ModelRun, ModelWorker
from coltsfootseam.workers import WorkerLease, WorkerLink

_MS_PER_S = 1000
_REPORT_INTERVAL_S = 1.0


class PoolModel:
    """Runs the planning rounds of a pool's owner with modelled workers.

    Attributes:
        state: The owner's state.
        workers_by_id: The workers by the id of their incarnation.
        done_s_by_id: When each job was done.
        wasted_core_s: Work that was lost, in core seconds.
        starts: Number of runs that were started.
        started_s_by_id: When each job's first run was started.
        idle_core_s: Core seconds that were free while work waited.
        rejected_starts: Starts beyond the capacity of their worker.
    """

    def __init__(
        self, pool: str, context: Context, cluster: ClusterState
    ) -> None:
        journal = Journal(
            context.ports.store, context.timers, Partition(pool), pool, 1
        )
        leases = PoolLeases(
            pool, context, journal, StoreContacts(context), FormerOwners()
        )
        links_by_id: dict[str, WorkerLink] = {}
        self.state = PoolState(
            pool,
            context,
            cluster,
            journal,
            JobTable(cluster.max_attempts_of),
            leases,
            WorkerLives(
                context, journal, leases, links_by_id, cluster.sightings
            ),
            WorkerHealth(),
            links_by_id,
            end_sequences_by_worker={},
            ended_worker_ids=set(),
        )
        tickets = TicketCache(self.state, asyncio.Event())
        self._planner = Planner(self.state, tickets)
        self._evacuation = Evacuation(self.state, Interruptions(self.state))
        self._arrivals_by_id: dict[str, Arrival] = {}
        self.workers_by_id: dict[str, ModelWorker] = {}
        self.done_s_by_id: dict[str, float] = {}
        self.wasted_core_s = 0.0
        self.starts = 0
        self.started_s_by_id: dict[str, float] = {}
        self.idle_core_s = 0.0
        self.rejected_starts = 0

    def add_worker(self, worker: ModelWorker) -> None:
        """Adds a worker that is reachable at once."""
        context = self.state.context
        link = WorkerLink(
            worker.entry,
            context.ports.workers,
            context.timers,
            WorkerLease(
                context.timers, context.times.lease_s, self.state.leases
            ),
            1,
            1.0,
            lambda *report: None,
        )
        link.is_reachable = True
        self.state.links_by_id[link.worker_id] = link
        self.workers_by_id[link.worker_id] = worker

    def remove_worker(self, worker_id: str) -> None:
        """Removes a worker that runs nothing."""
        assert not self.workers_by_id[worker_id].runs_by_key
        del self.workers_by_id[worker_id]
        del self.state.links_by_id[worker_id]
        self.state.health.forget(worker_id)

    def submit(self, arrival: Arrival) -> None:
        """Adds a job."""
        state = self.state
        request = JobRequest(
            arrival.kind.queue(),
            "",
            arrival.steps,
            state.wall_ms(),
            team=arrival.kind.team,
        )
        self._arrivals_by_id[arrival.job_id] = arrival
        state.job_table.add(arrival.job_id, request, state.now_s())

    def advance(self, step_s: float) -> None:
        """Advances the workers, then runs a planning round."""
        self._advance_workers(step_s)
        self._evacuation.stop_leaving_runs()
        self._stop_stalled_runs()
        for new in self._planner.plan_runs():
            self.starts += 1
            job_id = new.task.id.job_id
            self.started_s_by_id.setdefault(job_id, self.state.now_s())
            run = new.run
            run.settled_s = self.state.now_s()
            self.state.job_table.confirm_run(run, self.state.now_s())
            arrival = self._arrivals_by_id[job_id]
            total_s = arrival.durations_s[new.task.id.step][new.task.id.index]
            worker = self.workers_by_id[run.worker_id]
            worker.start(new.task, run, total_s)
            self.rejected_starts += worker.free_cpu_millis() < 0
        if self._planner.plan.shortages:
            free = sum(
                worker.free_cpu_millis()
                for worker in self.workers_by_id.values()
            )
            self.idle_core_s += free * step_s / _MS_PER_S
        self._evacuation.shortages = self._planner.plan.shortages
        self._complete_stops()
        self.state.job_table.drain_changes()

    def handle_evacuation_request(
        self, request: EvacuationRequest
    ) -> EvacuationReply:
        """Handles a request of the fleet's owner."""
        # The model has no store, and its owners are never replaced.
        self.state.journal.confirmed_s = self.state.now_s()
        return self._evacuation.handle_request(request)

    def _advance_workers(self, step_s: float) -> None:
        now_s = self.state.now_s()
        for worker in self.workers_by_id.values():
            ended = worker.advance(step_s)
            if ended or now_s - worker.reported_s >= _REPORT_INTERVAL_S:
                worker.report(now_s)
            for item, end in ended:
                self._handle_end(worker, item, end)

    def _handle_end(
        self, worker: ModelWorker, item: ModelRun, end: RunEnd
    ) -> None:
        state = self.state
        task = item.task
        worker_id = worker.entry.worker_id
        if end is RunEnd.FAILED or task.is_done:
            self.wasted_core_s += item.done_core_s()
        state.health.record_end(
            worker_id, end, not task.failed_worker_ids, state.now_s()
        )
        estimate_ms = task.step.estimate_ms
        if end is RunEnd.DONE and not item.run.checkpoint:
            duration_ms = (state.now_s() - item.run.ordered_s) * _MS_PER_S
            state.health.record_duration(worker_id, duration_ms / estimate_ms)
            state.estimate_ratios.record(task.step, duration_ms / estimate_ms)
        state.job_table.end_run(task, item.run, end, "", state.wall_ms())
        job = state.job_table.jobs_by_id[task.id.job_id]
        if job.state.is_final:
            self.done_s_by_id.setdefault(job.id, state.now_s())

    def _stop_stalled_runs(self) -> None:
        state = self.state
        ratio = state.health.estimate_ratio()
        for worker_id in state.job_table.runs.worker_ids():
            stalled = find_stalled(
                state.job_table.runs.runs_of(worker_id), ratio
            )
            if stalled:
                state.health.record_stall(worker_id, state.now_s())
            for task, run in stalled:
                task.stall_count += 1
                state.job_table.stop_run(task, run, "it made no progress")

    def _complete_stops(self) -> None:
        state = self.state
        for task, run in state.job_table.runs.all_runs():
            if run.phase is not RunPhase.STOPPING:
                continue
            worker = self.workers_by_id[run.worker_id]
            checkpoint, wasted_core_s = worker.stop(task, run)
            self.wasted_core_s += wasted_core_s
            state.job_table.end_run(
                task, run, RunEnd.STOPPED, checkpoint, state.wall_ms()
            )
