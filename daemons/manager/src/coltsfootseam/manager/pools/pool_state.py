"""The state that a pool's owner keeps in memory."""

import msgspec

from coltsfootseam.jobs import Job, JobTable, Queue, Run, Task
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.leases.pool_leases import PoolLeases
from coltsfootseam.manager.orders.worker_lives import WorkerLives
from coltsfootseam.manager.quotas.pool_quotas import PoolQuotas
from coltsfootseam.scheduling import CrashRate, StepKey, WorkerHealth
from coltsfootseam.scheduling.lookahead import EstimateRatios, Reservation
from coltsfootseam.store import Journal
from coltsfootseam.workers import WorkerLink

_MAX_STORE_SILENCE_S = 0.5
"""Time without an answer after which the store may be away."""


class PoolState(msgspec.Struct):
    """State of one pool, shared by all parts of its owner.

    Attributes:
        pool: Name of the pool.
        context: Shared context of the manager.
        cluster: Configuration and workers.
        journal: The pool's journal; its epoch is the fencing token of orders.
        job_table: Table of the pool's jobs.
        leases: The right to grant leases to the workers.
        lives: The successive incarnations of the workers.
        health: Health of each worker, by the outcomes of its runs.
        links_by_id: Links to the workers of the pool.
        end_sequences_by_worker: Sequence number of the last reported end of
            each worker. The job table has it, the journal perhaps not yet.
        ended_worker_ids: Workers whose incarnation has certainly ended.
        offered_worker_ids: Workers that were reported to be empty, so that
            their machines may have been ordered elsewhere.
        evacuating_worker_ids: Workers whose machines are needed elsewhere.
        are_orders_known: Whether all orders that may be under way for the
            pool's machines are for workers that are to be evacuated.
        surplus_worker_ids: Workers that the pool could release; they get work
            only if no other worker can take it.
        undeleted_request_ids: Jobs whose final state is stored, but whose
            request may still be in the inbox.
        outdated_state_keys: Keys that the next append to the journal deletes.
        quotas: What the teams may use of the pool, ``None`` until it is loaded.
        estimate_ratios: Ratios of run times to their estimates, by kind of
            step.
        reservations_by_step: The steps that workers are reserved for.
        crash_rate: How often the pool's workers crash.
    """

    pool: str
    context: Context
    cluster: ClusterState
    journal: Journal
    job_table: JobTable
    leases: PoolLeases
    lives: WorkerLives
    health: WorkerHealth
    links_by_id: dict[str, WorkerLink]
    end_sequences_by_worker: dict[str, int] = {}
    ended_worker_ids: set[str] = set()
    offered_worker_ids: set[str] = set()
    evacuating_worker_ids: set[str] = set()
    are_orders_known: bool = False
    surplus_worker_ids: set[str] = set()
    undeleted_request_ids: set[str] = set()
    outdated_state_keys: set[str] = set()
    quotas: PoolQuotas | None = None
    estimate_ratios: EstimateRatios = msgspec.field(
        default_factory=EstimateRatios
    )
    reservations_by_step: dict[StepKey, Reservation] = {}
    crash_rate: CrashRate = msgspec.field(default_factory=CrashRate)

    def now_s(self) -> float:
        """Returns monotonic time in seconds."""
        return self.context.timers.now_s()

    def wall_ms(self) -> int:
        """Returns the time of day, Unix milliseconds."""
        return self.context.timers.wall_ms()

    def crashes_per_worker_s(self) -> float:
        """Returns how often a worker of the pool crashes, whatever runs."""
        return self.crash_rate.per_worker_s(self.now_s())

    def store_confirmation(self, task: Task, run: Run) -> None:
        """Has the confirmation of a run stored, unless the store is away.

        An owner that waits for an append gives up its pool as the store
        returns, and nobody has to know of this one before then.
        """
        if self.context.ports.store.unanswered_s() < _MAX_STORE_SILENCE_S:
            self.job_table.store_confirmation(task, run)

    def queue_of(self, job: Job) -> Queue:
        """Returns a job's queue, even if it was removed."""
        return self.cluster.queue_of(job.request, self.pool)
