"""Managers, workers and a store in availability zones that can be parted."""

import asyncio
import contextlib
import pathlib
import signal
from collections.abc import AsyncIterator

import aiohttp

from coltsfootseam.jobs import TaskId
from coltsfootseam.standins.memory_workers import MemoryWorkers
from coltsfootseam.standins.serving import serving
from coltsfootseam.testbed.links import Links, opening_links
from coltsfootseam.testbed.waiting import wait_until
from coltsfootseam.timers import LoopTimers
from coltsfootseam.workers import WorkerEntry
from tests.common.linked_manager import NODE_VARIABLE
from tests.common.manager_processes import ManagerProcess
from tests.common.platform_servers import (
    StoreServer,
    configuration,
    worker_entry,
)
from tests.common.zoned_workers import ZonedWorker

ZONES = ("a", "b", "c")
NODES_PER_ZONE = 2
HOST = "queue.example"
LONG_RUNNING_S = 1e9
_STORE = 100
_FIRST_WORKER = 11
_FIRST_NETWORK = 180
_STORE_PORT = 7000
_WORKER_PORT = 7100
_FRONT_PORT = 8000
_READINESS_PORT = 8001
_PEER_PORT = 9000
_CALL_TIMEOUT_S = 3.0
_SHUTDOWN_S = 0.1
_READY_LIMIT_S = 60.0


class ZonedHost(ManagerProcess):
    """A manager with its node on the links and a lock for what stops it."""

    def __init__(
        self, node: int, zone: str, links: Links, folder: pathlib.Path
    ) -> None:
        super().__init__(
            node,
            f"{links.ip(_STORE)}:{_STORE_PORT}",
            folder,
            [_FRONT_PORT, _READINESS_PORT],
            _PEER_PORT,
            links.ip(node),
            zone,
            ("-m", "tests.common.linked_manager"),
            {NODE_VARIABLE: str(node)},
        )
        self.node = node
        self.lock = asyncio.Lock()


