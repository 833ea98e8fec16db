"""Appends records to the pools' inboxes, several with one call.

The store takes one append of a partition after the other. A slow store takes so
few that a burst of jobs can only be stored if they share appends.

Each append is made under the condition that nothing else has been appended
since this host last read the partition. So a pool that no longer admits a queue
gets no job of it, however old this host's view is and however late the store
carries an append out.
"""

import asyncio
from collections.abc import Sequence

import msgspec

from coltsfootseam.manager.background import record_failure, start_once
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.jobs.admission import (
    Admission,
    StoredAdmission,
    admission_key,
    encode_admission,
    is_admission,
)
from coltsfootseam.manager.jobs.inbox_view import InboxView
from coltsfootseam.results import OK, Refusal, ResultCode
from coltsfootseam.store import Appended, KeyedRecord, Partition, in_batches

_MAX_CONFLICTS = 8
"""How often an append is tried again after another host's append."""

_MAX_CONCURRENT_APPENDS = 2
"""Appends of a partition in flight: a lost reply must not hold up the next."""

_HELD_UP_AFTER_S = 0.3
_HELD_UP_FACTOR = 2.0
"""How many times the usual duration counts as held up."""

NOT_ADMITTED = Refusal(
    ResultCode.VERSION_CONFLICT, "the pool no longer takes jobs of the queue"
)
_CONTENDED = Refusal(ResultCode.LOG_UNAVAILABLE, "other hosts came first")


class Condition(msgspec.Struct, frozen=True):
    """What must be current for a record to be appended.

    Attributes:
        queue: A queue.
        offset: Identifies the admission of the queue in the record's pool,
            ``None`` if there must be none.
    """

    queue: str
    offset: int | None


class _PendingRecord(msgspec.Struct, frozen=True):
    pool: str
    record: KeyedRecord
    condition: Condition | None
    result: asyncio.Future[Refusal]


class _Inbox:
    """One partition: this host's view of it and the records to append.

    Attributes:
        view: This host's view of the partition.
        pending: Records that wait for an append.
        active: How many appends are in flight.
        started_s: When the latest of them was started, in monotonic seconds.
        took_s: How long the last one took that was answered.
    """

    __slots__ = ("active", "pending", "started_s", "took_s", "view")

    def __init__(self, view: InboxView) -> None:
        self.view = view
        self.pending: list[_PendingRecord] = []
        self.active = 0
        self.started_s = 0.0
        self.took_s = 0.0

    def next_append_s(self, store_took_s: float) -> float:
        """Returns when the next append may start, in monotonic seconds.

        If the append in flight is carried out after all, the next one is
        refused, so it starts only if that one takes unusually long.

        Args:
            store_took_s: How long the store took for its last call.
        """
        if not self.active:
            return self.started_s
        if self.active >= _MAX_CONCURRENT_APPENDS:
            return float("inf")
        usual_s = max(self.took_s, store_took_s)
        held_up_s = max(_HELD_UP_AFTER_S, _HELD_UP_FACTOR * usual_s)
        return self.started_s + held_up_s


