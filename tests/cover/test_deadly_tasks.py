"""Tasks that crash each worker that starts them, beside ordinary ones."""

import contextlib
from collections.abc import AsyncIterator

import pytest

from coltsfootseam.jobs import Advice, JobState, Step, TaskId
from coltsfootseam.manager.status import JobStatus, StatusPage
from tests.common.fleets import Fleet, bookings_queue, running_fleet

DEADLY_JOB = "d" * 16
MAX_CRASHES = 3
MAX_STARTS_AFTER_BUDGET = 2
"""One more start than these after the third crash breaks the budget."""
TASK = Step(count=4, cpu_millis=500, estimate_ms=500)


def deadly_task(index: int = 0, job_id: str = DEADLY_JOB) -> TaskId:
    """Returns a task of a job's first step."""
    return TaskId(job_id, 0, 0, index)


def crashes(fleet: Fleet, task: TaskId) -> int:
    """Returns how many workers have crashed under a task."""
    return len(fleet.workers.crashes_by_task.get(task, []))


@contextlib.asynccontextmanager
async def deadly_fleet(
    *tasks: TaskId, hosts: int = 2, workers: int = 6
) -> AsyncIterator[Fleet]:
    """Yields a fleet on which some tasks crash their workers."""
    async with running_fleet(hosts=hosts, workers=workers) as fleet:
        fleet.workers.deadly_tasks = set(tasks)
        # A worker that has just appeared may be missing in the platform's
        # list of machines, so a crash within this time shows later.
        await fleet.timers.advance(1.5)
        yield fleet


async def submit_others(fleet: Fleet, count: int = 6) -> list[str]:
    """Submits ordinary jobs at short intervals and returns their ids."""
    job_ids = [f"{number:016x}" for number in range(count)]
    for job_id in job_ids:
        await fleet.accept(fleet.hosts[-1], job_id, TASK)
        await fleet.timers.advance(0.1)
    return job_ids


# Guards against a task that crashes worker after worker without end, as its
# runs that end with their worker count for nothing.
async def test_a_task_that_crashes_its_workers_is_given_up() -> None:
    async with deadly_fleet(deadly_task()) as fleet:
        await fleet.accept(fleet.hosts[0], DEADLY_JOB, TASK)
        others = await submit_others(fleet)
        await fleet.wait_for_state(DEADLY_JOB, JobState.FAILED)
        for job_id in others:
            await fleet.wait_for_state(job_id, JobState.COMPLETED)
        await fleet.timers.advance(5.0)
        assert 2 <= crashes(fleet, deadly_task()) <= MAX_CRASHES


async def test_operators_see_which_workers_a_task_crashed() -> None:
    async with deadly_fleet(deadly_task(), hosts=2) as fleet:
        await fleet.accept(fleet.hosts[0], DEADLY_JOB, TASK)
        await fleet.wait_until(lambda: crashes(fleet, deadly_task()) == 1)
        await fleet.wait_until(
            lambda: bool(fleet.owner().lines("crash.suspected"))
        )
        suspect = shown_job(fleet).open_tasks[0]
        assert (
            suspect.crashed_workers
            == fleet.workers.crashes_by_task[deadly_task()]
        )
        await fleet.wait_for_state(DEADLY_JOB, JobState.FAILED)
        crashed = fleet.workers.crashes_by_task[deadly_task()]
        reason = shown_job(fleet).failure_reason
        assert reason.startswith("44 JOB_CRASHES_WORKERS")
        assert all(worker_id in reason for worker_id in crashed)
        assert fleet.owner().count("crash.given_up") == 1
        await fleet.owner().kill()
        await fleet.wait_until(lambda: any(host.owns() for host in fleet.hosts))
        assert shown_job(fleet).failure_reason == reason


def shown_job(fleet: Fleet) -> JobStatus:
    """Returns the deadly job's status page of the pool's owner."""
    manager = fleet.owner().manager
    assert manager is not None
    page = StatusPage(manager.context, manager.cluster, manager.duties)
    status = page.job(DEADLY_JOB)
    assert isinstance(status, JobStatus)
    return status


