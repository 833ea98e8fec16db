"""Workers that crash for a cause of their own, under tasks that are sound."""

import random

import pytest

from coltsfootseam.jobs import JobState, Step, TaskId
from tests.common.fleets import Fleet, running_fleet

JOB = "a" * 16
LASTING_S = 1e9
LASTING = Step(
    count=4,
    cpu_millis=500,
    long_running=True,
    may_miss=1,
    per_worker_limit=1,
)
SHORT = Step(count=4, cpu_millis=500, estimate_ms=500)
CUT_S = 1.5


def duration_of(task: TaskId) -> float:
    """Returns how long a task of the tests runs."""
    return LASTING_S if task.job_id == JOB else 0.5


def crash(fleet: Fleet, instance_id: str) -> None:
    """Crashes a worker; the platform lists it as down until it is back."""
    fleet.workers.kill(instance_id)
    fleet.workers.on_crash(instance_id)


async def crash_behind_a_cut(fleet: Fleet, instance_id: str) -> None:
    """Cuts a worker off and crashes it before the cut is over."""
    worker = fleet.workers.workers_by_instance[instance_id]
    worker.faults.is_unresponsive = True
    await fleet.timers.advance(CUT_S)
    crash(fleet, instance_id)


def instance_with(fleet: Fleet, task: TaskId) -> str | None:
    """Returns the instance id of the worker that runs a task, if any."""
    for instance_id, worker in fleet.workers.workers_by_instance.items():
        if task in worker.runs_by_task:
            return instance_id
    return None


def alive_instances(fleet: Fleet) -> list[str]:
    """Returns the instance ids of the workers that are up."""
    return [
        instance_id
        for instance_id, worker in fleet.workers.workers_by_instance.items()
        if not worker.is_dead
    ]


# Guards against a lasting job that is given up, and its tasks at work stopped,
# since one of them was on several workers that crashed for another cause.
@pytest.mark.parametrize(
    "ages_s",
    [
        (12.8, 3.3, 5.0, 6.2, 4.0, 9.0),
        (6.0,) * 8,
        (2.5, 9.0, 2.5, 12.0, 2.5, 2.5),
    ],
)
async def test_a_lasting_task_is_not_blamed_for_crashes_behind_cuts(
    ages_s: tuple[float, ...],
) -> None:
    async with running_fleet(workers=6, duration_of=duration_of) as fleet:
        await fleet.accept(fleet.hosts[0], JOB, LASTING)
        task = TaskId(JOB, 0, 0, 2)
        for age_s in ages_s:
            await fleet.wait_until(lambda: bool(instance_with(fleet, task)))
            await fleet.timers.advance(age_s - CUT_S)
            instance_id = instance_with(fleet, task)
            assert instance_id is not None
            await crash_behind_a_cut(fleet, instance_id)
        await fleet.wait_until(lambda: bool(instance_with(fleet, task)))
        assert await fleet.state(fleet.hosts[0], JOB) is JobState.RUNNING
        assert fleet.owner().count("crash.given_up") == 0


# Guards against jobs that are given up on days on which workers crash often,
# though no task crashes its worker.
@pytest.mark.parametrize("seed", range(4))
async def test_no_job_is_given_up_when_workers_crash_by_themselves(
    seed: int,
) -> None:
    rng = random.Random(seed)
    async with running_fleet(workers=8, duration_of=duration_of) as fleet:
        await fleet.accept(fleet.hosts[0], JOB, LASTING)
        job_ids = []
        for number in range(200):
            job_id = f"{number:016x}"
            job_ids.append(job_id)
            await fleet.accept(fleet.hosts[0], job_id, SHORT)
            await fleet.timers.advance(0.2)
            if number % 8 == 0:
                crash(fleet, rng.choice(alive_instances(fleet)))
        for job_id in job_ids:
            await fleet.wait_for_state(job_id, JobState.COMPLETED)
        assert await fleet.state(fleet.hosts[0], JOB) is JobState.RUNNING
        assert fleet.owner().count("crash.given_up") == 0