class ZonedDeployment:
    """A store, and hosts and workers in each zone.

    Attributes:
        links: Links from each host to the other nodes.
        zones: The zones.
        store: The store.
        workers: The workers, which record violations.
        hosts: The hosts.
        workers_by_node: Workers that can lose power, by their node.
        durations_s_by_job: Durations of the tasks of each job.
    """

    def __init__(
        self,
        links: Links,
        folder: pathlib.Path,
        zones: tuple[str, ...] = ZONES,
        hosts_per_zone: int = NODES_PER_ZONE,
    ) -> None:
        self.links = links
        self.zones = zones
        self.store = StoreServer()
        self.workers = MemoryWorkers(LoopTimers(), self._duration_s)
        self.durations_s_by_job: dict[str, float] = {}
        self.hosts = [
            ZonedHost(node, zone, links, folder)
            for node, zone in enumerate(_repeat(zones, hosts_per_zone), 1)
        ]
        worker_zones = _repeat(zones, NODES_PER_ZONE)
        self.workers_by_node = {
            node: self._make_worker(node, zone)
            for node, zone in enumerate(worker_zones, _FIRST_WORKER)
        }
        self._sessions_by_host: dict[str, aiohttp.ClientSession] = {}

    def _make_worker(self, node: int, zone: str) -> ZonedWorker:
        address = f"{self.links.ip(node)}:{_WORKER_PORT}"
        entry = worker_entry(f"i-{node}", address, zone)
        return ZonedWorker(
            entry,
            self.workers,
            self.store,
            lambda: self.links.is_open(node, _STORE),
        )

    def nodes(self, zone: str) -> set[int]:
        """Returns the hosts and workers of a zone."""
        hosts = {host.node for host in self.hosts if host.zone == zone}
        return hosts | self.worker_nodes(zone)

    def worker_nodes(self, zone: str) -> set[int]:
        """Returns the workers of a zone."""
        workers = self.workers_by_node.items()
        return {node for node, worker in workers if worker.entry.zone == zone}

    def other_nodes(self, zone: str) -> set[int]:
        """Returns the store, and the hosts and workers of other zones."""
        others = [self.nodes(other) for other in self.zones if other != zone]
        return {_STORE}.union(*others)

    @property
    def store_node(self) -> int:
        """Returns the node of the store."""
        return _STORE

    async def call(
        self, method: str, host: ZonedHost, path: str, body: object = None
    ) -> tuple[int, bytes]:
        """Sends a caller's request on a kept connection; 0 means no reply."""
        return await self._request(
            method, host, f"http://{host.front}{path}", body
        )

    async def is_owner(self, host: ZonedHost) -> bool:
        """Returns whether a host says that it owns the pool."""
        url = f"http://{host.metrics}/status"
        _, body = await self._request("GET", host, url, None)
        return b'"pool/pool"' in body

    async def _request(
        self, method: str, host: ZonedHost, url: str, body: object
    ) -> tuple[int, bytes]:
        session = self._sessions_by_host[host.name]
        try:
            async with session.request(
                method,
                url,
                json=body,
                headers={"Host": HOST},
                timeout=aiohttp.ClientTimeout(total=_CALL_TIMEOUT_S),
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, b""

    def running_tasks(self, job_id: str) -> list[tuple[TaskId, WorkerEntry]]:
        """Returns the tasks of a job that run, each with its worker."""
        return [
            (task, worker.entry)
            for worker in self.workers.workers_by_instance.values()
            for task in worker.runs_by_task
            if task.job_id == job_id
        ]

    async def wait_until_ready(self) -> None:
        """Waits until every host serves the queue."""
        for host in self.hosts:

            async def is_ready(host: ZonedHost = host) -> bool:
                status, _ = await self.call("GET", host, "/q/")
                return status == 200

            await wait_until(is_ready, f"{host.name} serves", _READY_LIMIT_S)

    def _duration_s(self, task: TaskId) -> float:
        return self.durations_s_by_job[task.job_id]

    async def run(self, stack: contextlib.AsyncExitStack) -> None:
        """Starts everything, to be stopped with the stack."""
        config = configuration(1, HOST, "/q/", max_attempts=3)
        self.store.put("op", "config", config)
        await stack.enter_async_context(
            serving(
                self.store.application(),
                f"{self.links.ip(_STORE)}:{_STORE_PORT}",
                _SHUTDOWN_S,
            )
        )
        for worker in self.workers_by_node.values():
            await stack.enter_async_context(
                serving(worker.application(), worker.entry.address, _SHUTDOWN_S)
            )
            report = asyncio.ensure_future(worker.report_forever())
            stack.callback(report.cancel)
        for host in self.hosts:
            await self._connect(host)
            session = aiohttp.ClientSession()
            self._sessions_by_host[host.name] = session
            stack.push_async_callback(session.close)
            await host.start()
            stack.push_async_callback(host.terminate, signal.SIGKILL)

    async def _connect(self, host: ZonedHost) -> None:
        await self.links.connect(host.node, _STORE, _STORE_PORT)
        for node in self.workers_by_node:
            await self.links.connect(host.node, node, _WORKER_PORT)
        for peer in self.hosts:
            if peer is not host:
                await self.links.connect(host.node, peer.node, _PEER_PORT)


def _repeat(zones: tuple[str, ...], times: int) -> list[str]:
    return [zone for zone in zones for _ in range(times)]


@contextlib.asynccontextmanager
async def running_zones(
    folder: pathlib.Path,
    zones: tuple[str, ...] = ZONES,
    hosts_per_zone: int = NODES_PER_ZONE,
) -> AsyncIterator[ZonedDeployment]:
    """Runs a deployment whose hosts are all ready while the context is open.

    Args:
        folder: Receives the settings and logs of the hosts.
        zones: The zones, each with two workers.
        hosts_per_zone: Number of hosts in each zone.
    """
    async with contextlib.AsyncExitStack() as stack:
        links = await stack.enter_async_context(opening_links(_FIRST_NETWORK))
        deployment = ZonedDeployment(links, folder, zones, hosts_per_zone)
        await deployment.run(stack)
        await deployment.wait_until_ready()
        yield deployment
