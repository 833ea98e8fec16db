"""Finds the state and the team of a job, whichever host knows it."""

from collections.abc import Sequence

import msgspec

from coltsfootseam.calls import (
    ASK_JOB,
    ASK_QUEUE_POOLS,
    JobStatusReply,
    JobStatusRequest,
    QueuePoolsReply,
    QueuePoolsRequest,
)
from coltsfootseam.jobs import JobState, Queue
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.jobs.inbox_storage import MIN_TIME_LEFT_S
from coltsfootseam.manager.jobs.stored_states import KnownJob, StoredStates
from coltsfootseam.manager.membership.duties import pool_duty
from coltsfootseam.manager.membership.locator import Locator
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.timers import run_with_timeout

OWNER_TIMEOUT_S = 0.4
_RETRY_DELAY_S = 0.1
_ACCEPTED_JOB_EXPIRY_S = 10.0
_MAX_CACHED_FINAL_STATES = 4000
_MAX_ASKED_PEERS = 2


class _AcceptedJob(msgspec.Struct, frozen=True):
    accepted_s: float
    team: str


class JobLookup:
    """Finds jobs here, at the owners of their pools, or in the store."""

    __slots__ = (
        "_accepted_by_id",
        "_cluster",
        "_context",
        "_final_by_id",
        "_locator",
        "_stored_states",
    )

    def __init__(
        self, context: Context, cluster: ClusterState, locator: Locator
    ) -> None:
        self._context = context
        self._cluster = cluster
        self._locator = locator
        self._stored_states = StoredStates(context)
        self._accepted_by_id: dict[str, _AcceptedJob] = {}
        self._final_by_id: dict[str, KnownJob] = {}

    async def find(
        self,
        queue: Queue,
        job_id: str,
        deadline_s: float,
        is_absence_checked: bool = False,
    ) -> KnownJob | Refusal:
        """Returns what is known of a job.

        Args:
            queue: The job's queue.
            job_id: The caller's id of the job.
            deadline_s: When the caller stops waiting, monotonic.
            is_absence_checked: See ``find_in``.

        Returns:
            The job, ``JOB_UNKNOWN`` if no such job was ever accepted, or
            ``UNREACHABLE`` if that can't be determined now.
        """
        final = self._final_by_id.get(job_id)
        if final is not None:
            return final
        job = await self._find_anywhere(
            queue, job_id, deadline_s, is_absence_checked
        )
        if isinstance(job, KnownJob) and job.state.is_final:
            self._cache_final(job_id, job)
        return job

    async def _find_anywhere(
        self,
        queue: Queue,
        job_id: str,
        deadline_s: float,
        is_absence_checked: bool,
    ) -> KnownJob | Refusal:
        """Returns what is known of a job in all pools that may have it.

        This host may know too few of them. So before it calls a job unknown, it
        has the store tell which pools may have jobs of the queue.
        """
        asked: list[str] = []
        pools = self.pools_of(queue)
        while True:
            job = await self.find_in(
                pools, job_id, deadline_s, is_absence_checked
            )
            is_unknown = (
                isinstance(job, Refusal) and job.code is ResultCode.JOB_UNKNOWN
            )
            if not is_unknown:
                return job
            asked += pools
            recorded = await run_with_timeout(
                self._context.timers,
                self._read_pools(queue.name),
                deadline_s - self._context.timers.now_s() - MIN_TIME_LEFT_S,
            )
            if recorded is None:
                return Refusal(
                    ResultCode.UNREACHABLE, "the queue's pools can't be read"
                )
            pools = [pool for pool in recorded if pool not in asked]
            if not pools:
                return job

    async def _read_pools(self, queue: str) -> list[str] | None:
        """Has the store tell which pools may have a queue's jobs.

        A host that can't reach the store has a peer ask.
        """
        queue_pools = self._cluster.queue_pools
        if await queue_pools.catch_up():
            return queue_pools.all_of(queue)
        for address in self._locator.peer_addresses()[:_MAX_ASKED_PEERS]:
            reply = await self._context.peers.call(
                address,
                ASK_QUEUE_POOLS,
                QueuePoolsRequest(queue),
                OWNER_TIMEOUT_S,
            )
            if isinstance(reply, QueuePoolsReply) and reply.pools is not None:
                return reply.pools
        return None

    async def find_in(
        self,
        pools: Sequence[str],
        job_id: str,
        deadline_s: float,
        is_absence_checked: bool,
    ) -> KnownJob | Refusal:
        """Returns what some pools' owners, or the store, know of a job.

        Args:
            pools: The pools that may have it.
            job_id: The caller's id of the job.
            deadline_s: When the caller stops waiting, monotonic.
            is_absence_checked: Whether the store is read before a job is called
                unknown. Owners may have read their inboxes seconds ago. That is
                recent enough to show a state, but not to act on it.
        """
        while True:
            job = await self._request_from_owners(pools, job_id)
            if job is None or (is_absence_checked and isinstance(job, Refusal)):
                # A page may take longer to arrive than the caller waits.
                job = await run_with_timeout(
                    self._context.timers,
                    self._stored_states.read(pools, job_id),
                    deadline_s - self._context.timers.now_s(),
                )
            if job is not None:
                break
            if not self._has_time_left(deadline_s):
                return Refusal(ResultCode.UNREACHABLE, "no owner answered")
            await self._context.timers.sleep(_RETRY_DELAY_S)
        return job

    def pools_of(self, queue: Queue) -> list[str]:
        """Returns the pools that may have a queue's jobs."""
        return self._cluster.queue_pools.pools_of(queue)

    def find_accepted(self, job_id: str) -> KnownJob | None:
        """Returns a job that this host has accepted lately."""
        accepted = self._accepted_by_id.get(job_id)
        if accepted is None:
            return None
        return KnownJob(JobState.QUEUED, accepted.team)

    def record_accepted(self, job_id: str, team: str) -> None:
        """Records that this host has accepted a job."""
        now_s = self._context.timers.now_s()
        self._accepted_by_id[job_id] = _AcceptedJob(now_s, team)
        # Oldest first, as a dict keeps insertion order.
        for known_id, accepted in list(self._accepted_by_id.items()):
            if now_s - accepted.accepted_s < _ACCEPTED_JOB_EXPIRY_S:
                break
            del self._accepted_by_id[known_id]

    async def _request_from_owners(
        self, pools: Sequence[str], job_id: str
    ) -> KnownJob | Refusal | None:
        """Returns what the owners of pools know, ``None`` if they can't tell.

        A job that this host has just accepted may not have reached its owner.
        """
        is_current = True
        for pool in pools:
            reply = await self._request_from_owner(pool, job_id)
            if reply is None:
                return None
            if reply.state is not None:
                return KnownJob(reply.state, reply.team, pool)
            is_current = is_current and reply.is_current
        accepted = self.find_accepted(job_id)
        if accepted is not None:
            return accepted
        if not is_current:
            return None
        return Refusal(ResultCode.JOB_UNKNOWN, f"no job {job_id}")

    async def _request_from_owner(
        self, pool: str, job_id: str
    ) -> JobStatusReply | None:
        """Returns what a pool's owner reports of a job, if it replies."""
        reply = await self._locator.call(
            pool_duty(pool),
            ASK_JOB,
            JobStatusRequest(pool, job_id),
            OWNER_TIMEOUT_S,
            lambda answer: answer.is_owner,
        )
        return reply if isinstance(reply, JobStatusReply) else None

    def _has_time_left(self, deadline_s: float) -> bool:
        return self._context.timers.now_s() < deadline_s - MIN_TIME_LEFT_S

    def _cache_final(self, job_id: str, job: KnownJob) -> None:
        self._final_by_id[job_id] = job
        if len(self._final_by_id) > _MAX_CACHED_FINAL_STATES:
            del self._final_by_id[next(iter(self._final_by_id))]
