"""Which pools may have jobs of which queue.

The operator may send a queue to another pool, or remove it and add it again. A
job stays in the pool that it was accepted for. So before the first job of a
queue is stored in a pool's inbox, the pair is recorded in the store: mostly by
the pool's owner as soon as the configuration sends the queue there. Every host
reads the records. None has to have seen the configurations in between.
"""

import asyncio
import hashlib
from collections.abc import Collection

import msgspec

from coltsfootseam.jobs import Queue
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.membership.partitions import QUEUE_POOLS
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.store import KeyedRecord, StoredRecord, Tail, in_batches
from coltsfootseam.timers import run_with_timeout

_LONG_POLL_S = 5.0
_READ_TIMEOUT_S = 0.5
"""How long a record that was appended may take until it is read."""

_KEY_BYTES = 16
_MAX_LOGGED = 20


class QueuePool(msgspec.Struct, frozen=True, array_like=True):
    """A queue, and a pool that may have jobs of it."""

    queue: str
    pool: str


class QueuePools:
    """The recorded pools of all queues."""

    __slots__ = (
        "_changed",
        "_context",
        "_pairs_by_key",
        "_pools_by_queue",
        "_recordings_by_key",
        "_tail",
    )

    def __init__(self, context: Context) -> None:
        self._context = context
        self._pairs_by_key: dict[str, QueuePool] = {}
        self._pools_by_queue: dict[str, set[str]] = {}
        self._recordings_by_key: dict[str, asyncio.Task[bool]] = {}
        self._changed = asyncio.Event()
        self._tail = Tail(
            context.ports.store,
            context.timers,
            QUEUE_POOLS,
            self._apply_record,
            _LONG_POLL_S,
            on_reload=self._retain,
        )

    async def follow(self) -> None:
        """Follows the records until cancelled."""
        await self._tail.run()

    def is_loaded(self) -> bool:
        """Returns whether the records have been read once."""
        return self._tail.caught_up_s > float("-inf")

    def caught_up_s(self) -> float:
        """Returns when the records were last read to their end."""
        return self._tail.caught_up_s

    async def catch_up(self) -> bool:
        """Returns whether all that was recorded before this call is known.

        A host that was frozen, or whose connections went silent, may have
        missed records for seconds.
        """
        return await self._tail.catch_up()

    def pools_of(self, queue: Queue) -> list[str]:
        """Returns the pools that may have a queue's jobs, its own first."""
        return [queue.pool, *self.others_of(queue.name, queue.pool)]

    def all_of(self, queue: str) -> list[str]:
        """Returns the pools that may have a queue's jobs."""
        return sorted(self._pools_by_queue.get(queue, set()))

    def others_of(self, queue: str, pool: str) -> list[str]:
        """Returns the other pools that may have a queue's jobs."""
        return sorted(self._pools_by_queue.get(queue, set()) - {pool})

    def queues_in(self, pool: str) -> list[str]:
        """Returns the queues of which a pool may have jobs."""
        return sorted(
            pair.queue
            for pair in self._pairs_by_key.values()
            if pair.pool == pool
        )

    async def record(self, pair: QueuePool) -> bool:
        """Records that a pool may have jobs of a queue.

        On return, what was recorded before is known here, too: the earlier
        pools of the queue. Concurrent calls for a pair share an append.

        Returns:
            Whether it is recorded and known here.
        """
        key = _key_of(pair)
        if key in self._pairs_by_key:
            return True
        task = self._recordings_by_key.get(key)
        if task is None:
            task = asyncio.ensure_future(self.record_all([pair]))
            self._recordings_by_key[key] = task
            task.add_done_callback(
                lambda _: self._recordings_by_key.pop(key, None)
            )
        return await asyncio.shield(task)

    async def record_all(self, pairs: list[QueuePool]) -> bool:
        """Records pairs of a queue and a pool.

        Returns:
            Whether they are all recorded and known here.
        """
        new_by_key = {
            key: pair
            for pair in pairs
            if (key := _key_of(pair)) not in self._pairs_by_key
        }
        if not new_by_key:
            return True
        records = [
            KeyedRecord(key, msgspec.msgpack.encode(pair))
            for key, pair in new_by_key.items()
        ]
        new_pairs = list(new_by_key.values())
        if not await self._append("queues.recorded", new_pairs, records):
            return False
        await run_with_timeout(
            self._context.timers,
            self._wait_for(new_by_key.keys()),
            _READ_TIMEOUT_S,
        )
        return new_by_key.keys() <= self._pairs_by_key.keys()

    async def remove_all(self, pairs: list[QueuePool]) -> None:
        """Removes the records of pools that have no more jobs of queues."""
        records = [KeyedRecord(_key_of(pair)) for pair in pairs]
        await self._append("queues.removed", pairs, records)

    async def _append(
        self, event: str, pairs: list[QueuePool], records: list[KeyedRecord]
    ) -> bool:
        outcome = ResultCode.OK
        why = ""
        for batch in in_batches(records):
            result = await self._context.ports.store.append(QUEUE_POOLS, batch)
            if isinstance(result, Refusal):
                outcome, why = result.code, result.reason
                break
        self._context.log.write(
            event,
            pairs=[[pair.queue, pair.pool] for pair in pairs[:_MAX_LOGGED]],
            count=len(pairs),
            outcome=outcome.name,
            why=why,
        )
        self._context.counters.increment(f"{event}.{outcome.name.lower()}")
        return outcome is ResultCode.OK

    async def _wait_for(self, keys: Collection[str]) -> None:
        """Waits until records have been read."""
        while not self._pairs_by_key.keys() >= set(keys):
            self._changed.clear()
            await self._changed.wait()

    def _apply_record(self, record: StoredRecord) -> None:
        if not record.value:
            self._forget(record.key)
            return
        try:
            pair = msgspec.msgpack.decode(record.value, type=QueuePool)
        except msgspec.DecodeError as error:
            self._context.log.write(
                "record.unreadable", key=record.key, why=str(error)
            )
            return
        self._pairs_by_key[record.key] = pair
        self._pools_by_queue.setdefault(pair.queue, set()).add(pair.pool)
        self._changed.set()

    def _retain(self, keys: frozenset[str]) -> None:
        for key in self._pairs_by_key.keys() - keys:
            self._forget(key)

    def _forget(self, key: str) -> None:
        pair = self._pairs_by_key.pop(key, None)
        if pair is None:
            return
        pools = self._pools_by_queue[pair.queue]
        pools.discard(pair.pool)
        if not pools:
            del self._pools_by_queue[pair.queue]


def _key_of(pair: QueuePool) -> str:
    """Returns the key of a pair; names may be too long for a key."""
    return hashlib.blake2b(
        msgspec.msgpack.encode(pair), digest_size=_KEY_BYTES
    ).hexdigest()
