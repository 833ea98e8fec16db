"""Duties go to the more capable hosts, and to the others if necessary."""

import pytest

from coltsfootseam.manager.membership.members import (
    address_of_member,
    member_name,
    millicores_of_member,
)
from coltsfootseam.manager.membership.standby import is_surplus
from coltsfootseam.timers import VirtualTimers
from tests.common.fleets import Fleet, Host, running_fleet

WEAK = 500
STRONG = 2000


def is_strong(host: Host) -> bool:
    return host.millicores >= STRONG


def members(fleet: Fleet) -> set[str]:
    holdings = fleet.store.list_partition_holders("duties")
    return {address_of_member(holding.member) for holding in holdings}


def addresses(fleet: Fleet, millicores: int) -> set[str]:
    return {
        host.address
        for host in fleet.hosts
        if host.manager is not None and host.millicores == millicores
    }


# Guards against rebalancing that assigns pools to hosts too weak for them.
async def test_rebalancing_leaves_pools_with_the_capable_hosts() -> None:
    capacities = [WEAK, STRONG, WEAK, STRONG, WEAK, WEAK] * 3
    async with running_fleet(millicores=capacities) as fleet:
        await fleet.timers.advance(4.0)
        owner = fleet.owner()
        assert is_strong(owner)
        for _ in range(5):
            fleet.store.rebalance("duties")
            await fleet.timers.advance(2.0)
            assert fleet.owner() is owner
        assert members(fleet) == addresses(fleet, STRONG)


# After a power failure the weak hosts may be the first to start.
async def test_a_weak_host_that_was_first_hands_its_pools_over() -> None:
    async with running_fleet(millicores=[WEAK] * 3) as fleet:
        assert not is_strong(fleet.owner())
        await fleet.accept(fleet.hosts[0], "0000000000000001")
        for _ in range(2):
            fleet.add_host(STRONG)
        await fleet.wait_until(
            lambda: any(host.owns() and is_strong(host) for host in fleet.hosts)
        )
        await fleet.timers.advance(1.0)
        assert sum(host.owns() for host in fleet.hosts) == 1
        await fleet.accept(fleet.hosts[1], "0000000000000002")
        assert members(fleet) == addresses(fleet, STRONG)


# Standby hosts must notice the loss of all members.
async def test_weak_hosts_take_over_when_all_strong_ones_are_lost() -> None:
    capacities = [STRONG, STRONG, WEAK, WEAK, WEAK]
    async with running_fleet(millicores=capacities) as fleet:
        await fleet.timers.advance(4.0)
        assert is_strong(fleet.owner())
        for host in fleet.hosts[:2]:
            await host.kill()
        took_s = await fleet.wait_until(
            lambda: any(host.owns() for host in fleet.hosts)
        )
        assert took_s < 2.5
        await fleet.accept(fleet.hosts[3], "0000000000000001")


# Standby hosts handed pools back 1.5 s after they had taken them over. Each
# change of owner delays the tasks that wait for a worker.
async def test_a_standby_host_keeps_pools_for_a_while() -> None:
    capacities = [STRONG, STRONG, WEAK, WEAK, WEAK]
    async with running_fleet(millicores=capacities) as fleet:
        await fleet.timers.advance(4.0)
        strong = fleet.hosts[:2]
        for host in strong:
            await host.kill()
        await fleet.wait_until(lambda: any(host.owns() for host in fleet.hosts))
        owner = fleet.owner()
        for host in strong:
            host.start()
        for _ in range(60):
            await fleet.timers.advance(0.1)
            assert fleet.owner() is owner
        await fleet.wait_until(
            lambda: any(host.owns() and is_strong(host) for host in fleet.hosts)
        )


# One strong host alone would have more load than the weak ones together.
async def test_weak_hosts_are_members_beside_a_single_strong_one() -> None:
    capacities = [STRONG, WEAK, WEAK, WEAK]
    async with running_fleet(millicores=capacities) as fleet:
        await fleet.timers.advance(4.0)
        assert len(members(fleet)) == len(capacities)