class InboxAppender:
    """Appends the records of concurrent requests together.

    While an append of a partition is in flight, further records wait and go out
    together with the next one.
    """

    __slots__ = ("_context", "_inboxes_by_partition", "_tasks")

    def __init__(self, context: Context) -> None:
        self._context = context
        self._inboxes_by_partition: dict[Partition, _Inbox] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def append(
        self,
        pool: str,
        record: KeyedRecord,
        condition: Condition | None = None,
    ) -> Refusal:
        """Appends a record to a pool's inbox.

        Args:
            pool: The pool.
            record: The record.
            condition: What must be current, ``None`` for no condition.

        Returns:
            ``OK``, ``NOT_ADMITTED`` if the condition isn't met, or why the
            append failed.
        """
        return (await self.append_all(pool, [record], condition))[0]

    async def append_all(
        self,
        pool: str,
        records: Sequence[KeyedRecord],
        condition: Condition | None = None,
    ) -> list[Refusal]:
        """Appends records under the same condition, see ``append``."""
        inbox = self._inbox(pool)
        pending = [
            _PendingRecord(
                pool,
                record,
                condition,
                asyncio.get_running_loop().create_future(),
            )
            for record in records
        ]
        inbox.pending.extend(pending)
        self._start_next(pool, inbox)
        return [await item.result for item in pending]

    async def record_admission(
        self,
        pool: str,
        queue: str,
        admission: Admission,
        offset: int | None,
    ) -> Refusal:
        """Records the admission of a queue in a pool's inbox.

        Args:
            pool: The pool.
            queue: The queue.
            admission: The admission.
            offset: Identifies the current one, ``None`` if there is none.
        """
        record = KeyedRecord(
            admission_key(pool, queue), encode_admission(admission)
        )
        condition = Condition(queue, offset)
        return await self.append(pool, record, condition)

    async def delete_admission(
        self, pool: str, queue: str, offset: int
    ) -> Refusal:
        """Deletes an admission, see ``record_admission``."""
        record = KeyedRecord(admission_key(pool, queue))
        return await self.append(pool, record, Condition(queue, offset))

    async def find_admission(
        self, pool: str, queue: str, is_current: bool = False
    ) -> StoredAdmission | Refusal | None:
        """Returns the admission of a queue in a pool, ``None`` without any.

        Args:
            pool: The pool.
            queue: The queue.
            is_current: Whether the store is asked for changes first.
        """
        view = self._inbox(pool).view
        if is_current or not view.has_loaded(pool):
            refusal = await self._update(view, {pool}, is_current)
            if refusal is not None:
                return refusal
        return view.find(pool, queue)

    def _inbox(self, pool: str) -> _Inbox:
        partition = self._context.inbox_of(pool)
        inbox = self._inboxes_by_partition.get(partition)
        if inbox is None:
            inbox = _Inbox(InboxView(self._context, partition))
            self._inboxes_by_partition[partition] = inbox
        return inbox

    async def _update(
        self, view: InboxView, pools: set[str], is_behind: bool
    ) -> Refusal | None:
        """Reads what an append to some pools has to be based on."""
        if is_behind:
            refusal = await view.catch_up()
            if refusal is not None:
                return refusal
        for pool in sorted(pools):
            refusal = await view.load(pool)
            if refusal is not None:
                return refusal
        return None

    def _start_next(self, pool: str, inbox: _Inbox) -> None:
        """Starts an append of the records that wait, as soon as one may."""
        if not inbox.pending:
            return
        next_s = inbox.next_append_s(self._context.ports.store.took_s)
        wait_s = next_s - self._context.timers.now_s()
        if wait_s == float("inf"):
            return
        if wait_s > 0:
            self._context.timers.schedule(
                wait_s, lambda: self._start_next(pool, inbox)
            )
            return
        inbox.active += 1
        task = start_once(
            self._context,
            f"appends to the inbox of {pool}",
            lambda: self._append_pending(pool, inbox),
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _append_pending(self, pool: str, inbox: _Inbox) -> None:
        try:
            while inbox.pending:
                batch = _take_batch(inbox)
                try:
                    await self._append_batch(inbox, batch)
                except Exception as error:
                    record_failure(
                        self._context, f"append to the inbox of {pool}", error
                    )
                    _settle(
                        batch, Refusal(ResultCode.OUTCOME_PENDING, repr(error))
                    )
        finally:
            inbox.active -= 1
            self._start_next(pool, inbox)

    async def _append_batch(
        self, inbox: _Inbox, batch: list[_PendingRecord]
    ) -> None:
        """Appends the records whose conditions are met, all with one call."""
        view = inbox.view
        inbox.started_s = self._context.timers.now_s()
        pools = {item.pool for item in batch}
        is_behind = has_caught_up = False
        for _ in range(_MAX_CONFLICTS):
            refusal = await self._update(view, pools, is_behind)
            if refusal is not None:
                # What was read can't have had an effect.
                _settle(batch, _unstored(refusal))
                return
            has_caught_up |= is_behind
            unmet = [item for item in batch if not _is_met(item, view)]
            if unmet and not has_caught_up:
                # Another host may know of a newer admission.
                is_behind = True
                continue
            _settle(unmet, NOT_ADMITTED)
            batch = _in_order([item for item in batch if item not in unmet])
            if not batch:
                return
            sent_s = self._context.timers.now_s()
            result = await view.append([item.record for item in batch])
            if isinstance(result, Refusal):
                _settle(batch, result)
                return
            inbox.took_s = self._context.timers.now_s() - sent_s
            if isinstance(result, Appended):
                _settle(batch, OK)
                return
            self._context.counters.increment("inbox.conflicts")
            is_behind = True
        _settle(batch, _CONTENDED)


def _unstored(refusal: Refusal) -> Refusal:
    """Returns the outcome of records if reading what they need was refused."""
    return Refusal(ResultCode.LOG_UNAVAILABLE, refusal.reason)


def _take_batch(inbox: _Inbox) -> list[_PendingRecord]:
    """Removes as many of the records that wait as fit into an append."""
    count = len(next(in_batches([item.record for item in inbox.pending])))
    batch = inbox.pending[:count]
    inbox.pending = inbox.pending[count:]
    return batch


def _in_order(batch: list[_PendingRecord]) -> list[_PendingRecord]:
    """Returns the records of an append in an order that suits all conditions.

    Admissions come last, as other records may depend on those that they
    replace. Of several for a queue the first one counts.
    """
    jobs = [item for item in batch if not is_admission(item.record.key)]
    admissions: dict[str, _PendingRecord] = {}
    for item in batch:
        if is_admission(item.record.key):
            first = admissions.setdefault(item.record.key, item)
            if first is not item:
                _settle([item], NOT_ADMITTED)
    return [*jobs, *admissions.values()]


def _is_met(item: _PendingRecord, view: InboxView) -> bool:
    condition = item.condition
    if condition is None:
        return True
    found = view.find(item.pool, condition.queue)
    return condition.offset == (None if found is None else found.offset)


def _settle(batch: list[_PendingRecord], result: Refusal) -> None:
    for item in batch:
        # A request that was cancelled doesn't wait any more.
        if not item.result.done():
            item.result.set_result(result)
