"""Workers that start again under their id while calls are under way to them.

Neither a call nor the reply to an order names the life of the worker that it
was meant for, so the next life may carry out what the former one was told.
"""

import asyncio

import pytest

from coltsfootseam.jobs import JobState, Step
from coltsfootseam.standins.memory_worker import MemoryWorker
from coltsfootseam.store import TOKENS_PER_EPOCH
from tests.common.fleets import Fleet, running_fleet

JOB = "a" * 16
LATER_JOB = "b" * 16
TASK_S = 3.0
LONG_TASK_S = 20.0
DOWN_S = 0.02
CUT_S = 9.0
LONG_CUT_S = 20.0
VICTIMS = ("i-1", "i-2", "i-3")
WIDE = Step(count=8, cpu_millis=1000, estimate_ms=3000)
SPREAD = Step(count=4, cpu_millis=1000, estimate_ms=20_000, per_worker_limit=1)


def restart_in_the_dark(
    fleet: Fleet, instance_id: str, unlisted_s: float = 0.0
) -> None:
    """Has a worker's machine lose power; the worker is back under its id.

    Args:
        fleet: The deployment.
        instance_id: The worker.
        unlisted_s: Time from its return until its entry shows that.
    """
    worker = fleet.workers.workers_by_instance[instance_id]
    worker.faults.resets_connections = False
    fleet.workers.kill(instance_id)

    def restart() -> None:
        fleet.restart_worker(instance_id, fleet.wall_ms())
        if unlisted_s:
            current = fleet.workers.workers_by_instance[instance_id].entry
            fleet.put_entry(worker.entry)
            fleet.timers.schedule(unlisted_s, lambda: fleet.put_entry(current))

    fleet.timers.schedule(DOWN_S, restart)


async def start_on_next_lives(
    fleet: Fleet, phase_s: float, unlisted_s: float, step: Step = WIDE
) -> list[MemoryWorker]:
    """Has starts reach workers whose owner doesn't know that they restarted.

    Args:
        fleet: The deployment, with four workers.
        phase_s: When the workers restart, after the fleet has come up.
        unlisted_s: See ``restart_in_the_dark``.
        step: The only step of the job that is started.

    Returns:
        The workers that carried out a start.
    """
    await fleet.timers.advance(phase_s)
    for instance_id in VICTIMS:
        restart_in_the_dark(fleet, instance_id, unlisted_s)
    await fleet.timers.advance(2 * DOWN_S)
    await fleet.accept(fleet.hosts[0], JOB, step)
    await fleet.wait_until(lambda: fleet.started(JOB) == step.count, 1.0)
    workers = fleet.workers.workers_by_instance
    reached = [workers[key] for key in VICTIMS if workers[key].runs_by_task]
    assert reached
    return reached


def cut_off(fleet: Fleet, workers: list[MemoryWorker], for_s: float) -> None:
    """Cuts workers off from all hosts for a while."""

    def set_unresponsive(value: bool) -> None:
        for worker in workers:
            worker.faults.is_unresponsive = value

    set_unresponsive(True)
    fleet.timers.schedule(for_s, lambda: set_unresponsive(False))


# Guards against a start that the worker's next life carries out: the owner took
# the run for ended with the former life and started the task elsewhere as well.
@pytest.mark.parametrize("unlisted_s", [0.5, 0.7, 2.0])
@pytest.mark.parametrize("phase_s", [0.1, 0.3, 0.5, 0.7])
async def test_a_start_that_reaches_the_next_life_is_not_repeated_elsewhere(
    phase_s: float, unlisted_s: float
) -> None:
    async with running_fleet(
        workers=4, duration_of=lambda task: TASK_S
    ) as fleet:
        await start_on_next_lives(fleet, phase_s, unlisted_s)
        await fleet.wait_for_state(JOB, JobState.COMPLETED)


# Guards against a lease that is longer than its owner knows: the end of a lease
# on the clock of the former life is far ahead on that of the next one.
@pytest.mark.parametrize("heard_s", [0.0, 0.3, 0.6, 1.2, 2.0])
@pytest.mark.parametrize("phase_s", [0.1, 0.5])
async def test_a_restarted_worker_that_is_cut_off_keeps_its_runs(
    phase_s: float, heard_s: float
) -> None:
    async with running_fleet(
        workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        # The clocks of the former lives are ahead by more than a lease.
        await fleet.timers.advance(20.0)
        reached = await start_on_next_lives(fleet, phase_s, unlisted_s=0.7)
        await fleet.timers.advance(heard_s)
        cut_off(fleet, reached, CUT_S)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, 120.0)


