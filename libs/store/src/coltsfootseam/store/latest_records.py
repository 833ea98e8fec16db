"""Reading the newest record of every key of a partition, page by page."""

from collections.abc import Callable

from coltsfootseam.results import Refusal
from coltsfootseam.store.messages import LatestRecords, Partition, StoredRecord
from coltsfootseam.store.port import Store


class LatestRecordsReader:
    """Reads a partition's newest records; a failure costs one page only.

    A partition can be larger than what a narrow link carries between two
    failures, so that a read which starts over might never come to its end.

    Attributes:
        pages: How many pages were read so far.
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
            store: Where the partition stands.
            partition: What to read.
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
        """Reads the pages that are missing.

        Returns:
            All records, or why the next page could not be read. What was read
            is kept: a further call goes on there.
        """
        while True:
            page = await self._store.latest_page(
                self._partition, self._after_key
            )
            if isinstance(page, Refusal):
                return page
            if not self.pages:
                # Later pages may miss what was appended since the first one.
                self._end = page.end
            self.pages += 1
            self._records.extend(page.records)
            self._on_page()
            if page.next_key is None:
                return LatestRecords(self._end, self._records)
            self._after_key = page.next_key
