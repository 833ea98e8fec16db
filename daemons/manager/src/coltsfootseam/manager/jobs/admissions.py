"""Decides which pool takes the new jobs of a queue, for all hosts alike.

A queue's jobs go to the pool that the configuration names. Hosts may have
different configurations, and a host that was frozen has an old one. So a pool
takes jobs of a queue only while a record in its inbox admits them. Before a
pool admits a queue, the queue's other pools stop to, each by a record in its
own inbox: afterwards they can't get a job that they don't have already.

Two hosts that do this at once exclude each other. Each first records its pool
as one that may have jobs of the queue, then reads all such records, and admits
the queue only if the record in its pool's inbox has not changed since. One of
them thus knows of the other's pool, and of their configurations the newer one
wins.
"""

import asyncio
from collections.abc import Sequence

import msgspec

from coltsfootseam.jobs import Queue
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.jobs.admission import Admission, StoredAdmission
from coltsfootseam.manager.jobs.inbox_appender import (
    NOT_ADMITTED,
    InboxAppender,
)
from coltsfootseam.manager.queue_pools import QueuePool
from coltsfootseam.results import OK, Refusal, ResultCode

_MAX_STEPS = 8
"""How many admissions are looked at or made to find the pool of a job."""

_UNRECORDED = Refusal(
    ResultCode.LOG_UNAVAILABLE, "the queue's pool could not be recorded"
)
_SUPERSEDED = Refusal(
    ResultCode.VERSION_CONFLICT, "another host's configuration is newer"
)
_CHANGING = Refusal(
    ResultCode.VERSION_CONFLICT, "the queue is being sent to another pool"
)


class Home(msgspec.Struct, frozen=True):
    """The pool that takes a queue's new jobs.

    Attributes:
        pool: The pool.
        admission: Offset of the record that admits the queue there, ``None`` if
            this host can't tell.
        others: Other pools, which may have earlier jobs of the queue.
    """

    pool: str
    admission: int | None
    others: tuple[str, ...]


class Admissions:
    """Finds and makes the admissions of queues.

    Attributes:
        appender: Appends to the pools' inboxes.
    """

    __slots__ = ("_cluster", "_context", "appender")

    def __init__(
        self, context: Context, cluster: ClusterState, appender: InboxAppender
    ) -> None:
        self._context = context
        self._cluster = cluster
        self.appender = appender

    async def find_home(
        self, queue: Queue, is_current: bool = False
    ) -> Home | Refusal:
        """Returns the pool that takes a queue's new jobs.

        Args:
            queue: The queue, as this host knows it.
            is_current: Whether the store is asked for changes first.

        Returns:
            The pool, or why it can't be told now.
        """
        pool = queue.pool
        for _ in range(_MAX_STEPS):
            found = await self.appender.find_admission(
                pool, queue.name, is_current
            )
            if isinstance(found, Refusal):
                return found
            if found is not None and found.admission.pool == pool:
                return self._home(queue, found)
            if found is not None and found.admission.version > self._version():
                # This host's configuration is out of date.
                pool = found.admission.pool
            elif pool != queue.pool:
                # It takes a host with that configuration to admit the queue.
                return _CHANGING
            else:
                outcome = await self.admit(pool, [queue.name])
                if outcome is not OK and outcome is not NOT_ADMITTED:
                    return outcome
        return _CHANGING

    def queue_named(self, name: str) -> Queue | None:
        """Returns a queue of the configuration in force here."""
        configuration = self._cluster.configuration
        if configuration is None:
            return None
        return configuration.queues_by_name.get(name)

    async def admit(self, pool: str, queues: Sequence[str]) -> Refusal:
        """Has a pool take the new jobs of queues, and no other pool.

        Args:
            pool: The pool that the configuration names.
            queues: The queues.

        Returns:
            ``OK``, ``NOT_ADMITTED`` if another host came first, or why it
            failed.
        """
        version = self._version()
        offsets: dict[str, int | None] = {}
        for queue in queues:
            found = await self.appender.find_admission(pool, queue)
            if isinstance(found, Refusal):
                return found
            if found is not None and found.admission.version > version:
                return _SUPERSEDED
            is_open = found is not None and found.admission.pool == pool
            if not is_open:
                offsets[queue] = None if found is None else found.offset
        if not offsets:
            return OK
        pools = self._cluster.queue_pools
        pairs = [QueuePool(queue, pool) for queue in offsets]
        # Concurrent first jobs of a queue share the append of its record.
        is_single = len(pairs) == 1
        is_recorded = await (
            pools.record(pairs[0]) if is_single else pools.record_all(pairs)
        )
        if not is_recorded or not await pools.catch_up():
            return _UNRECORDED
        for queue in offsets:
            for other in pools.others_of(queue, pool):
                closed = await self._close(other, queue, pool, version)
                if closed is not OK:
                    return closed
        outcomes = await asyncio.gather(
            *(
                self._record(pool, queue, pool, version, offset)
                for queue, offset in offsets.items()
            )
        )
        return next((item for item in outcomes if item is not OK), OK)

    async def withdraw(self, pool: str, queues: Sequence[str]) -> set[str]:
        """Has a pool take no new jobs of queues that no pool takes jobs of.

        Returns:
            The queues that the pool did not admit before this call.
        """
        closed = set()
        for queue in queues:
            found = await self.appender.find_admission(
                pool, queue, is_current=True
            )
            if isinstance(found, Refusal):
                continue
            if found is None or found.admission.pool != pool:
                closed.add(queue)
            else:
                await self.appender.delete_admission(pool, queue, found.offset)
        return closed

    async def _close(
        self, pool: str, queue: str, successor: str, version: int
    ) -> Refusal:
        """Has a pool take no new jobs of a queue."""
        found = await self.appender.find_admission(pool, queue, is_current=True)
        if isinstance(found, Refusal):
            return found
        if found is not None:
            if found.admission.version > version:
                return _SUPERSEDED
            is_open = found.admission.pool == pool
            if not is_open and found.admission.version == version:
                return OK
        offset = None if found is None else found.offset
        return await self._record(pool, queue, successor, version, offset)

    async def _record(
        self,
        pool: str,
        queue: str,
        target: str,
        version: int,
        offset: int | None,
    ) -> Refusal:
        """Records, in a pool's inbox, which pool takes a queue's jobs."""
        others = self._cluster.queue_pools.others_of(queue, target)
        admission = Admission(version, target, tuple(others))
        outcome = await self.appender.record_admission(
            pool, queue, admission, offset
        )
        self._context.log.write(
            "queue.admitted" if target == pool else "queue.closed",
            queue=queue,
            pool=pool,
            target=target,
            version=version,
            replaced=offset,
            others=others,
            outcome=outcome.code.name,
        )
        self._context.counters.increment(
            f"admissions.{outcome.code.name.lower()}"
        )
        return outcome

    def _home(self, queue: Queue, found: StoredAdmission) -> Home:
        """Returns the home of a queue.

        Pools that had jobs of the queue when it was admitted have none if their
        record was removed since.
        """
        pools = self._cluster.queue_pools
        others = set(pools.others_of(queue.name, found.admission.pool))
        if pools.caught_up_s() <= found.read_s:
            others.update(found.admission.earlier)
        return Home(found.admission.pool, found.offset, tuple(sorted(others)))

    def _version(self) -> int:
        configuration = self._cluster.configuration
        return 0 if configuration is None else configuration.version
