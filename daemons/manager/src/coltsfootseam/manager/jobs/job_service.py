"""Serves job requests of callers, whichever host owns the job's pool."""

import asyncio

import msgspec

from coltsfootseam.calls import (
    ASK_PENDING,
    PendingCountReply,
    PendingCountRequest,
)
from coltsfootseam.jobs import (
    JobRequest,
    JobState,
    Queue,
    cancel_key,
    encode_request,
    job_key,
)
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.jobs.admissions import Admissions, Home
from coltsfootseam.manager.jobs.caller_limits import CallerLimits
from coltsfootseam.manager.jobs.callers import Callers
from coltsfootseam.manager.jobs.inbox_appender import NOT_ADMITTED
from coltsfootseam.manager.jobs.inbox_storage import (
    MIN_TIME_LEFT_S,
    InboxStorage,
)
from coltsfootseam.manager.jobs.job_lookup import OWNER_TIMEOUT_S, JobLookup
from coltsfootseam.manager.jobs.stored_states import KnownJob
from coltsfootseam.manager.membership.duties import pool_duty
from coltsfootseam.manager.membership.locator import Locator
from coltsfootseam.results import OK, Refusal, ResultCode
from coltsfootseam.teams import find_excess

_MAX_PENDING_AGE_S = 1.0
_MAX_STORE_SILENCE_S = 1.0
"""Time without an answer after which the store isn't asked before a job."""

_UNDETERMINED = Refusal(
    ResultCode.OUTCOME_UNKNOWN, "another pool may have the job"
)


class _PendingCount(msgspec.Struct):
    count: int
    read_s: float


