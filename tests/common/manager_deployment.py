"""A store, workers and real managers, with a caller."""

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
from coltsfootseam.timers import LoopTimers
from tests.common.manager_processes import ManagerProcess
from tests.common.platform_servers import (
    StoreServer,
    WorkerServer,
    configuration,
    report_of,
    worker_entry,
)
from tests.common.ports import reserved_port_pair, reserved_ports

LIMIT_S = 60.0
SHUTDOWN_S = 0.1
JOB = "5c0e7a21d94b36f8"
HOST = "queue.example"


def put_odd_entries(deployment: "Deployment", values: list[bytes]) -> None:
    """Writes odd entries among those of the workers."""
    for number, value in enumerate(values):
        deployment.store.store.put(Partition("servers"), f"odd-{number}", value)


class Deployment:
    """A store, workers, managers and a caller."""

    def __init__(self) -> None:
        self.store = StoreServer()
        self.workers = MemoryWorkers(LoopTimers(), self._duration)
        self.managers: list[ManagerProcess] = []
        self.session: aiohttp.ClientSession | None = None
        self.duration_s = 0.3

    def _duration(self, task: TaskId) -> float:
        del task
        return self.duration_s

    async def call(
        self, method: str, manager: ManagerProcess, path: str, body: object
    ) -> tuple[int, bytes]:
        """Sends a caller's request to a manager; status 0 means no reply."""
        assert self.session is not None
        try:
            async with self.session.request(
                method,
                f"http://{manager.front}{path}",
                json=body,
                headers={"Host": HOST},
                timeout=aiohttp.ClientTimeout(total=3),
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, b""

    async def submit(self, manager: ManagerProcess, job_id: str) -> None:
        """Submits a job until it is accepted."""
        body = {"spec": "x", "steps": [{"count": 2, "cpu": 500}]}
        async with asyncio.timeout(LIMIT_S):
            while True:
                status, _ = await self.call(
                    "POST", manager, f"/q/{job_id}", body
                )
                if status == 200:
                    return
                await asyncio.sleep(0.05)

    async def wait_for(self, manager: ManagerProcess, job_id: str) -> None:
        """Waits until a manager shows a job as completed."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                _, body = await self.call("GET", manager, f"/q/{job_id}", None)
                if b"completed" in body:
                    return
                await asyncio.sleep(0.05)

    def starts(self, job_id: str) -> int:
        """Returns how many starts of a job's tasks were carried out."""
        return sum(
            1 for order in self.workers.starts if order.task.job_id == job_id
        )


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path,
    managers: int,
    odd_entries: list[bytes] | None = None,
    limits: dict[str, int] | None = None,
) -> AsyncIterator[Deployment]:
    """Runs a deployment while the context is open.

    Args:
        folder: Folder of the managers' files.
        managers: Number of managers.
        odd_entries: Entries among those of the workers that can't be used.
        limits: Limits of a manager in its settings.
    """
    deployment = Deployment()
    async with contextlib.AsyncExitStack() as stack:
        store_port, *worker_ports = stack.enter_context(reserved_ports(3))
        store_address = f"127.0.0.1:{store_port}"
        await stack.enter_async_context(
            serving(deployment.store.application(), store_address, SHUTDOWN_S)
        )
        for number, port in enumerate(worker_ports):
            await _add_worker(deployment, stack, number, port)
        put_odd_entries(deployment, odd_entries or [])
        configure(deployment, 1, "/q/")
        deployment.session = await stack.enter_async_context(
            aiohttp.ClientSession()
        )
        for number in range(managers):
            manager = ManagerProcess(
                number,
                store_address,
                folder,
                stack.enter_context(reserved_ports(2)),
                stack.enter_context(reserved_port_pair()),
                limits=limits,
            )
            deployment.managers.append(manager)
            await manager.start()
            stack.push_async_callback(manager.terminate, signal.SIGKILL)
        yield deployment
        assert deployment.workers.violations == []


def configure(deployment: Deployment, version: int, prefix: str) -> None:
    """Puts a configuration with one queue in force."""
    config = configuration(version, HOST, prefix, max_attempts=2)
    deployment.store.put("op", "config", config)


async def _add_worker(
    deployment: Deployment,
    stack: contextlib.AsyncExitStack,
    number: int,
    port: int,
) -> None:
    entry = worker_entry(f"i-{number}", f"127.0.0.1:{port}", "a")
    worker = WorkerServer(deployment.workers, entry)
    await stack.enter_async_context(
        serving(worker.application(), entry.address, SHUTDOWN_S)
    )
    deployment.store.put("servers", entry.instance_id, report_of(entry))
