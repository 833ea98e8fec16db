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
from coltsfootseam.store import Partition
from coltsfootseam.testbed.links import Links, opening_links
from coltsfootseam.testbed.waiting import wait_until
from coltsfootseam.timers import LoopTimers
from coltsfootseam.workers import WorkerEntry
from tests.common.linked_manager import NODE_VARIABLE
from tests.common.manager_processes import ManagerProcess
from tests.common.platform_servers import (
    StoreServer,
    WorkerServer,
    configuration,
    report_of,
    worker_entry,
)

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
_REPORT_S = 1.0
_EXPIRY_S = 3 * _REPORT_S
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
        store: The store.
        workers: The workers, which record violations.
        hosts: The hosts.
        entries_by_node: Entries of the workers.
        durations_s_by_job: Durations of the tasks of each job.
    """

    def __init__(self, links: Links, folder: pathlib.Path) -> None:
        self.links = links
        self.store = StoreServer()
        self.workers = MemoryWorkers(LoopTimers(), self._duration_s)
        self.durations_s_by_job: dict[str, float] = {}
        zones = [zone for zone in ZONES for _ in range(NODES_PER_ZONE)]
        self.hosts = [
            ZonedHost(node, zone, links, folder)
            for node, zone in enumerate(zones, 1)
        ]
        self.entries_by_node = {
            node: worker_entry(
                f"i-{node}", f"{links.ip(node)}:{_WORKER_PORT}", zone
            )
            for node, zone in enumerate(zones, _FIRST_WORKER)
        }
        self._sessions_by_host: dict[str, aiohttp.ClientSession] = {}

    def nodes(self, zone: str) -> set[int]:
        """Returns the hosts and workers of a zone."""
        hosts = {host.node for host in self.hosts if host.zone == zone}
        entries = self.entries_by_node.items()
        return hosts | {node for node, entry in entries if entry.zone == zone}

    def other_nodes(self, zone: str) -> set[int]:
        """Returns the store, and the hosts and workers of other zones."""
        others = [self.nodes(other) for other in ZONES if other != zone]
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
        for node, entry in self.entries_by_node.items():
            server = WorkerServer(self.workers, entry)
            await stack.enter_async_context(
                serving(server.application(), entry.address, _SHUTDOWN_S)
            )
            report = asyncio.ensure_future(self._report(node, entry))
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
        for node in self.entries_by_node:
            await self.links.connect(host.node, node, _WORKER_PORT)
        for peer in self.hosts:
            if peer is not host:
                await self.links.connect(host.node, peer.node, _PEER_PORT)

    async def _report(self, node: int, entry: WorkerEntry) -> None:
        """Keeps a worker's entry in the store while the worker reaches it.

        The store drops the entry of a silent worker, but not while it is down.
        """
        silence_s = _EXPIRY_S
        is_listed = False
        while True:
            if not self.store.is_down:
                is_silent = not self.links.is_open(node, _STORE)
                silence_s = silence_s + _REPORT_S if is_silent else 0.0
                if is_listed and silence_s >= _EXPIRY_S:
                    partition = Partition("servers")
                    self.store.store.put(partition, entry.instance_id, b"")
                    is_listed = False
                elif not is_listed and not is_silent:
                    report = report_of(entry)
                    self.store.put("servers", entry.instance_id, report)
                    is_listed = True
            await asyncio.sleep(_REPORT_S)


@contextlib.asynccontextmanager
async def running_zones(
    folder: pathlib.Path,
) -> AsyncIterator[ZonedDeployment]:
    """Runs a deployment whose hosts are all ready while the context is open.

    Args:
        folder: Receives the settings and logs of the hosts.
    """
    async with contextlib.AsyncExitStack() as stack:
        links = await stack.enter_async_context(opening_links(_FIRST_NETWORK))
        deployment = ZonedDeployment(links, folder)
        await deployment.run(stack)
        await deployment.wait_until_ready()
        yield deployment
