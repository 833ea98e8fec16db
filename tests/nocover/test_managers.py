"""Managers as real processes, with a simulated platform over HTTP."""

import asyncio
import contextlib
import pathlib
import signal
from collections.abc import AsyncIterator

import aiohttp
import pytest

from coltsfootseam.jobs import TaskId
from coltsfootseam.standins.memory_workers import MemoryWorkers
from coltsfootseam.standins.serving import serving
from coltsfootseam.store import Partition
from coltsfootseam.testbed.waiting import wait_until
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
from tests.cover.test_odd_entries import ODD_WORKERS

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
    folder: pathlib.Path, managers: int, odd_entries: list[bytes] | None = None
) -> AsyncIterator[Deployment]:
    """Runs a deployment while the context is open."""
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
        _configure(deployment, 1, "/q/")
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
            )
            deployment.managers.append(manager)
            await manager.start()
            stack.push_async_callback(manager.terminate, signal.SIGKILL)
        yield deployment
        assert deployment.workers.violations == []


def _configure(deployment: Deployment, version: int, prefix: str) -> None:
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


async def test_jobs_go_through_real_processes(tmp_path: pathlib.Path) -> None:
    async with running(tmp_path, managers=2) as deployment:
        first, second = deployment.managers
        await deployment.submit(first, JOB)
        await deployment.submit(second, JOB)
        await deployment.wait_for(second, JOB)
        assert deployment.starts(JOB) == 2
        status, _ = await deployment.call("GET", first, "/q/" + "0" * 16, None)
        assert status == 410
        status, _ = await deployment.call("GET", first, "/other/", None)
        assert status == 404


async def test_a_killed_manager_loses_no_job(tmp_path: pathlib.Path) -> None:
    async with running(tmp_path, managers=3) as deployment:
        deployment.duration_s = 1.5
        *_, last = deployment.managers
        jobs = [f"{number:016x}" for number in range(4)]
        for job_id in jobs:
            await deployment.submit(last, job_id)
        for manager in deployment.managers[:2]:
            await manager.terminate(signal.SIGKILL)
        for job_id in jobs:
            await deployment.wait_for(last, job_id)


async def test_a_planned_stop_ends_cleanly_and_hands_over(
    tmp_path: pathlib.Path,
) -> None:
    async with running(tmp_path, managers=2) as deployment:
        first, second = deployment.managers
        await deployment.submit(first, JOB)
        assert await first.terminate(signal.SIGTERM) == 0
        await deployment.wait_for(second, JOB)
        await deployment.submit(second, "a" * 16)
        await deployment.wait_for(second, "a" * 16)


async def test_a_changed_configuration_comes_into_force(
    tmp_path: pathlib.Path,
) -> None:
    async with running(tmp_path, managers=2) as deployment:
        await deployment.submit(deployment.managers[0], JOB)
        _configure(deployment, 5, "/new/")
        async with asyncio.timeout(LIMIT_S):
            for manager in deployment.managers:
                while True:
                    status, _ = await deployment.call(
                        "GET", manager, "/new/", None
                    )
                    if status == 200:
                        break
                    await asyncio.sleep(0.05)
                status, _ = await deployment.call("GET", manager, "/q/", None)
                assert status == 404


async def test_the_status_pages_show_owners_and_jobs(
    tmp_path: pathlib.Path,
) -> None:
    async with running(tmp_path, managers=1) as deployment:
        (manager,) = deployment.managers
        deployment.duration_s = 30.0
        await deployment.submit(manager, JOB)
        assert deployment.session is not None

        async def has_started() -> bool:
            return deployment.starts(JOB) == 2

        await wait_until(has_started, "both tasks start", LIMIT_S)
        base = f"http://{manager.metrics}"
        async with deployment.session.get(f"{base}/status") as response:
            status = await response.json()
        assert status["duties"] == ["fleet", "pool/pool"]
        async with deployment.session.get(f"{base}/jobs/{JOB}") as response:
            job = await response.json()
        assert {task["waits_for"] for task in job["open_tasks"]} <= {
            "its run, which is ordered",
            "its run, which is running",
        }
        async with deployment.session.get(f"{base}/metrics") as response:
            text = await response.text()
        assert "submit_ok 1" in text
        assert "request_post_ms_count" in text


# Guards against processes that end, or stop following the list of workers, for
# an odd entry of another writer: at their start, and later.
@pytest.mark.parametrize("is_at_start", [True, False])
async def test_odd_entries_among_the_workers_stop_nobody(
    tmp_path: pathlib.Path, is_at_start: bool
) -> None:
    odd = ODD_WORKERS if is_at_start else []
    async with running(tmp_path, managers=2, odd_entries=odd) as deployment:
        first, second = deployment.managers
        await deployment.submit(first, JOB)
        await deployment.wait_for(second, JOB)
        put_odd_entries(deployment, ODD_WORKERS)
        for manager in deployment.managers:
            await wait_for_unreadable(
                deployment, manager, len(odd) + len(ODD_WORKERS)
            )
        await deployment.submit(second, "a" * 16)
        await deployment.wait_for(first, "a" * 16)


async def wait_for_unreadable(
    deployment: Deployment, manager: ManagerProcess, count: int
) -> None:
    """Waits until a manager has passed over a number of odd entries."""

    async def has_read_them() -> bool:
        assert manager.process is not None
        assert manager.process.returncode is None
        assert deployment.session is not None
        url = f"http://{manager.metrics}/metrics"
        async with deployment.session.get(url) as response:
            lines = (await response.text()).splitlines()
        assert not [line for line in lines if line.startswith("task_failed")]
        return f"worker_unreadable {count}" in lines

    await wait_until(has_read_them, "all odd entries are read", LIMIT_S)