# Guards against the count of crashes starting anew with each owner.
async def test_crashes_count_over_a_takeover() -> None:
    async with deadly_fleet(deadly_task(), hosts=3) as fleet:
        await fleet.accept(fleet.hosts[0], DEADLY_JOB, TASK)
        await fleet.wait_until(lambda: crashes(fleet, deadly_task()) == 1)
        await fleet.timers.advance(1.0)
        await fleet.owner().kill()
        await fleet.wait_for_state(DEADLY_JOB, JobState.FAILED)
        await fleet.timers.advance(5.0)
        assert crashes(fleet, deadly_task()) <= MAX_CRASHES


# Guards against tasks that crash together and so are never told apart.
async def test_several_deadly_tasks_are_all_given_up() -> None:
    jobs = [f"d{number:015x}" for number in range(3)]
    tasks = [deadly_task(1, job_id) for job_id in jobs]
    async with deadly_fleet(*tasks, workers=8) as fleet:
        for job_id in jobs:
            await fleet.accept(fleet.hosts[0], job_id, TASK)
        others = await submit_others(fleet)
        for job_id in jobs:
            await fleet.wait_for_state(job_id, JobState.FAILED)
        for job_id in others:
            await fleet.wait_for_state(job_id, JobState.COMPLETED)
        for task in tasks:
            assert crashes(fleet, task) <= MAX_CRASHES


# Guards against a task that works for a while before it crashes its worker,
# when later tasks have started beside it.
async def test_a_task_that_crashes_late_stays_within_its_budget() -> None:
    async with deadly_fleet(deadly_task(), workers=8) as fleet:
        fleet.workers.crash_delay_s = 0.4
        await fleet.accept(fleet.hosts[0], DEADLY_JOB, TASK)
        others = await submit_others(fleet, 20)
        await fleet.wait_for_state(DEADLY_JOB, JobState.FAILED)
        for job_id in others:
            await fleet.wait_for_state(job_id, JobState.COMPLETED)
        assert (
            crashes(fleet, deadly_task())
            <= MAX_CRASHES + MAX_STARTS_AFTER_BUDGET
        )


# Guards against suspects that wait forever for a ticket: only one worker may
# run them, other jobs keep it busy, and tickets expire.
async def test_suspects_get_tickets_of_the_policy_service() -> None:
    async with deadly_fleet(deadly_task()) as fleet:
        fleet.advice.allowed_ids = {"i-2"}
        fleet.configure(2, bookings_queue(Advice(10, 5, 3000)))
        await fleet.timers.advance(1.0)
        await fleet.accept(fleet.hosts[0], DEADLY_JOB, TASK)
        others = await submit_others(fleet, 12)
        await fleet.wait_for_state(DEADLY_JOB, JobState.FAILED)
        for job_id in others:
            await fleet.wait_for_state(job_id, JobState.COMPLETED, 120.0)
        assert crashes(fleet, deadly_task()) <= MAX_CRASHES


# Guards against a gang of suspects that needs several empty workers at once,
# in a pool that never has one.
async def test_a_gang_of_suspects_finds_room_in_a_busy_pool() -> None:
    async with deadly_fleet(deadly_task(), workers=8) as fleet:
        fleet.workers.gang_jobs = {DEADLY_JOB}
        gang = Step(count=3, cpu_millis=3000, estimate_ms=500, gang=True)
        await fleet.accept(fleet.hosts[0], DEADLY_JOB, gang)
        load = Step(count=7, cpu_millis=1000, estimate_ms=500)
        for number in range(80):
            job_id = f"{number:016x}"
            await fleet.accept(fleet.hosts[-1], job_id, load)
            await fleet.timers.advance(0.12)
        state = await fleet.state(fleet.hosts[0], DEADLY_JOB)
        assert state is JobState.FAILED
        assert crashes(fleet, deadly_task()) <= MAX_CRASHES


