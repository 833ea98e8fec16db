"""Owners of pools before and after outages of the store."""

import pytest

from tests.common.fleets import Fleet, Host
from tests.common.long_jobs import settled_fleet

GROUP = "duties"
REBALANCES = 3
RECOVERY_S = 5.0
TASK_S = 1.0


def claims(fleet: Fleet) -> int:
    return sum(len(host.lines("duty.claimed")) for host in fleet.hosts)


async def take_owner(fleet: Fleet) -> Host:
    """Returns the owner once the group assigns the pool to another host."""
    for _ in range(REBALANCES):
        fleet.store.rebalance(GROUP)
        await fleet.timers.advance(2.0)
    return fleet.owner()


# An owner that hears nothing from the store denies that it owns anything. The
# host with the assignment began to claim the pool during an outage of the whole
# store, and took it from its owner when the store was back.
@pytest.mark.parametrize("outage_s", [0.8, 1.5, 2.5, 4.0])
async def test_an_outage_of_the_store_moves_no_pool(outage_s: float) -> None:
    async with settled_fleet(4, TASK_S) as fleet:
        owner = await take_owner(fleet)
        claims_before = claims(fleet)
        for host in fleet.hosts:
            host.store.faults.is_unresponsive = True
        await fleet.timers.advance(outage_s)
        for host in fleet.hosts:
            host.store.faults.is_unresponsive = False
        await fleet.timers.advance(RECOVERY_S)
        assert fleet.owner() is owner
        assert claims(fleet) == claims_before
