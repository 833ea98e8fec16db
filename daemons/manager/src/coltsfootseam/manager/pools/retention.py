"""Deletes records of ended jobs from the store.

A successor loads everything that is stored, so the request of a job is deleted
as soon as its final state is stored. The state itself is kept for as long as
callers may ask for it. A caller's late retry can store the request again: while
the state is known, that has no effect, and the request is deleted together with
the state.
"""

from coltsfootseam.jobs import cancel_key, job_key
from coltsfootseam.manager.background import logging_failures
from coltsfootseam.manager.jobs.inbox_appender import InboxAppender
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.results import OK
from coltsfootseam.store import KeyedRecord, Tail
from coltsfootseam.timers import Subscription

_DELETE_REQUESTS_PERIOD_S = 2.0
_DELETE_STATES_PERIOD_S = 5.0
_RETENTION_MARGIN_S = 30.0
_MAX_JOBS_PER_DELETION = 500
_MS_PER_S = 1000


class Retention:
    """Deletes records of one pool that are no longer needed."""

    __slots__ = ("_appender", "_inbox", "_state")

    def __init__(
        self, state: PoolState, inbox: Tail, appender: InboxAppender
    ) -> None:
        self._appender = appender
        self._state = state
        self._inbox = inbox

    def subscribe(self) -> list[Subscription]:
        """Deletes periodically until the subscriptions are cancelled."""
        context = self._state.context
        return [
            context.timers.subscribe(
                _DELETE_REQUESTS_PERIOD_S,
                logging_failures(context, "old requests", self.delete_requests),
            ),
            context.timers.subscribe(
                _DELETE_STATES_PERIOD_S,
                logging_failures(context, "old states", self.delete_states),
            ),
        ]

    async def delete_requests(self) -> None:
        """Deletes the requests of jobs whose final state is stored."""
        job_ids = sorted(self._state.undeleted_request_ids)[
            :_MAX_JOBS_PER_DELETION
        ]
        if await self._delete_from_inbox(job_ids):
            self._state.undeleted_request_ids.difference_update(job_ids)

    async def delete_states(self) -> None:
        """Deletes all records of jobs that ended long ago."""
        state = self._state
        keep_s = state.context.times.keep_ended_s + _RETENTION_MARGIN_S
        ended_before_ms = state.wall_ms() - keep_s * _MS_PER_S
        job_ids = [
            job.id
            for job in state.job_table.jobs_by_id.values()
            if job.stored_state.is_final and job.ended_ms < ended_before_ms
        ][:_MAX_JOBS_PER_DELETION]
        # Requests go first: without its state, a request would be taken for a
        # new job.
        if not await self._delete_from_inbox(job_ids):
            return
        for job_id in job_ids:
            state.job_table.drop(job_id)
            state.undeleted_request_ids.discard(job_id)
            state.outdated_state_keys.add(job_key(state.pool, job_id))

    async def _delete_from_inbox(self, job_ids: list[str]) -> bool:
        """Deletes requests and cancellations; returns whether that worked."""
        state = self._state
        if not job_ids or state.journal.is_lost:
            return False
        keys = [
            key
            for job_id in job_ids
            for key in (
                job_key(state.pool, job_id),
                cancel_key(state.pool, job_id),
            )
        ]
        outcomes = await self._appender.append_all(
            state.pool, [KeyedRecord(key) for key in keys]
        )
        failed = [outcome for outcome in outcomes if outcome is not OK]
        if failed:
            state.context.log.write(
                "jobs.undeleted",
                pool=state.pool,
                jobs=len(job_ids),
                why=failed[0].reason,
            )
            return False
        for key in keys:
            self._inbox.forget(key)
        return True
