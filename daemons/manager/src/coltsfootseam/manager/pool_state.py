"""What the owner of a pool knows while it owns it."""

import msgspec

from coltsfootseam.jobs import Job, JobBook, Queue
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.knowledge import Knowledge
from coltsfootseam.scheduling import WorkerHealth
from coltsfootseam.store import Journal
from coltsfootseam.workers import WorkerLink


class PoolState(msgspec.Struct):
    """State of one pool, shared by the parts that work on it.

    Attributes:
        pool: Name of the pool.
        context: What all parts of the process share.
        knowledge: Configuration and workers.
        journal: The journal; its epoch fences all orders.
        book: The pool's jobs.
        health: What the ends of runs say of each worker.
        links_by_id: Links to the workers of the pool.
        end_sequences_by_worker: Newest end of each worker that is in the book, but perhaps
            not in the journal yet.
        ended_worker_ids: Workers whose life has ended for certain.
        evacuating_worker_ids: Workers whose machines are wanted elsewhere.
        undeleted_request_ids: Jobs whose final state is stored, but whose
            request may stand in the inbox yet.
        outdated_state_keys: Keys that the next append to the journal deletes.
        surplus_worker_ids: Workers that get no new work, as the pool can do without.
    """

    pool: str
    context: Context
    knowledge: Knowledge
    journal: Journal
    book: JobBook
    health: WorkerHealth
    links_by_id: dict[str, WorkerLink] = {}
    end_sequences_by_worker: dict[str, int] = {}
    ended_worker_ids: set[str] = set()
    evacuating_worker_ids: set[str] = set()
    surplus_worker_ids: set[str] = set()
    undeleted_request_ids: set[str] = set()
    outdated_state_keys: set[str] = set()

    def now_s(self) -> float:
        """Returns monotonic time in seconds."""
        return self.context.timers.now_s()

    def wall_ms(self) -> int:
        """Returns the time of day, Unix milliseconds."""
        return self.context.timers.wall_ms()

    def queue_of(self, job: Job) -> Queue:
        """Returns a job's queue; one that was dropped has plain settings."""
        configuration = self.knowledge.configuration
        if configuration is not None:
            found = configuration.queues_by_name.get(job.request.queue)
            if found is not None:
                return found
        return Queue(job.request.queue, "", "", self.pool)
