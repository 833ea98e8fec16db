"""Keeps the records of the queues that a pool takes, or has, jobs of."""

from coltsfootseam.manager.background import logging_failures
from coltsfootseam.manager.jobs.admissions import Admissions
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.manager.queue_pools import QueuePool
from coltsfootseam.results import OK
from coltsfootseam.store import Tail
from coltsfootseam.timers import Subscription

_ADD_PERIOD_S = 0.5
_REMOVE_PERIOD_S = 10.0
_MIN_CONFIGURATION_AGE_S = 30.0
"""Longer than hosts may work with the configuration before."""

_MAX_INBOX_AGE_S = 2.5


class QueueRecords:
    """Admits queues that are sent to a pool, and removes records of others.

    They are admitted before the first job, so that it doesn't have to wait.
    """

    __slots__ = (
        "_admissions",
        "_closed_queues",
        "_inbox",
        "_recorded_version",
        "_state",
    )

    def __init__(
        self, state: PoolState, inbox: Tail, admissions: Admissions
    ) -> None:
        self._state = state
        self._inbox = inbox
        self._admissions = admissions
        # Queues that the pool didn't admit any more when it was last checked.
        self._closed_queues: set[str] = set()
        self._recorded_version: int | None = None

    def subscribe(self) -> list[Subscription]:
        """Works periodically until the subscriptions are cancelled."""
        context = self._state.context
        add = logging_failures(context, "queue records", self.add_sent)
        remove = logging_failures(context, "old queues", self.remove_ended)
        return [
            context.timers.subscribe(_ADD_PERIOD_S, add),
            context.timers.subscribe(_REMOVE_PERIOD_S, remove),
        ]

    async def add_sent(self) -> None:
        """Admits all queues that the configuration sends to the pool."""
        state = self._state
        configuration = state.cluster.configuration
        queue_pools = state.cluster.queue_pools
        if (
            configuration is None
            or configuration.version == self._recorded_version
            or not queue_pools.is_loaded()
            or state.journal.is_lost
        ):
            return
        queues = [
            queue.name
            for queue in configuration.queues_by_name.values()
            if queue.pool == state.pool
        ]
        if await self._admissions.admit(state.pool, queues) is OK:
            self._recorded_version = configuration.version

    async def remove_ended(self) -> None:
        """Removes the records of moved queues without jobs in the pool.

        Ended jobs count for as long as callers may ask for them. The pool must
        not admit the queue any more, or a late job of it could follow.
        """
        state = self._state
        inbox_age_s = state.now_s() - self._inbox.caught_up_s
        if (
            state.journal.is_lost
            or inbox_age_s > _MAX_INBOX_AGE_S
            or state.cluster.configuration_age_s() < _MIN_CONFIGURATION_AGE_S
        ):
            return
        used = {
            job.request.queue for job in state.job_table.jobs_by_id.values()
        }
        # Of an ended job that was read from the store the queue isn't known.
        if "" in used:
            return
        unused = [
            QueuePool(queue, state.pool)
            for queue in state.cluster.queue_pools.queues_in(state.pool)
            if queue not in used and not self._is_sent_here(queue)
        ]
        closed = await self._admissions.withdraw(
            state.pool, [pair.queue for pair in unused]
        )
        # The inbox was read since the check before, so it has no job of those.
        unused = [pair for pair in unused if pair.queue in self._closed_queues]
        self._closed_queues = closed
        unused = [pair for pair in unused if pair.queue in closed]
        if unused:
            await state.cluster.queue_pools.remove_all(unused)

    def _is_sent_here(self, queue: str) -> bool:
        configuration = self._state.cluster.configuration
        if configuration is None:
            return True
        found = configuration.queues_by_name.get(queue)
        return found is not None and found.pool == self._state.pool
