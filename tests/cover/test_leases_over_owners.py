"""Leases of earlier incarnations while a pool changes its owner repeatedly."""

import pytest

from coltsfootseam.jobs import JobState
from tests.common.fleets import Fleet, Host, running_fleet
from tests.common.host_timers import HostTimers
from tests.cover.test_restarted_workers import (
    JOB,
    LATER_JOB,
    LONG_TASK_S,
    SPREAD,
    cut_off,
    start_on_next_lives,
)

CUT_S = 12.0
LIMIT_S = 150.0


async def end_owner(fleet: Fleet, is_planned: bool) -> Host:
    """Has the pool's owner leave in peace, or kills it; returns it."""
    owner = fleet.owner()
    if is_planned:
        assert owner.manager is not None
        await fleet.run(owner.manager.leave())
    await owner.kill()
    return owner


async def wait_for_owner(fleet: Fleet) -> None:
    """Waits until another host owns the pool."""
    await fleet.wait_until(lambda: any(host.owns() for host in fleet.hosts))


# Guards against tasks that run twice as their pool changes its owner repeatedly
# within a lease (issue 65): only an owner that saw a worker start anew knew how
# long its lease may last, and the next one but one started them elsewhere.
@pytest.mark.parametrize("orders_again", [False, True])
@pytest.mark.parametrize("cut_after_s", [0.1, 0.4, 1.0])
@pytest.mark.parametrize("ended_after_s", [0.05, 0.4])
@pytest.mark.parametrize("is_planned", [False, True])
@pytest.mark.parametrize("changes", [2, 3])
async def test_a_later_owner_waits_for_a_lease_of_the_life_before(
    changes: int,
    is_planned: bool,
    ended_after_s: float,
    cut_after_s: float,
    orders_again: bool,
) -> None:
    async with running_fleet(
        hosts=changes + 2, workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        await fleet.timers.advance(20.0)
        reached = await start_on_next_lives(fleet, 0.1, 0.1, SPREAD)
        await fleet.timers.advance(ended_after_s)
        for _ in range(changes - 1):
            await end_owner(fleet, is_planned)
            await wait_for_owner(fleet)
            if orders_again:
                host = next(host for host in fleet.hosts if host.owns())
                job = LATER_JOB[:-1] + str(len(fleet.hosts))
                if not fleet.started(job):
                    await fleet.accept(host, job, SPREAD)
            for number in range(5, 8):
                fleet.add_worker(number)
            await fleet.timers.advance(cut_after_s)
        cut_off(fleet, reached, CUT_S)
        await end_owner(fleet, is_planned)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)


# Guards against a life that counts as old since its successor's time of day has
# jumped: a host that has long followed the workers goes by its own clock.
@pytest.mark.parametrize("jump_s", [-100, 100])
async def test_a_jump_of_the_time_of_day_makes_no_life_older(
    jump_s: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    wall_ms = HostTimers.wall_ms
    monkeypatch.setattr(
        HostTimers, "wall_ms", lambda self: wall_ms(self) + jump_s * 1000
    )
    async with running_fleet(
        hosts=4, workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        await fleet.timers.advance(40.0)
        reached = await start_on_next_lives(fleet, 0.1, 0.1, SPREAD)
        await end_owner(fleet, is_planned=False)
        await wait_for_owner(fleet)
        for number in range(5, 8):
            fleet.add_worker(number)
        await fleet.timers.advance(0.4)
        cut_off(fleet, reached, CUT_S)
        await end_owner(fleet, is_planned=False)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)
