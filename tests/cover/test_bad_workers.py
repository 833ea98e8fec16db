"""Workers that crash, stop responding, fail every task or act late."""

import pytest

from coltsfootseam.jobs import JobState, Step, TaskId
from tests.common.fleets import WORKERS, running_fleet

SMALL = Step(cpu_millis=1000, estimate_ms=500)
JOB = "a" * 16


async def test_an_unresponsive_worker_keeps_tasks_until_its_lease_ends() -> (
    None
):
    async with running_fleet(duration_of=lambda task: 3.0) as fleet:
        await fleet.accept(fleet.hosts[0], JOB, SMALL)
        await fleet.wait_until(lambda: fleet.started(JOB) == 1)
        worker = next(
            worker
            for worker in fleet.workers.workers_by_instance.values()
            if worker.runs_by_task
        )
        worker.faults.is_unresponsive = True
        await fleet.timers.advance(2.0)
        assert fleet.started(JOB) == 1
        await fleet.wait_for_state(JOB, JobState.COMPLETED)
        assert fleet.started(JOB) == 2


async def test_a_restarted_worker_runs_nothing_of_its_last_incarnation() -> (
    None
):
    async with running_fleet(workers=1, duration_of=lambda task: 2.0) as fleet:
        await fleet.accept(fleet.hosts[0], JOB, SMALL)
        await fleet.wait_until(lambda: fleet.started(JOB) == 1)
        fleet.workers.kill("i-1")
        fleet.add_worker(1, started_ms=2)
        await fleet.wait_for_state(JOB, JobState.COMPLETED)
        assert fleet.started(JOB) == 2


async def test_a_worker_that_fails_all_does_not_fail_the_job() -> None:
    async with running_fleet(workers=4) as fleet:
        bad = fleet.workers.workers_by_instance["i-1"]
        bad.faults.fails_all = True
        jobs = [f"{number:016x}" for number in range(6)]
        for job_id in jobs:
            step = Step(count=4, cpu_millis=1000, estimate_ms=500)
            await fleet.accept(fleet.hosts[0], job_id, step)
        for job_id in jobs:
            await fleet.wait_for_state(job_id, JobState.COMPLETED)


async def test_a_start_that_arrives_late_never_makes_a_second_run() -> None:
    def duration_of(task: TaskId) -> float:
        return 4.0

    async with running_fleet(workers=2, duration_of=duration_of) as fleet:
        for worker in fleet.workers.workers_by_instance.values():
            worker.faults.late_start_share = 0.6
        jobs = [f"{number:016x}" for number in range(6)]
        for job_id in jobs:
            await fleet.accept(fleet.hosts[0], job_id, SMALL)
        for job_id in jobs:
            await fleet.wait_for_state(job_id, JobState.COMPLETED, 90.0)


async def test_a_worker_cut_from_the_new_owner_runs_no_task_twice() -> None:
    async with running_fleet(hosts=2, duration_of=lambda task: 30.0) as fleet:
        await fleet.accept(fleet.hosts[0], JOB, SMALL)
        await fleet.wait_until(lambda: fleet.started(JOB) == 1)
        owner = fleet.owner()
        successor = fleet.non_owner()
        worker = next(
            worker
            for worker in fleet.workers.workers_by_instance.values()
            if worker.runs_by_task
        )
        worker.faults.unreachable_from_hosts = {successor.host_id}
        owner.store.faults.is_unresponsive = True
        fleet.peers.cut_addresses = {owner.address, successor.address}
        await fleet.wait_until(lambda: fleet.started(JOB) == 2, 60.0)


# Guards against a successor that waits longer than it has to. It needn't wait
# for a next life of the worker if that worker was known to run the task, or if
# the platform lists its machine as down.
@pytest.mark.parametrize("ran_s, is_listed", [(0.0, True), (4.0, False)])
async def test_a_dead_worker_under_a_new_owner_frees_its_tasks_in_time(
    ran_s: float, is_listed: bool
) -> None:
    async with running_fleet(hosts=3, duration_of=lambda task: 30.0) as fleet:
        await fleet.accept(fleet.hosts[0], JOB, SMALL)
        await fleet.wait_until(lambda: fleet.started(JOB) == 1)
        await fleet.timers.advance(ran_s)
        instance_id = next(
            instance_id
            for instance_id, worker in (
                fleet.workers.workers_by_instance.items()
            )
            if worker.runs_by_task
        )
        if is_listed:
            fleet.lose_worker(instance_id)
        else:
            fleet.workers.kill(instance_id)
        fleet.store.put(WORKERS, instance_id, b"")
        await fleet.owner().kill()
        await fleet.wait_until(lambda: fleet.started(JOB) == 2, 10.0)
