"""Waits for calls of former owners, where the owner changes during the wait."""

import pytest

from coltsfootseam.jobs import JobState, Step
from tests.common.fleets import WORKERS, Fleet, running_fleet

JOB = "c" * 16
LONG_TASK_S = 90.0
CHANGE_PERIOD_S = 6.0


async def hand_over(fleet: Fleet) -> None:
    """Has the pool's owner leave as planned; its host starts again."""
    former = fleet.owner()
    assert former.manager is not None
    await fleet.run(former.manager.leave())
    await former.kill()
    former.start()


async def lose_worker_of_unanswered_start(fleet: Fleet) -> str:
    """Ends a worker whose reply to a start was lost; returns its id."""
    workers = fleet.workers.workers_by_instance
    for worker in workers.values():
        worker.faults.loses_start_replies = True
    await fleet.accept(fleet.hosts[0], JOB, Step(cpu_millis=1000))
    await fleet.wait_until(lambda: fleet.started(JOB) == 1)
    instance_id = next(key for key in workers if workers[key].runs_by_task)
    fleet.workers.kill(instance_id)
    fleet.store.put(WORKERS, instance_id, b"")
    for worker in workers.values():
        worker.faults.loses_start_replies = False
    return instance_id


# Guards against a wait that begins anew with each claim: a task that nobody had
# was not started for as long as owners left the pool every few seconds (LOST).
@pytest.mark.parametrize("changes", [1, 2, 4])
async def test_planned_changes_of_owner_do_not_prolong_the_wait_for_copies(
    changes: int,
) -> None:
    async with running_fleet(
        hosts=4, workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        await lose_worker_of_unanswered_start(fleet)
        lost_s = fleet.timers.now_s()
        for _ in range(changes):
            await hand_over(fleet)
            waited_s = 0.0
            while waited_s < CHANGE_PERIOD_S and fleet.started(JOB) == 1:
                await fleet.timers.advance(0.1)
                waited_s += 0.1
        await fleet.wait_until(lambda: fleet.started(JOB) == 2, 60.0)
        # The wait for copies, and for the last takeover.
        assert fleet.timers.now_s() - lost_s < 18.0


# Guards against a wait passed on as longer than it was: the copy
# that is still under way would begin the task beside its next run (TWICE).
@pytest.mark.parametrize("changes_at_s", [(1.0,), (1.0, 5.0), (0.3, 4.0, 8.0)])
@pytest.mark.parametrize("down_s", [7.5, 10.8])
async def test_a_copy_that_arrives_after_changes_of_owner_runs_beside_no_other(
    changes_at_s: tuple[float, ...], down_s: float
) -> None:
    async with running_fleet(
        hosts=4, workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        sent_s = fleet.timers.now_s()
        workers = fleet.workers.workers_by_instance
        for worker in workers.values():
            worker.faults.late_start_share = 1.0
            worker.faults.delay_s = 11.9
        await fleet.accept(fleet.hosts[0], JOB, Step(cpu_millis=1000))
        await fleet.wait_until(lambda: fleet.workers.starts_in_flight > 0)
        for worker in workers.values():
            worker.faults.late_start_share = 0.0
        await fleet.wait_until(lambda: fleet.started(JOB) == 1)
        instance_id = next(key for key in workers if workers[key].runs_by_task)
        fleet.workers.kill(instance_id)
        fleet.store.put(WORKERS, instance_id, b"")
        for change_s in changes_at_s:
            await fleet.timers.advance(
                max(0.0, sent_s + change_s - fleet.timers.now_s())
            )
            await hand_over(fleet)
        await fleet.timers.advance(sent_s + down_s - fleet.timers.now_s())
        fleet.restart_worker(instance_id, fleet.wall_ms())
        await fleet.wait_until(lambda: fleet.workers.starts_in_flight == 0)
        await fleet.timers.advance(1.0)
        assert fleet.started(JOB) >= 2, "the copy has not begun the task"
        await fleet.wait_for_state(JOB, JobState.COMPLETED, 150.0)


# Guards against a wait for calls to a worker whose machine has a new one: only
# an owner with a link to the former worker took the new one for a sign (LOST).
@pytest.mark.parametrize("has_new_owner", [False, True])
async def test_a_new_worker_on_the_machine_ends_the_wait_for_copies(
    has_new_owner: bool,
) -> None:
    async with running_fleet(
        hosts=4, workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        fleet.renames_restarted_workers = True
        instance_id = await lose_worker_of_unanswered_start(fleet)
        await fleet.timers.advance(1.0)
        if has_new_owner:
            await hand_over(fleet)
        await fleet.timers.advance(3.0)
        assert fleet.started(JOB) == 1
        fleet.restart_worker(instance_id, fleet.wall_ms())
        await fleet.wait_until(lambda: fleet.started(JOB) == 2, 3.0)
