"""What a host knows of a partition of inboxes up to a certain end.

It knows which queues the pools admit. An append that is made under the
condition that the partition still ends there is based on all admissions before
it, however late the store carries it out.
"""

import msgspec

from coltsfootseam.manager.context import Context
from coltsfootseam.manager.jobs.admission import (
    StoredAdmission,
    admission_key,
    admission_prefix,
    decode_admission,
    is_admission,
)
from coltsfootseam.results import Refusal
from coltsfootseam.store import (
    Appended,
    Conflict,
    HistoryGone,
    KeyedRecord,
    Partition,
    StoredRecord,
)


class InboxView:
    """The admissions of some pools, as of the end of their partition."""

    __slots__ = (
        "_admissions_by_key",
        "_context",
        "_end",
        "_offsets_by_key",
        "_partition",
        "_pools",
    )

    def __init__(self, context: Context, partition: Partition) -> None:
        self._context = context
        self._partition = partition
        self._end: int | None = None
        self._pools: set[str] = set()
        self._admissions_by_key: dict[str, StoredAdmission] = {}
        self._offsets_by_key: dict[str, int] = {}

    def find(self, pool: str, queue: str) -> StoredAdmission | None:
        """Returns the admission of a queue in a pool that has been loaded."""
        return self._admissions_by_key.get(admission_key(pool, queue))

    def has_loaded(self, pool: str) -> bool:
        """Returns whether the admissions of a pool are known."""
        return pool in self._pools

    async def load(self, pool: str) -> Refusal | None:
        """Reads the admissions of a pool unless they are known.

        Returns:
            ``None``, or why they could not be read.
        """
        if pool in self._pools:
            return None
        store = self._context.ports.store
        prefix = admission_prefix(pool)
        if self._end is None:
            # The end must not be newer than what the pages below show.
            page = await store.latest_page(self._partition, prefix)
            if isinstance(page, Refusal):
                return page
            self._end = page.end
        next_key: str | None = prefix
        while next_key is not None and next_key.startswith(prefix):
            page = await store.latest_page(self._partition, next_key)
            if isinstance(page, Refusal):
                return page
            for record in page.records:
                self._apply(record)
            next_key = page.next_key
        self._pools.add(pool)
        return None

    async def catch_up(self) -> Refusal | None:
        """Reads what was appended since.

        Returns:
            ``None``, or why it could not be read.
        """
        while (end := self._end) is not None:
            page = await self._context.ports.store.read(
                self._partition, end, 0.0
            )
            if isinstance(page, HistoryGone):
                self._reset()
                return None
            if isinstance(page, Refusal):
                return page
            for record in page.records:
                self._apply(record)
            self._extend(end, page.next_offset)
            if page.next_offset >= page.end:
                break
        return None

    async def append(
        self, records: list[KeyedRecord]
    ) -> Appended | Conflict | Refusal:
        """Appends records if this view is up to date."""
        end = self._end
        if end is None:
            return Conflict()
        result = await self._context.ports.store.append_at(
            self._partition, records, end
        )
        if isinstance(result, Appended):
            for number, record in enumerate(records):
                offset = result.offset + number
                self._apply(StoredRecord(offset, record.key, record.value))
            self._extend(end, end + len(records))
        return result

    def _extend(self, from_offset: int, end: int) -> None:
        """Records that all records between two offsets are known."""
        if self._end is not None and self._end >= from_offset:
            self._end = max(self._end, end)

    def _reset(self) -> None:
        self._end = None
        self._pools.clear()
        self._admissions_by_key.clear()
        self._offsets_by_key.clear()

    def _apply(self, record: StoredRecord) -> None:
        if not is_admission(record.key):
            return
        if record.offset <= self._offsets_by_key.get(record.key, -1):
            return
        self._offsets_by_key[record.key] = record.offset
        if not record.value:
            self._admissions_by_key.pop(record.key, None)
            return
        try:
            admission = decode_admission(record.value)
        except msgspec.DecodeError as error:
            self._context.log.write(
                "record.unreadable", key=record.key, why=str(error)
            )
            self._admissions_by_key.pop(record.key, None)
            return
        self._admissions_by_key[record.key] = StoredAdmission(
            record.offset, admission, self._context.timers.now_s()
        )