# Guards against crashes that nobody notices while the platform's list of
# machines is away: each worker comes back under another id.
async def test_crashes_are_seen_without_the_list_of_machines() -> None:
    async with deadly_fleet(deadly_task()) as fleet:
        fleet.machines.is_down = True
        fleet.renames_restarted_workers = True
        await fleet.accept(fleet.hosts[0], DEADLY_JOB, TASK)
        await fleet.wait_for_state(DEADLY_JOB, JobState.FAILED)
        assert crashes(fleet, deadly_task()) <= MAX_CRASHES


# Guards against giving up a task whose workers were only cut off for a while.
async def test_workers_that_are_cut_off_are_no_evidence() -> None:
    async with running_fleet(workers=4, duration_of=lambda task: 2.0) as fleet:
        step = Step(cpu_millis=500, estimate_ms=2000)
        await fleet.accept(fleet.hosts[0], DEADLY_JOB, step)
        for number in range(1, 4):
            await silence_worker_of_start(fleet, number)
        await fleet.wait_for_state(DEADLY_JOB, JobState.COMPLETED)
        assert not fleet.owner().lines("crash.observed")


async def silence_worker_of_start(fleet: Fleet, number: int) -> None:
    """Cuts off the worker that starts the job for the given time."""
    await fleet.wait_until(lambda: fleet.started(DEADLY_JOB) == number)
    for worker in fleet.workers.workers_by_instance.values():
        if worker.runs_by_task:
            worker.faults.is_unresponsive = True


@pytest.mark.parametrize(
    ("step", "run_s"),
    [
        (Step(count=3, cpu_millis=500, estimate_ms=500, gang=True), 0.5),
        (Step(count=3, cpu_millis=500, long_running=True), 1e9),
        (Step(count=3, cpu_millis=500, estimate_ms=500, duplicable=True), 0.5),
    ],
    ids=["gang", "long-running", "duplicable"],
)
async def test_each_kind_of_step_stays_within_the_budget(
    step: Step, run_s: float
) -> None:
    async with running_fleet(
        workers=6, duration_of=lambda task: run_s
    ) as fleet:
        fleet.workers.deadly_tasks = {deadly_task()}
        if step.gang:
            fleet.workers.gang_jobs = {DEADLY_JOB}
        await fleet.timers.advance(1.5)
        await fleet.accept(fleet.hosts[0], DEADLY_JOB, step)
        await fleet.wait_for_state(DEADLY_JOB, JobState.FAILED)
        await fleet.timers.advance(5.0)
        assert crashes(fleet, deadly_task()) <= MAX_CRASHES
        assert not any(
            worker.runs_by_task
            for worker in fleet.workers.workers_by_instance.values()
        )


# Guards against a job that is given up though its worker crashed before the
# start of its task got there.
async def test_an_order_to_a_worker_that_is_gone_proves_nothing() -> None:
    async with running_fleet(workers=2) as fleet:
        await fleet.timers.advance(1.5)
        for _ in range(3):
            for worker in fleet.workers.workers_by_instance.values():
                worker.faults.late_start_share = 1.0
            if not fleet.workers.max_starts_in_flight:
                await fleet.accept(fleet.hosts[0], DEADLY_JOB, TASK)
            await fleet.wait_until(lambda: fleet.workers.starts_in_flight > 0)
            await fleet.timers.advance(0.1)
            for instance_id in ("i-1", "i-2"):
                fleet.workers.kill(instance_id)
                fleet.workers.on_crash(instance_id)
            await fleet.wait_until(lambda: _are_all_alive(fleet))
        await fleet.wait_for_state(DEADLY_JOB, JobState.COMPLETED)


def _are_all_alive(fleet: Fleet) -> bool:
    workers = fleet.workers.workers_by_instance.values()
    return not any(worker.is_dead for worker in workers)
