"""Outages of the whole store, which interrupt no task and move no duty."""

import pytest

from tests.common.cuts import store_outage
from tests.common.fleets import Fleet, Host
from tests.common.long_jobs import (
    LASTING_S,
    fleet_with_job,
    settled_fleet,
)

TASK_S = 28.0
SETTLED_S = 5.0


def host_without_duties(fleet: Fleet) -> Host:
    """Returns a host whose loss moves no duty."""
    return next(
        host
        for host in fleet.hosts
        if host.manager is not None and not host.manager.duties.held()
    )


# Guards against an owner that stops its tasks, or loses them to another host,
# though the store is away for all hosts alike.
@pytest.mark.parametrize(
    ("outage_s", "duration_s"),
    [(5.0, TASK_S), (20.0, TASK_S), (20.0, LASTING_S)],
)
@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("hosts", [2, 3, 4, 6])
async def test_an_outage_of_the_store_interrupts_no_task(
    hosts: int, is_silent: bool, outage_s: float, duration_s: float
) -> None:
    async with fleet_with_job(hosts, duration_s) as (fleet, job):
        owner = fleet.owner()
        with store_outage(fleet, is_silent):
            await fleet.timers.advance(outage_s)
            assert owner.owns()
        await fleet.timers.advance(SETTLED_S)
        assert owner.owns()
        await job.check_uninterrupted()


# Guards against an owner that takes a host that was lost just before for a sign
# of being cut off, and so stops its tasks in an outage of the store.
@pytest.mark.parametrize("killed_before_s", [0.5, 4.0])
@pytest.mark.parametrize(
    ("is_silent", "outage_s"), [(False, 20.0), (True, 5.0), (True, 20.0)]
)
@pytest.mark.parametrize("hosts", [3, 4, 6])
async def test_an_outage_after_the_loss_of_a_host_interrupts_no_task(
    hosts: int, is_silent: bool, outage_s: float, killed_before_s: float
) -> None:
    async with fleet_with_job(hosts, TASK_S) as (fleet, job):
        owner = fleet.owner()
        await host_without_duties(fleet).kill()
        await fleet.timers.advance(killed_before_s)
        with store_outage(fleet, is_silent):
            await fleet.timers.advance(outage_s)
            assert owner.owns()
        await job.check_uninterrupted()


# Guards against an owner that waits in vain for a confirmation by a host whose
# process is a new one, as that one has never been a member.
@pytest.mark.parametrize("killed_before_s", [0.5, 4.0])
@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("hosts", [3, 4, 6])
async def test_a_restart_in_an_outage_of_the_store_interrupts_no_task(
    hosts: int, is_silent: bool, killed_before_s: float
) -> None:
    async with fleet_with_job(hosts, TASK_S) as (fleet, job):
        owner = fleet.owner()
        killed = host_without_duties(fleet)
        await killed.kill()
        await fleet.timers.advance(killed_before_s)
        with store_outage(fleet, is_silent):
            await fleet.timers.advance(5.0)
            killed.start()
            await fleet.timers.advance(15.0)
            assert owner.owns()
        await job.check_uninterrupted()


# Guards against a pool that changes its owner at the end of an outage: the host
# that it is assigned to takes an owner that reads no store for none.
@pytest.mark.parametrize("hosts", [3, 4, 6])
async def test_an_outage_after_the_loss_of_a_host_moves_no_pool(
    hosts: int,
) -> None:
    async with settled_fleet(hosts, TASK_S) as fleet:
        owner = fleet.owner()
        await host_without_duties(fleet).kill()
        await fleet.timers.advance(4.0)
        assert owner.owns()
        with store_outage(fleet, is_silent=True):
            await fleet.timers.advance(5.0)
        await fleet.timers.advance(SETTLED_S)
        assert owner.owns()
