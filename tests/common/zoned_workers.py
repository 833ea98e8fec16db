"""Workers that report to the store and can start again in the dark."""

import asyncio
import time
from collections.abc import Callable

import msgspec
from aiohttp import web

from coltsfootseam.standins.memory_worker import MemoryWorker
from coltsfootseam.standins.memory_workers import MemoryWorkers
from coltsfootseam.store import Partition
from coltsfootseam.workers import WorkerEntry, worker_incarnation_id
from tests.common.platform_servers import StoreServer, WorkerServer, report_of

_DOWN_S = 0.03
_REPORT_S = 1.0
_EXPIRY_S = 3 * _REPORT_S
_MS_PER_S = 1000


class ZonedWorker:
    """A worker at an address that its incarnations share.

    Attributes:
        entry: What the present incarnation reports about itself.
        lock: Held by what has taken its power or its entry.
    """

    def __init__(
        self,
        entry: WorkerEntry,
        workers: MemoryWorkers,
        store: StoreServer,
        reaches_store: Callable[[], bool],
    ) -> None:
        self.entry = entry
        self.lock = asyncio.Lock()
        self._server = WorkerServer(workers, entry)
        self._store = store
        self._reaches_store = reaches_store
        self._is_reporting = True
        self._listed: WorkerEntry | None = None
        self._silence_s = _EXPIRY_S

    def application(self) -> web.Application:
        """Returns the web application that serves the worker."""
        return self._server.application()

    async def restart_unlisted(self) -> MemoryWorker:
        """Loses power and starts again, with the former entry in the store.

        That entry expires unless the worker reports again.

        Returns:
            The next incarnation.
        """
        self._is_reporting = False
        self._server.lose_power()
        await asyncio.sleep(_DOWN_S)
        started_ms = round(time.time() * _MS_PER_S)
        instance_id = self.entry.instance_id
        self.entry = msgspec.structs.replace(
            self.entry,
            worker_id=worker_incarnation_id(instance_id, started_ms),
            started_ms=started_ms,
        )
        return self._server.restore_power(self.entry)

    def report_again(self) -> None:
        """Resumes the reports, with the first one at once."""
        self._is_reporting = True
        self._report(0.0)

    async def report_forever(self) -> None:
        """Keeps the worker's entry in the store while it can report.

        The store drops the entry of a silent worker, but not while it is down.
        """
        while True:
            self._report(_REPORT_S)
            await asyncio.sleep(_REPORT_S)

    def _report(self, since_last_s: float) -> None:
        if self._store.is_down:
            return
        if self._is_reporting and self._reaches_store():
            self._silence_s = 0.0
            if self._listed is not self.entry:
                self._list()
            return
        self._silence_s += since_last_s
        if self._listed is not None and self._silence_s >= _EXPIRY_S:
            partition = Partition("servers")
            self._store.store.put(partition, self.entry.instance_id, b"")
            self._listed = None

    def _list(self) -> None:
        report = report_of(self.entry)
        self._store.put("servers", self.entry.instance_id, report)
        self._listed = self.entry
