"""Reading the latest record of every key of a partition, page by page."""

from collections.abc import Callable

from coltsfootseam.results import Refusal
from coltsfootseam.store.messages import LatestRecords, Partition, StoredRecord
from coltsfootseam.store.port import Store


class LatestRecordsReader:
    """Reads a partition's latest records and resumes at the page that failed.

    Over a slow link, reading a whole partition can take longer than the time
    between two failures, so a read that starts over might never complete.

    Attributes:
        pages: Number of pages read so far.
    """

    __slots__ = (
        "_after_key",
        "_end",
        "_on_page",
        "_partition",
        "_records",
        "_store",
        "pages",
    )

    def __init__(
        self,
        store: Store,
        partition: Partition,
        on_page: Callable[[], None] = lambda: None,
    ) -> None:
        """Makes a reader that has read nothing yet.

        Args:
            store: The store that holds the partition.
            partition: The partition to read.
            on_page: Called after each page.
        """
        self._store = store
        self._on_page = on_page
        self._partition = partition
        self._records: list[StoredRecord] = []
        self._end = 0
        self._after_key = ""
        self.pages = 0

    async def read(self) -> LatestRecords | Refusal:
        """Reads the remaining pages.

        Returns:
            All records, or why the next page could not be read. The pages read
            so far are kept, and another call resumes after them.
        """
        while True:
            page = await self._store.latest_page(
                self._partition, self._after_key
            )
            if isinstance(page, Refusal):
                return page
            if not self.pages:
                # Records appended since the first page may be missing from
                # the pages, so that the end of a later page is too high.
                self._end = page.end
            self.pages += 1
            self._records.extend(page.records)
            self._on_page()
            if page.next_key is None:
                return LatestRecords(self._end, self._records)
            self._after_key = page.next_key
