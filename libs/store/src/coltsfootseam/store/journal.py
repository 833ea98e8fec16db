"""A journal with one owner at a time, which claims it and then appends.

An epoch is the offset of the claim's own record plus one. Two claims can't
have the same offset, so an epoch belongs to exactly one claim, even if the
store executes that claim late. Of two concurrent claims the later one wins.

A claim takes up some more offsets, so the numbers that follow its epoch belong
to it as well. With the epoch they are the fencing tokens of its owner's orders.

An epoch becomes current with the first append under it. Until then the previous
owner's appends are accepted and stay in the journal; afterwards the store
refuses them. A claim without a following append has no effect.
"""

from collections.abc import Iterator

import msgspec

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.store.messages import (
    Appended,
    KeyedRecord,
    Partition,
    Writer,
)
from coltsfootseam.store.port import Store
from coltsfootseam.timers import TimerService

TOKENS_PER_EPOCH = 16
"""How many fencing tokens belong to an epoch, from the epoch itself on."""

_CLAIM_KEY_PREFIX = "/claim/"
_RESERVED_KEY = "/reserved"
_RETRY_INTERVAL_S = 0.1
# How many of a writer's latest appends the store recognizes when repeated.
_STORE_REMEMBERED_APPENDS = 5
# Small enough to be sent over a slow link within the call's timeout.
_MAX_BATCH_BYTES = 65_536


class Claim(msgspec.Struct, frozen=True):
    """The owner that claims a journal, and the address of its host."""

    owner: str
    address: str


class Journal:
    """Appends an owner's records, with one append in flight at a time.

    Attributes:
        partition: The partition in which the journal is stored.
        epoch: Epoch of this owner's claim. It is also the first of the fencing
            tokens of its orders.
        claimed_s: When the journal was claimed, in monotonic seconds.
        confirmed_s: Send time of the last call that the store accepted under
            this epoch, in monotonic seconds.
        untaken_keys: Keys of the records that the last commit left out, as the
            store will never take them.
        is_lost: Whether this owner must stop appending, as another owner has
            claimed the journal or this one has released it.
    """

    __slots__ = (
        "_acknowledged_sequence",
        "_name",
        "_sequence",
        "_store",
        "_timers",
        "_unacknowledged_since_s",
        "claimed_s",
        "confirmed_s",
        "epoch",
        "is_lost",
        "partition",
        "untaken_keys",
    )

    def __init__(
        self,
        store: Store,
        timers: TimerService,
        partition: Partition,
        name: str,
        epoch: int,
    ) -> None:
        self._store = store
        self._timers = timers
        self.partition = partition
        self._name = name
        self._sequence = 0
        self._acknowledged_sequence = 0
        self._unacknowledged_since_s: float | None = None
        self.epoch = epoch
        self.claimed_s = timers.now_s()
        self.confirmed_s = self.claimed_s
        self.is_lost = False
        self.untaken_keys: set[str] = set()

    async def commit(self, records: list[KeyedRecord]) -> Refusal | None:
        """Appends records and returns once the store acknowledged them.

        An append whose outcome is unknown is repeated under its sequence
        number until the store accepts or refuses it, without a time limit.
        Many records are split into several appends, so that each of them is
        sent over a slow link within the timeout. A record that the store will
        never take is left out, so that it doesn't hold up the others.

        Returns:
            ``None``, or a refusal: with ``STALE_EPOCH`` if the journal is lost,
            with ``NOT_RUN_TOO_LARGE`` if some records are left out, which
            ``untaken_keys`` names.
        """
        self.untaken_keys.clear()
        for batch in in_batches(records):
            refusal = await self._append_takeable(batch)
            if refusal is not None:
                return refusal
        if self.untaken_keys:
            reason = f"{self._name}: {len(self.untaken_keys)} records refused"
            return Refusal(ResultCode.NOT_RUN_TOO_LARGE, reason)
        return None

    async def _append_takeable(
        self, records: list[KeyedRecord]
    ) -> Refusal | None:
        """Appends records, without those that the store will never take."""
        refusal = await self._append(records)
        if refusal is None or refusal.code is ResultCode.STALE_EPOCH:
            return refusal
        if len(records) == 1:
            self.untaken_keys.add(records[0].key)
            return None
        middle = len(records) // 2
        return await self._append_takeable(
            records[:middle]
        ) or await self._append_takeable(records[middle:])

    def unacknowledged_s(self) -> float:
        """Returns the age of the unacknowledged append, 0 if there is none."""
        if self._unacknowledged_since_s is None:
            return 0.0
        return self._timers.now_s() - self._unacknowledged_since_s

    async def _append(self, records: list[KeyedRecord]) -> Refusal | None:
        self._sequence += 1
        writer = Writer(self._name, self.epoch, self._sequence)
        self._unacknowledged_since_s = self._timers.now_s()
        while not self.is_lost:
            sent_s = self._timers.now_s()
            result = await self._store.append(
                self.partition, records, writer=writer
            )
            if isinstance(result, Appended):
                self.confirmed_s = max(self.confirmed_s, sent_s)
                self._acknowledged_sequence = writer.sequence
                self._unacknowledged_since_s = None
                return None
            if _is_refused_with(ResultCode.STALE_EPOCH, result):
                self.is_lost = True
                break
            if _is_refused_with(ResultCode.NOT_RUN_TOO_LARGE, result):
                # The store has not used the sequence number.
                self._sequence -= 1
                self._unacknowledged_since_s = None
                return result
            # Waits for the rest of the retry interval. A failure that took
            # longer may be a lost reply, so the append is repeated at once.
            took_s = self._timers.now_s() - sent_s
            await self._timers.sleep(max(0.0, _RETRY_INTERVAL_S - took_s))
        return Refusal(ResultCode.STALE_EPOCH, f"{self._name}: journal lost")

    async def confirm(self) -> None:
        """Checks with the store whether the epoch is still valid.

        The last acknowledged append is repeated without its records. The store
        replies as it did the first time, or refuses the epoch. The number of
        an append in flight must not be used: the store would accept the empty
        repeat as that append, and then ignore the append as a repeat.
        """
        writer = Writer(self._name, self.epoch, self._acknowledged_sequence)
        sent_s = self._timers.now_s()
        result = await self._store.append(self.partition, [], writer=writer)
        if isinstance(result, Appended):
            self.confirmed_s = max(self.confirmed_s, sent_s)
            return
        # The store recognizes repeats of the latest appends only. If enough
        # later ones were acknowledged during this call, it refuses the repeat
        # as stale, which doesn't mean that the epoch is stale.
        is_recent = (
            self._acknowledged_sequence - writer.sequence
            < _STORE_REMEMBERED_APPENDS
        )
        if is_recent and _is_refused_with(ResultCode.STALE_EPOCH, result):
            self.is_lost = True


