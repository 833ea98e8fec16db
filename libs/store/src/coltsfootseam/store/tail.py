"""Following a keyed partition, from its latest records on."""

from collections.abc import Callable

from coltsfootseam.results import Refusal
from coltsfootseam.store.latest_records import LatestRecordsReader
from coltsfootseam.store.messages import (
    HistoryGone,
    LatestRecords,
    Page,
    Partition,
    StoredRecord,
)
from coltsfootseam.store.port import Store
from coltsfootseam.timers import TimerService

_RETRY_DELAY_S = 0.1

OnRecord = Callable[[StoredRecord], None]
OnReload = Callable[[frozenset[str]], None]


class Tail:
    """Passes a partition's records on to the process as they are appended.

    Records reach ``on_record`` in offset order. A read may return a record
    again, or an older one of the same key; only records that are newer than
    the last one of their key are passed on.

    Attributes:
        loaded: Whether the latest records have been read.
        caught_up_s: When the partition was last read up to its end, in
            monotonic seconds.
    """

    __slots__ = (
        "_load_started_s",
        "_next_offset",
        "_offsets_by_key",
        "_on_page",
        "_on_record",
        "_on_reload",
        "_partition",
        "_poll_s",
        "_prefix",
        "_reader",
        "_store",
        "_timers",
        "_wait_s",
        "caught_up_s",
        "loaded",
    )

    def __init__(
        self,
        store: Store,
        timers: TimerService,
        partition: Partition,
        on_record: OnRecord,
        wait_s: float,
        poll_s: float = 0.0,
        on_reload: OnReload | None = None,
        prefix: str = "",
        on_page: Callable[[], None] = lambda: None,
    ) -> None:
        """Makes a tail that hasn't read anything yet.

        Args:
            store: The store that holds the partition.
            timers: Clock and timers.
            partition: The partition to follow.
            on_record: Called with each new record.
            wait_s: How long a read may wait for a record.
            poll_s: Pause after each successful read.
            on_reload: Called with all existing keys after each load of the
                latest records. They are loaded again if the store has deleted
                records that were not read yet.
            prefix: Records whose keys don't start with it are skipped.
            on_page: Called after each page of latest records.
        """
        self._store = store
        self._timers = timers
        self._partition = partition
        self._on_record = on_record
        self._on_reload = on_reload
        self._prefix = prefix
        self._on_page = on_page
        self._wait_s = wait_s
        self._poll_s = poll_s
        self._next_offset = 0
        self._reader: LatestRecordsReader | None = None
        self._load_started_s = 0.0
        self._offsets_by_key: dict[str, int] = {}
        self.loaded = False
        self.caught_up_s = float("-inf")

    async def load(self) -> Refusal | None:
        """Reads the latest record of each key, to follow what comes after.

        Returns:
            ``None``, or why a page could not be read. Another call resumes
            with that page.
        """
        if self._reader is None:
            self._reader = LatestRecordsReader(
                self._store, self._partition, self._on_page
            )
            self._load_started_s = self._timers.now_s()
        latest = await self._reader.read()
        if isinstance(latest, Refusal):
            return latest
        self._reader = None
        self._apply_latest(latest)
        self.caught_up_s = self._load_started_s
        return None

    async def run(self) -> None:
        """Follows the partition until it is cancelled."""
        while True:
            refusal = await self.step()
            if refusal is not None:
                await self._timers.sleep(_RETRY_DELAY_S)
            elif self._poll_s:
                await self._timers.sleep(self._poll_s)

    async def step(self) -> Refusal | None:
        """Reads either the latest records or those appended since, once.

        Returns:
            ``None``, or why the store refused the read.
        """
        if not self.loaded:
            return await self.load()
        started_s = self._timers.now_s()
        page = await self._store.read(
            self._partition, self._next_offset, self._wait_s
        )
        if isinstance(page, HistoryGone):
            self.loaded = False
            return None
        if isinstance(page, Refusal):
            return page
        self._apply_page(page, started_s, has_waited=self._wait_s > 0)
        return None

    async def catch_up(self) -> bool:
        """Reads up to the end of the partition, besides ``run``.

        Returns:
            Whether all records are known that were appended before this call.
        """
        started_s = self._timers.now_s()
        while self.caught_up_s < started_s:
            if not self.loaded:
                return False
            requested_s = self._timers.now_s()
            page = await self._store.read(
                self._partition, self._next_offset, 0.0
            )
            if not isinstance(page, Page):
                return False
            self._apply_page(page, requested_s)
        return True

    def forget(self, key: str) -> None:
        """Forgets the offset of a key that was deleted."""
        self._offsets_by_key.pop(key, None)

    def _apply_latest(self, latest: LatestRecords) -> None:
        for record in sorted(latest.records, key=lambda item: item.offset):
            self._apply_record(record)
        # A partition never gets shorter, so a lower end is out of date.
        self._next_offset = max(self._next_offset, latest.end)
        self.loaded = True
        if self._on_reload is not None:
            self._on_reload(frozenset(item.key for item in latest.records))

    def _apply_page(
        self, page: Page, started_s: float, has_waited: bool = False
    ) -> None:
        for record in page.records:
            self._apply_record(record)
        self._next_offset = max(self._next_offset, page.next_offset)
        if self._next_offset >= page.end:
            # A read that waited and found nothing confirms the end as of now,
            # any other one as of its start.
            is_idle = not page.records and has_waited
            read_s = self._timers.now_s() if is_idle else started_s
            self.caught_up_s = max(self.caught_up_s, read_s)

    def _apply_record(self, record: StoredRecord) -> None:
        if not record.key.startswith(self._prefix):
            return
        if record.offset <= self._offsets_by_key.get(record.key, -1):
            return
        self._offsets_by_key[record.key] = record.offset
        self._on_record(record)