class JobService:
    """Accepts jobs and cancellations and reports the state of jobs.

    Attributes:
        callers: Finds the teams of calls.
        limits: Limits of callers' requests.
    """

    __slots__ = (
        "_admissions",
        "_cluster",
        "_context",
        "_locator",
        "_lookup",
        "_pending_by_queue",
        "_storage",
        "callers",
        "limits",
    )

    def __init__(
        self,
        context: Context,
        cluster: ClusterState,
        locator: Locator,
        storage: InboxStorage,
        admissions: Admissions,
    ) -> None:
        self._context = context
        self._admissions = admissions
        self._cluster = cluster
        self._locator = locator
        self._storage = storage
        self._lookup = JobLookup(context, cluster, locator)
        self._pending_by_queue: dict[str, _PendingCount] = {}
        self.callers = Callers(context, cluster)
        self.limits = CallerLimits(context, cluster)

    def find_queue(self, host: str, path: str) -> Queue | Refusal:
        """Returns the queue of a request.

        Returns:
            The queue, or a refusal: ``NOT_RUN_NOT_READY`` before the first
            configuration, ``NOT_RUN_UNKNOWN_SERVICE`` if no queue matches.
        """
        index = self._cluster.index
        if index is None or not self._cluster.is_ready():
            return Refusal(ResultCode.NOT_RUN_NOT_READY, "no configuration yet")
        queue = index.find(host, path)
        if queue is None:
            return Refusal(
                ResultCode.NOT_RUN_UNKNOWN_SERVICE, f"no queue at {path}"
            )
        return queue

    async def submit(
        self, queue: Queue, job_id: str, request: JobRequest, deadline_s: float
    ) -> Refusal:
        """Stores a job.

        Args:
            queue: The job's queue.
            job_id: The caller's id; a request with the same id is the same job.
            request: What to run, with the caller's team.
            deadline_s: When the caller stops waiting, monotonic.

        Returns:
            ``OK`` once it is stored, ``NOT_RUN_OVERLOADED`` if it is not and
            never will be, ``OUTCOME_UNKNOWN`` if it may still be,
            ``NOT_RUN_NEVER_FITS`` if its team's limit never allows it,
            ``NOT_RUN_TOO_LARGE`` if the store can't hold it,
            ``JOB_OF_OTHER_TEAM`` if another team has a job of this id.
        """
        team = request.team if self.callers.are_teams_configured else None
        accepted = self._lookup.find_accepted(job_id)
        if accepted is not None:
            return self.callers.check_access(job_id, accepted, team) or OK
        record = encode_request(request)
        refusal = self.limits.refuse_unstorable(
            queue.pool, job_id, request, record
        )
        if refusal is not None:
            self._record_submitted(
                queue, job_id, request.team, queue.pool, refusal
            )
            return refusal
        excess = self._find_excess(request)
        if excess is not None:
            return await self._refuse_excess(
                queue, job_id, request.team, excess, deadline_s
            )
        return await self._store_once(
            queue, job_id, request, record, deadline_s, team
        )

    async def _store_once(
        self,
        queue: Queue,
        job_id: str,
        request: JobRequest,
        record: bytes,
        deadline_s: float,
        team: str | None,
    ) -> Refusal:
        """Stores a job in the pool that takes the queue's new jobs.

        If the queue moves meanwhile, the pool is looked for again.
        """
        outcome = NOT_ADMITTED
        has_moved = False
        while outcome is NOT_ADMITTED:
            time_left_s = deadline_s - self._context.timers.now_s()
            if has_moved and time_left_s < MIN_TIME_LEFT_S:
                return _UNDETERMINED
            home = await self._find_home(queue, is_current=has_moved)
            if home is None:
                return _UNDETERMINED
            outcome = await self._store_in(
                home, queue, job_id, request, record, deadline_s, team
            )
            has_moved = True
        return outcome

    async def _store_in(
        self,
        home: Home,
        queue: Queue,
        job_id: str,
        request: JobRequest,
        record: bytes,
        deadline_s: float,
        team: str | None,
    ) -> Refusal:
        """Stores a job in a pool unless another one has it.

        An earlier request for the same job may be in another pool's inbox. The
        job then stays there.

        Returns:
            The outcome, ``NOT_ADMITTED`` if the pool doesn't take it.
        """
        earlier = await self._find_earlier(home, job_id, deadline_s)
        if isinstance(earlier, KnownJob):
            return self.callers.check_access(job_id, earlier, team) or OK
        if earlier.code is not ResultCode.JOB_UNKNOWN:
            return _UNDETERMINED
        outcome = await self._storage.store(
            home.pool,
            job_key(home.pool, job_id),
            record,
            deadline_s,
            team,
            queue.name,
            home.admission,
        )
        if outcome is NOT_ADMITTED:
            return outcome
        if outcome.code is ResultCode.JOB_OF_OTHER_TEAM:
            return self.callers.refuse_other_team(job_id, team)
        self._record_submitted(queue, job_id, request.team, home.pool, outcome)
        return outcome

    async def cancel(
        self, queue: Queue, job_id: str, deadline_s: float, team: str | None
    ) -> Refusal:
        """Cancels a job.

        Args:
            queue: The job's queue.
            job_id: The caller's id of the job.
            deadline_s: When the caller stops waiting, monotonic.
            team: The caller's team, ``None`` if no team is checked.

        Returns:
            ``OK`` once the cancellation is stored, ``JOB_UNKNOWN`` if there is
            no such job, ``JOB_OF_OTHER_TEAM`` if it is another team's,
            otherwise why it could not be stored.
        """
        job = await self._lookup.find(
            queue, job_id, deadline_s, is_absence_checked=True
        )
        pools = set(self._lookup.pools_of(queue))
        if isinstance(job, KnownJob):
            denied = self.callers.check_access(job_id, job, team)
            if denied is not None:
                return denied
            if job.state is JobState.CANCELLED:
                return OK
            pools.update({job.pool} - {""})
        elif team is not None or job.code is ResultCode.JOB_UNKNOWN:
            # The cancellation of a job whose team isn't known is not stored.
            return job
        outcome = OK
        for pool in sorted(pools):
            stored = await self._storage.store(
                pool, cancel_key(pool, job_id), b"1", deadline_s
            )
            outcome = stored if outcome is OK else outcome
        self._context.log.write(
            "job.cancel_asked", job=job_id, outcome=outcome.code.name
        )
        return outcome

    async def state_of(
        self, queue: Queue, job_id: str, deadline_s: float, team: str | None
    ) -> JobState | Refusal:
        """Returns the state of a job.

        Args:
            queue: The job's queue.
            job_id: The caller's id of the job.
            deadline_s: When the caller stops waiting, monotonic.
            team: The caller's team, ``None`` if no team is checked.

        Returns:
            Its state, ``JOB_UNKNOWN`` if no such job was ever accepted,
            ``JOB_OF_OTHER_TEAM`` if it is another team's, or ``UNREACHABLE`` if
            the state can't be determined now.
        """
        job = await self._lookup.find(queue, job_id, deadline_s)
        if isinstance(job, Refusal):
            return job
        return self.callers.check_access(job_id, job, team) or job.state

    async def count_pending(self, queue: Queue) -> int | Refusal:
        """Returns how many jobs of a queue have not started."""
        cached = self._pending_by_queue.get(queue.name)
        now_s = self._context.timers.now_s()
        if cached is not None and now_s - cached.read_s < _MAX_PENDING_AGE_S:
            return cached.count
        counts = await asyncio.gather(
            *(
                self._count_pending_in(pool, queue.name)
                for pool in self._lookup.pools_of(queue)
            )
        )
        total = sum(count or 0 for count in counts)
        if None in counts:
            return Refusal(ResultCode.UNREACHABLE, "no owner answered")
        self._pending_by_queue[queue.name] = _PendingCount(total, now_s)
        return total

    async def _count_pending_in(self, pool: str, queue: str) -> int | None:
        """Returns how many jobs of a queue wait in a pool, if it answers."""
        reply = await self._locator.call(
            pool_duty(pool),
            ASK_PENDING,
            PendingCountRequest(pool, queue),
            OWNER_TIMEOUT_S,
            lambda answer: answer.count is not None,
        )
        return reply.count if isinstance(reply, PendingCountReply) else None

    async def _find_home(self, queue: Queue, is_current: bool) -> Home | None:
        """Returns the pool that takes a queue's new jobs.

        While no other pool is known to have jobs of the queue, whoever appends
        the job to the pool's inbox checks that.

        Args:
            queue: The queue.
            is_current: Whether the store is asked for changes first.

        Returns:
            ``None`` if it can't be told now.
        """
        others = self._cluster.queue_pools.others_of(queue.name, queue.pool)
        if not others and not is_current:
            return Home(queue.pool, None, ())
        if self._context.ports.store.unanswered_s() > _MAX_STORE_SILENCE_S:
            return None
        home = await self._admissions.find_home(queue, is_current)
        return home if isinstance(home, Home) else None

    async def _find_earlier(
        self, home: Home, job_id: str, deadline_s: float
    ) -> KnownJob | Refusal:
        """Returns a job that another pool has of an earlier request."""
        for pool in home.others:
            job = await self._lookup.find_in(
                [pool], job_id, deadline_s, is_absence_checked=True
            )
            is_unknown = (
                isinstance(job, Refusal) and job.code is ResultCode.JOB_UNKNOWN
            )
            if not is_unknown:
                return job
        return Refusal(ResultCode.JOB_UNKNOWN, f"no job {job_id}")

    def _find_excess(self, request: JobRequest) -> str | None:
        """Returns why a job exceeds its team's limit, if it does."""
        configuration = self._cluster.configuration
        if not request.team or configuration is None:
            return None
        team = configuration.teams_by_name.get(request.team)
        return None if team is None else find_excess(request.steps, team.limit)

    async def _refuse_excess(
        self,
        queue: Queue,
        job_id: str,
        team: str,
        excess: str,
        deadline_s: float,
    ) -> Refusal:
        """Refuses a job that exceeds its team's limit.

        It may have been accepted before the limit was lowered. Then it isn't
        called "not run".
        """
        job = await self._lookup.find(
            queue, job_id, deadline_s, is_absence_checked=True
        )
        if isinstance(job, KnownJob):
            return self.callers.check_access(job_id, job, team) or OK
        code = ResultCode.NOT_RUN_NEVER_FITS
        if job.code is not ResultCode.JOB_UNKNOWN:
            code = ResultCode.OUTCOME_UNKNOWN
        refusal = Refusal(code, excess)
        self._record_submitted(queue, job_id, team, queue.pool, refusal)
        return refusal

    def _record_submitted(
        self, queue: Queue, job_id: str, team: str, pool: str, outcome: Refusal
    ) -> None:
        if outcome is OK:
            self._lookup.record_accepted(job_id, team)
        self._context.log.write(
            "job.submitted",
            job=job_id,
            team=team,
            queue=queue.name,
            pool=pool,
            outcome=outcome.code.name,
            why=outcome.reason,
        )
        self._context.counters.increment(f"submit.{outcome.code.name.lower()}")
