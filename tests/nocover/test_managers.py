"""Managers as real processes, with a simulated platform over HTTP."""

import asyncio
import pathlib
import signal

import pytest

from coltsfootseam.testbed.waiting import wait_until
from tests.common.manager_deployment import (
    JOB,
    LIMIT_S,
    Deployment,
    configure,
    put_odd_entries,
    running,
)
from tests.common.manager_processes import ManagerProcess
from tests.cover.test_odd_entries import ODD_WORKERS


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
        configure(deployment, 5, "/new/")
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
        # The next ones replace these, and a manager that is still reading would
        # not see all of these.
        if odd:
            for manager in deployment.managers:
                await wait_for_unreadable(deployment, manager, len(odd))
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