# Making hosts standbys for small differences would waste their capacity.
@pytest.mark.parametrize(
    "capacities", [[0] * 4, [WEAK] * 4, [500, 537, 600, 900]]
)
async def test_hosts_of_about_equal_capacity_are_all_members(
    capacities: list[int],
) -> None:
    async with running_fleet(millicores=capacities) as fleet:
        await fleet.timers.advance(4.0)
        assert len(members(fleet)) == len(capacities)


# Guards against members that are all cut off together, assume an outage of the
# store and keep extending leases although other hosts have taken over.
async def test_owners_cut_off_together_learn_it_from_standby_hosts() -> None:
    capacities = [STRONG, STRONG, WEAK, WEAK, WEAK]
    # Without workers, as one would reject the old owner for its lower epoch.
    async with running_fleet(workers=0, millicores=capacities) as fleet:
        await fleet.timers.advance(6.0)
        strong, weak = fleet.hosts[:2], fleet.hosts[2:]
        assert is_strong(fleet.owner())
        for host in strong:
            host.store.faults.is_unresponsive = True
        took_s = await fleet.wait_until(
            lambda: not any(host.owns() for host in strong)
        )
        assert took_s < 4.0
        await fleet.wait_until(lambda: any(host.owns() for host in weak))
        await fleet.accept(fleet.hosts[3], "0000000000000001")


# Guards against refusing the callers of a host cut off with all members.
async def test_a_host_cut_off_with_all_members_forwards_through_standbys() -> (
    None
):
    capacities = [STRONG, STRONG, WEAK, WEAK, WEAK]
    async with running_fleet(millicores=capacities) as fleet:
        await fleet.timers.advance(6.0)
        for host in fleet.hosts[:2]:
            host.store.faults.is_down = True
        await fleet.timers.advance(2.0)
        await fleet.accept(fleet.hosts[0], "0000000000000001")


# An outage of the store ends all memberships although no host is lost.
async def test_owners_keep_their_duties_during_a_store_outage() -> None:
    capacities = [STRONG, STRONG, WEAK, WEAK, WEAK]
    async with running_fleet(millicores=capacities) as fleet:
        await fleet.timers.advance(6.0)
        owner = fleet.owner()
        strong, weak = fleet.hosts[:2], fleet.hosts[2:]
        for number in range(6):
            for host in fleet.hosts:
                host.store.faults.is_down = True
            await fleet.timers.advance(4.0 + 0.1 * number)
            for host in [*weak, *strong]:
                host.store.faults.is_down = False
                await fleet.timers.advance(0.02)
            for _ in range(40):
                await fleet.timers.advance(0.1)
                assert members(fleet) <= addresses(fleet, STRONG)
            assert fleet.owner() is owner


# The name of a process of an older version doesn't contain its capacity.
def test_a_member_s_name_contains_its_address_and_capacity() -> None:
    name = member_name("10.0.0.1:7000", "a1", 2151)
    assert address_of_member(name) == "10.0.0.1:7000"
    assert millicores_of_member(name) == 2151
    assert millicores_of_member("10.0.0.1:7000/a1") == 0


# Too few strong hosts would be overloaded.
@pytest.mark.parametrize(
    ("members_millicores", "duties", "expected"),
    [
        ([2151] * 8, 6, True),
        ([2151] * 2, 6, True),
        ([2151] * 2, 9, False),
        ([20_000], 6, False),
        ([600] * 8, 6, False),
        ([0] * 8, 6, False),
        ([], 0, False),
    ],
)
def test_a_host_is_surplus_if_stronger_ones_can_run_all_duties(
    members_millicores: list[int], duties: int, expected: bool
) -> None:
    assert is_surplus(516, members_millicores, duties) is expected
    assert not is_surplus(0, members_millicores, duties)


async def test_a_frozen_standby_host_joins_when_needed() -> None:
    async with running_fleet(millicores=[STRONG, STRONG, WEAK]) as fleet:
        await fleet.timers.advance(4.0)
        assert isinstance(fleet.timers, VirtualTimers)
        fleet.hosts[2].timers.is_frozen = True
        for host in fleet.hosts[:2]:
            await host.kill()
        await fleet.timers.advance(3.0)
        fleet.hosts[2].timers.thaw()
        await fleet.wait_until(fleet.hosts[2].owns, limit_s=5.0)
