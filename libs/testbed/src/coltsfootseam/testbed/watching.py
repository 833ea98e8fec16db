"""Watching whether the configuration of any entry host goes back."""

import asyncio

import aiohttp

from coltsfootseam.testbed.cluster import Cluster

_POLL_INTERVAL_S = 0.2


class ConfigurationWatch:
    """Polls every entry host while it runs.

    Attributes:
        reverted: Times at which the offset of a process was lower than before.
    """

    __slots__ = ("_cluster", "_offset_by_process", "reverted")

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._offset_by_process: dict[int, int] = {}
        self.reverted = 0

    async def run(self) -> None:
        """Watches until it is cancelled."""
        while True:
            entry_ids = list(self._cluster.entries_by_id)
            await asyncio.gather(*(self._poll(each) for each in entry_ids))
            await asyncio.sleep(_POLL_INTERVAL_S)

    async def _poll(self, entry_id: str) -> None:
        pid = self._cluster.entries_by_id[entry_id].pid
        try:
            status = await self._cluster.status(entry_id)
        except (aiohttp.ClientError, TimeoutError):
            return
        before = self._offset_by_process.get(pid, -1)
        self.reverted += status.offset < before
        self._offset_by_process[pid] = max(before, status.offset)