# Guards against a successor that takes the runs of a former life for ended, as
# it knows only the next one: it may have carried out the last owner's starts.
@pytest.mark.parametrize("cut_after_s", [None, 0.0, 1.0, 2.0, 3.0])
@pytest.mark.parametrize("phase_s", [0.1, 0.5])
async def test_a_new_owner_does_not_repeat_starts_of_restarted_workers(
    phase_s: float, cut_after_s: float | None
) -> None:
    async with running_fleet(
        hosts=3, workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        await fleet.timers.advance(20.0)
        reached = await start_on_next_lives(fleet, phase_s, unlisted_s=0.2)
        await fleet.owner().kill()
        if cut_after_s is not None:
            await fleet.timers.advance(cut_after_s)
            cut_off(fleet, reached, CUT_S)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, 120.0)


# Guards against work done twice: a task that the next life has finished before
# its owner knew of that life is done.
async def test_a_task_that_the_next_life_has_done_is_done() -> None:
    async with running_fleet(workers=4, duration_of=lambda task: 0.2) as fleet:
        await start_on_next_lives(fleet, phase_s=0.1, unlisted_s=2.0)
        await fleet.wait_for_state(JOB, JobState.COMPLETED)
        assert fleet.started(JOB) == WIDE.count


# Guards against tasks that wait in vain: a worker whose machine is listed as
# down after the last call to it has no next life.
async def test_starts_to_a_machine_that_is_down_are_repeated_in_time() -> None:
    async with running_fleet(
        workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        await fleet.timers.advance(5.0)
        await fleet.accept(fleet.hosts[0], JOB, WIDE)
        await fleet.wait_until(lambda: fleet.started(JOB) == WIDE.count, 1.0)
        lost = next(
            worker
            for worker in fleet.workers.workers_by_instance.values()
            if worker.runs_by_task
        )
        count = len(lost.runs_by_task)
        fleet.lose_worker(lost.entry.instance_id)
        await fleet.wait_until(
            lambda: fleet.started(JOB) == WIDE.count + count, 7.0
        )


# Guards against an owner that runs out of fencing tokens for the lives of one
# worker: it claims its pool again.
async def test_a_worker_that_restarts_again_and_again_is_used_again() -> None:
    async with running_fleet(workers=1) as fleet:
        for number in range(TOKENS_PER_EPOCH + 2):
            job = f"{number:016x}"
            fleet.workers.kill("i-1")
            fleet.restart_worker("i-1")
            await fleet.accept(fleet.hosts[0], job, Step(cpu_millis=1000))
            await fleet.wait_for_state(job, JobState.COMPLETED)


# Guards against a successor that counts too short a lease (incident 023): a run
# that the next life was ordered is under the lease of a call to the former one,
# and that life is cut off before the successor hears from it.
@pytest.mark.parametrize("is_planned", [False, True])
async def test_a_new_owner_waits_for_a_lease_of_the_life_before(
    is_planned: bool,
) -> None:
    async with running_fleet(
        hosts=3, workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        await fleet.timers.advance(20.0)
        reached = await start_on_next_lives(fleet, 0.1, 0.1, SPREAD)
        await fleet.accept(fleet.hosts[0], LATER_JOB, SPREAD)
        await fleet.wait_until(
            lambda: fleet.started(LATER_JOB) == SPREAD.count, 3.0
        )
        assert any(
            task.job_id == LATER_JOB
            for worker in reached
            for task in worker.runs_by_task
        )
        for number in range(5, 8):
            fleet.add_worker(number)
        await fleet.timers.advance(0.6)
        owner = fleet.owner()
        if is_planned:
            assert owner.manager is not None
            leaving = asyncio.ensure_future(owner.manager.leave())
            await fleet.wait_until(leaving.done)
        else:
            await owner.kill()
        cut_off(fleet, reached, LONG_CUT_S)
        await fleet.wait_for_state(LATER_JOB, JobState.COMPLETED, 120.0)
