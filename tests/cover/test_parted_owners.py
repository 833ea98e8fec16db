"""Owners that are cut off from the store, and their successors."""

import contextlib

import pytest

from tests.common.cuts import STORE, Lost, cut_off, store_outage
from tests.common.fleets import Fleet, Host
from tests.common.long_jobs import (
    LASTING_S,
    LongJob,
    fleet_with_job,
    settled_fleet,
)

TAKEOVER_LIMIT_S = 30.0
CUTS = ((12.0, 20.0), (12.0, LASTING_S), (25.0, 60.0), (25.0, LASTING_S))
"""Durations of a cut and of the tasks that run meanwhile."""


def hosts_beside(fleet: Fleet, *hosts: Host) -> list[Host]:
    """Returns the live hosts but some."""
    return [
        host
        for host in fleet.hosts
        if host not in hosts and host.manager is not None
    ]


def owner_side(fleet: Fleet, companions: int) -> list[Host]:
    """Returns the owner and some other hosts."""
    owner = fleet.owner()
    return [owner, *hosts_beside(fleet, owner)[:companions]]


# Guards against an owner that goes on granting leases beside its successor: it
# and hosts that were cut off with it took their cut for an outage of the store.
@pytest.mark.parametrize(("cut_s", "duration_s"), CUTS)
@pytest.mark.parametrize(
    ("hosts", "companions"), [(4, 1), (4, 2), (6, 1), (6, 2)]
)
async def test_an_owner_cut_off_with_others_runs_no_task_beside_its_successor(
    hosts: int, companions: int, cut_s: float, duration_s: float
) -> None:
    async with fleet_with_job(hosts, duration_s) as (fleet, job):
        worker = job.workers()[0]
        with cut_off(fleet, owner_side(fleet, companions), [worker]):
            await fleet.timers.advance(cut_s)
        await job.check_completion()


# Guards against an owner that takes its own cut for the outage that it has just
# seen, and goes on granting leases for as long as that one would have lasted.
@pytest.mark.parametrize("with_peers", [False, True])
@pytest.mark.parametrize("up_s", [0.4, 1.0])
@pytest.mark.parametrize("is_silent", [False, True])
@pytest.mark.parametrize("hosts", [4, 6])
async def test_an_owner_cut_off_after_an_outage_runs_no_task_beside_another(
    hosts: int, is_silent: bool, up_s: float, with_peers: bool
) -> None:
    async with fleet_with_job(hosts, 60.0) as (fleet, job):
        worker = job.workers()[0]
        owner = fleet.owner()
        with store_outage(fleet, is_silent):
            await fleet.timers.advance(6.0)
        await fleet.timers.advance(up_s)
        others = [host.host_id for host in hosts_beside(fleet, owner)]
        with contextlib.ExitStack() as cuts:
            if with_peers:
                # The owner still reaches its peers, only not the store.
                cuts.enter_context(cut_off(fleet, [owner], others=[STORE]))
                cuts.enter_context(
                    cut_off(fleet, workers=[worker], others=others)
                )
            else:
                cuts.enter_context(cut_off(fleet, [owner], [worker]))
            await fleet.timers.advance(25.0)
        await job.check_completion()


# Guards against an owner that goes on granting leases though it reaches nobody.
@pytest.mark.parametrize(("cut_s", "duration_s"), CUTS)
@pytest.mark.parametrize("hosts", [4, 6])
async def test_an_owner_cut_off_alone_runs_no_task_beside_its_successor(
    hosts: int, cut_s: float, duration_s: float
) -> None:
    async with fleet_with_job(hosts, duration_s) as (fleet, job):
        worker = job.workers()[0]
        with cut_off(fleet, [fleet.owner()], [worker]):
            await fleet.timers.advance(cut_s)
        await job.check_completion()


# Guards against an owner that takes lost replies for an outage of the store, or
# that is heard by its peers and its store while it can't hear them.
@pytest.mark.parametrize("lost", [Lost.OUTWARD, Lost.INWARD])
@pytest.mark.parametrize("cut_s", [12.0, 25.0])
@pytest.mark.parametrize(
    ("hosts", "companions"), [(4, 0), (4, 1), (6, 0), (6, 2)]
)
async def test_an_owner_cut_off_one_way_runs_no_task_beside_its_successor(
    hosts: int, companions: int, cut_s: float, lost: Lost
) -> None:
    async with fleet_with_job(hosts, 60.0) as (fleet, job):
        worker = job.workers()[0]
        side = owner_side(fleet, companions)
        rest = [host.host_id for host in hosts_beside(fleet, *side)]
        with (
            cut_off(fleet, side, [worker], lost=lost),
            # Otherwise the successor's calls fence off the owner's.
            cut_off(fleet, workers=[worker], others=rest),
        ):
            await fleet.timers.advance(cut_s)
        await job.check_completion()


