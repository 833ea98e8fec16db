"""The journal of one owner: claimed, then appended to in order.

An epoch is the offset of the claim's own record plus one. Two claims can't
take the same offset, so an epoch belongs to exactly one incarnation, however
late a claim takes effect. Of two that claim at once the later one wins, and a
claim whose epoch nobody takes changes nothing. What an earlier owner appended
between the claim and the moment at which the epoch was taken stands in the
journal; after that moment the store refuses its appends.
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

_CLAIM_PREFIX = "/claim/"
_RETRY_INTERVAL_S = 0.1
_STORE_REPEAT_WINDOW = 5
_MAX_BATCH_BYTES = 65_536


class Claim(msgspec.Struct, frozen=True):
    """Who took a journal over, and where that owner is reached."""

    owner: str
    address: str


class Journal:
    """Appends an owner's records, one call at a time, each settled.

    Attributes:
        partition: Where the journal stands.
        epoch: Number of this ownership. It also fences orders to workers.
        claimed_s: When this ownership began, monotonic.
        confirmed_s: When a call was sent that the store answered under this
            epoch, monotonic.
        lost: Whether another owner has claimed the journal since.
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
        "lost",
        "partition",
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
        self.lost = False

    async def commit(self, records: list[KeyedRecord]) -> Refusal | None:
        """Appends records and returns once they are stored for certain.

        An append whose outcome is unknown is repeated under its sequence
        number until the store settles it, however long that takes. Many
        records go in several appends, which a narrow link carries in time.

        Returns:
            ``None``, or a refusal with ``STALE_EPOCH`` if the journal is lost.
        """
        for batch in _in_batches(records):
            problem = await self._append(batch)
            if problem is not None:
                return problem
        return None

    def unacknowledged_s(self) -> float:
        """Returns for how long an append has been repeated, 0 if none is."""
        if self._unacknowledged_since_s is None:
            return 0.0
        return self._timers.now_s() - self._unacknowledged_since_s

    async def _append(self, records: list[KeyedRecord]) -> Refusal | None:
        self._sequence += 1
        writer = Writer(self._name, self.epoch, self._sequence)
        self._unacknowledged_since_s = self._timers.now_s()
        while not self.lost:
            sent_s = self._timers.now_s()
            result = await self._store.append(
                self.partition, records, writer=writer
            )
            if isinstance(result, Appended):
                self.confirmed_s = sent_s
                self._acknowledged_sequence = writer.sequence
                self._unacknowledged_since_s = None
                return None
            if _is_refused_as(ResultCode.STALE_EPOCH, result):
                self.lost = True
                break
            # One that took its time may be lost and is repeated at once.
            took_s = self._timers.now_s() - sent_s
            await self._timers.sleep(max(0.0, _RETRY_INTERVAL_S - took_s))
        return Refusal(ResultCode.STALE_EPOCH, f"{self._name}: journal lost")

    async def confirm(self) -> None:
        """Asks the store whether the epoch still holds.

        The last settled append is repeated without its records; the store
        answers as it did the first time, or refuses the epoch. The number of
        an append under way must not be used: the store would take the repeat
        for that append, and its records for a repeat.
        """
        writer = Writer(self._name, self.epoch, self._acknowledged_sequence)
        sent_s = self._timers.now_s()
        result = await self._store.append(self.partition, [], writer=writer)
        if isinstance(result, Appended):
            self.confirmed_s = max(self.confirmed_s, sent_s)
            return
        # A repeat that was overtaken by several appends is refused as well.
        is_recent = (
            self._acknowledged_sequence - writer.sequence < _STORE_REPEAT_WINDOW
        )
        if is_recent and _is_refused_as(ResultCode.STALE_EPOCH, result):
            self.lost = True


def _in_batches(records: list[KeyedRecord]) -> Iterator[list[KeyedRecord]]:
    """Splits records into runs of a limited size, of one record at least."""
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


def _is_refused_as(code: ResultCode, result: Appended | Refusal) -> bool:
    return isinstance(result, Refusal) and result.code is code


def epoch_of_claim(offset: int) -> int:
    """Returns the epoch of the claim that stands at an offset."""
    return offset + 1


async def claim_journal(
    store: Store,
    timers: TimerService,
    partition: Partition,
    name: str,
    claim: Claim,
) -> Journal | Refusal:
    """Takes a journal over from whoever owned it.

    Args:
        store: Where the journal stands.
        timers: Time.
        partition: Where the journal stands; others may stand there as well.
        name: Name of the role, the same for each owner of this journal.
        claim: Says who claims. The owner's name must be unique to this start
            of the process.
    """
    body = msgspec.msgpack.encode(claim)
    # The store answers a repeat of a numbered append without looking who
    # sends it, so the claim itself carries no number.
    claimed = await store.append(
        partition, [KeyedRecord(_CLAIM_PREFIX + name, body)]
    )
    if isinstance(claimed, Refusal):
        return claimed
    epoch = epoch_of_claim(claimed.offset)
    taken = await store.append(partition, [], writer=Writer(name, epoch, 0))
    if isinstance(taken, Refusal):
        return taken
    return Journal(store, timers, partition, name, epoch)