def in_batches(records: list[KeyedRecord]) -> Iterator[list[KeyedRecord]]:
    """Splits records into batches of limited size and at least one record."""
    batch: list[KeyedRecord] = []
    size = 0
    for record in records:
        record_size = len(record.key) + len(record.value)
        if batch and size + record_size > _MAX_BATCH_BYTES:
            yield batch
            batch = []
            size = 0
        batch.append(record)
        size += record_size
    if batch:
        yield batch


def _is_refused_with(code: ResultCode, result: Appended | Refusal) -> bool:
    return isinstance(result, Refusal) and result.code is code


def epoch_of_claim(offset: int) -> int:
    """Returns the epoch of the claim record at an offset."""
    return offset + 1


async def claim_journal(
    store: Store,
    timers: TimerService,
    partition: Partition,
    name: str,
    claim: Claim,
) -> Journal | Refusal:
    """Claims a journal, and so takes it over from its previous owner.

    Args:
        store: The store that holds the journal.
        timers: Clock and timers.
        partition: The journal's partition, which journals may share.
        name: Name of the journal, the same for each of its owners.
        claim: The owner and its address. The owner's name must be unique to
            this incarnation of the process.

    Returns:
        The journal, or why the store refused the claim.
    """
    body = msgspec.msgpack.encode(claim)
    # Deletions of a key that is never set leave nothing but their offsets.
    reserved = [KeyedRecord(_RESERVED_KEY)] * (TOKENS_PER_EPOCH - 1)
    # The store recognizes a repeated append by its sequence number alone,
    # whoever sends it, so the claim itself must not have one.
    claimed = await store.append(
        partition, [KeyedRecord(_CLAIM_KEY_PREFIX + name, body), *reserved]
    )
    if isinstance(claimed, Refusal):
        return claimed
    epoch = epoch_of_claim(claimed.offset)
    # The first append under the epoch makes it current.
    sent_s = timers.now_s()
    activated = await store.append(partition, [], writer=Writer(name, epoch, 0))
    if isinstance(activated, Refusal):
        return activated
    journal = Journal(store, timers, partition, name, epoch)
    journal.confirmed_s = sent_s
    return journal