# Guards against leases that an owner grants when it wakes up behind a cut, by
# what it knew of the store and its peers before it was paused.
@pytest.mark.parametrize("frozen_s", [2.0, 4.0, 7.0, 9.0, 12.0])
@pytest.mark.parametrize(
    ("hosts", "companions"), [(4, 0), (4, 1), (6, 1), (6, 2)]
)
async def test_an_owner_frozen_as_it_is_cut_off_runs_no_task_beside_another(
    hosts: int, companions: int, frozen_s: float
) -> None:
    async with fleet_with_job(hosts, 60.0) as (fleet, job):
        worker = job.workers()[0]
        side = owner_side(fleet, companions)
        with cut_off(fleet, side, [worker]):
            side[0].timers.is_frozen = True
            await fleet.timers.advance(frozen_s)
            side[0].timers.thaw()
            await fleet.timers.advance(25.0 - frozen_s)
        await job.check_completion()


# Guards against a successor that is cut off in turn and goes on, while a third
# host takes over and must wait for the leases of both.
@pytest.mark.parametrize("delay_s", [0.5, 3.0, 8.0])
@pytest.mark.parametrize("companions", [0, 1])
async def test_a_chain_of_cut_off_owners_runs_no_task_twice(
    companions: int, delay_s: float
) -> None:
    async with fleet_with_job(6, 90.0) as (fleet, job):
        first_worker, second_worker, *_ = job.workers()
        first = owner_side(fleet, companions)
        with contextlib.ExitStack() as cuts:
            cuts.enter_context(cut_off(fleet, first, [first_worker]))
            rest = hosts_beside(fleet, *first)
            await fleet.wait_until(
                lambda: any(host.owns() for host in rest), TAKEOVER_LIMIT_S
            )
            await fleet.timers.advance(delay_s)
            successor = next(host for host in rest if host.owns())
            companions_of_it = hosts_beside(fleet, *first, successor)
            second = [successor, *companions_of_it[:companions]]
            cuts.enter_context(cut_off(fleet, second, [second_worker]))
            rest = hosts_beside(fleet, *first, *second)
            await fleet.wait_until(
                lambda: any(host.owns() for host in rest), TAKEOVER_LIMIT_S
            )
            await fleet.timers.advance(25.0)
        await job.check_completion()


# Guards against owners that are in no list of the group's members, and whose
# peers or successors don't count them for that.
@pytest.mark.parametrize("companions", [0, 1, 2])
@pytest.mark.parametrize("cut_s", [12.0, 25.0])
async def test_an_owner_without_a_partition_runs_no_task_beside_another(
    cut_s: float, companions: int
) -> None:
    async with fleet_with_job(6, 60.0, partitions=4) as (fleet, job):
        worker = job.workers()[0]
        side = owner_side(fleet, companions)
        # Just before the cut, as the host that the pool is assigned to then
        # claims it within half a second.
        while holds_partition(fleet, side[0]):
            fleet.store.rebalance("duties")
        with cut_off(fleet, side, [worker]):
            await fleet.timers.advance(cut_s)
        await job.check_completion()


def holds_partition(fleet: Fleet, host: Host) -> bool:
    """Returns whether the group assigns any partition to a host."""
    holders = fleet.store.list_partition_holders("duties")
    return any(host.address in holder.member for holder in holders)


# Guards against an owner that accepted its pool from a stalled peer, and that
# the group's assignment doesn't name.
@pytest.mark.parametrize("companions", [0, 1, 2])
@pytest.mark.parametrize("cut_s", [12.0, 25.0])
async def test_an_owner_by_an_offer_runs_no_task_beside_its_successor(
    cut_s: float, companions: int
) -> None:
    async with settled_fleet(6, 60.0) as fleet:
        first = fleet.owner()
        accepting = hosts_beside(fleet, first)[-1]
        for host in hosts_beside(fleet, accepting):
            host.store.faults.failing_page_topics = {"inbox"}
        await first.kill()
        await fleet.wait_until(accepting.owns, limit_s=TAKEOVER_LIMIT_S)
        assert any(host.lines("duty.handed_on") for host in fleet.hosts)
        for host in fleet.hosts:
            host.store.faults.failing_page_topics = set()
        first.start()
        await fleet.wait_until(lambda: first.manager is not None)
        job = LongJob(fleet, 60.0)
        worker = await job.start()
        with cut_off(fleet, owner_side(fleet, companions), [worker]):
            await fleet.timers.advance(cut_s)
        await job.check_completion()


# Guards against an owner that knows no peer and so takes its cut for an outage.
@pytest.mark.parametrize("joined", [1, 3])
@pytest.mark.parametrize("cut_s", [12.0, 25.0])
async def test_an_owner_that_knows_no_peer_runs_no_task_beside_its_successor(
    cut_s: float, joined: int
) -> None:
    async with fleet_with_job(1, 60.0) as (fleet, job):
        worker = job.workers()[0]
        owner = fleet.owner()
        owner.store.faults.refuse_holder_lists = True
        for _ in range(joined):
            fleet.add_host()
        await fleet.timers.advance(3.0)
        assert owner.owns()
        with cut_off(fleet, [owner], [worker]):
            await fleet.timers.advance(cut_s)
        await job.check_completion()
