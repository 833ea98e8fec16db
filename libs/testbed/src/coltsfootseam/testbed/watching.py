"""Detects entry hosts that return to an older configuration."""

import asyncio

import aiohttp

from coltsfootseam.testbed.cluster import Cluster

_POLL_INTERVAL_S = 0.2


class ConfigurationWatch:
    """Polls the configuration offset of every entry host.

    Attributes:
        reverted: Number of polls in which a process reported a lower offset
            than before.
    """

    __slots__ = ("_cluster", "_offset_by_process", "reverted")

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._offset_by_process: dict[int, int] = {}
        self.reverted = 0

    async def run(self) -> None:
        """Polls until cancelled."""
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
        highest = self._offset_by_process.get(pid, -1)
        self.reverted += status.offset < highest
        self._offset_by_process[pid] = max(highest, status.offset)
