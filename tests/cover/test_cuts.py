"""What the cuts of the test network let through."""

import contextlib

import pytest

from coltsfootseam.calls import ASK_REACH, ReachabilityRequest
from coltsfootseam.results import Refusal
from coltsfootseam.workers import HeartbeatReply, HeartbeatRequest, OrderReply
from tests.common.cuts import STORE, Lost, cut_off, zones_cut_off
from tests.common.fleets import POOL, Fleet, Host, running_fleet

TIMEOUT_S = 0.4


async def answers(fleet: Fleet, caller: Host, address: str) -> bool:
    """Returns whether a host gets a reply from an address."""
    reply = await fleet.run(
        caller.peers.call(address, ASK_REACH, ReachabilityRequest(), TIMEOUT_S)
    )
    return not isinstance(reply, Refusal)


async def heartbeat(
    fleet: Fleet, host: Host, instance_id: str, lease_end_ms: int
) -> HeartbeatReply | OrderReply:
    """Sends a heartbeat from a host to a worker that has no owner."""
    worker = fleet.workers.workers_by_instance[instance_id]
    calls = fleet.workers.calls(host.host_id)
    request = HeartbeatRequest(10, 0, lease_end_ms, 0)
    return await fleet.run(calls.heartbeat(worker.entry, request))


async def test_hosts_that_are_cut_off_together_reach_only_one_another() -> None:
    async with running_fleet(hosts=4) as fleet:
        first, second, third, fourth = fleet.hosts
        with cut_off(fleet, [first, second]):
            assert await answers(fleet, first, second.address)
            assert await answers(fleet, third, fourth.address)
            assert not await answers(fleet, first, third.address)
            assert not await answers(fleet, third, first.address)
            assert first.store.faults.is_unresponsive
            assert not third.store.faults.is_unresponsive
        assert await answers(fleet, first, third.address)
        assert not first.store.faults.is_unresponsive


# Of a call into a side that can't send, only the reply is lost.
@pytest.mark.parametrize("lost", [Lost.OUTWARD, Lost.INWARD])
async def test_a_call_takes_effect_if_only_its_reply_is_lost(
    lost: Lost,
) -> None:
    async with running_fleet(hosts=2, workers=0) as fleet:
        fleet.add_worker(9, pool="another")
        worker = fleet.workers.workers_by_instance["i-9"]
        with cut_off(fleet, workers=["i-9"], lost=lost):
            reply = await heartbeat(fleet, fleet.hosts[0], "i-9", 9000)
            assert isinstance(reply, OrderReply)
            assert (worker.lease_end_ms == 9000) is (lost is Lost.OUTWARD)
        reply = await heartbeat(fleet, fleet.hosts[0], "i-9", 9500)
        assert isinstance(reply, HeartbeatReply)


async def test_a_member_that_only_does_not_hear_the_store_stays_one() -> None:
    async with running_fleet(hosts=2) as fleet:
        host = fleet.non_owner()
        with cut_off(fleet, [host], lost=Lost.INWARD):
            await fleet.timers.advance(5.0)
            holders = fleet.store.list_partition_holders("duties")
            assert any(host.address in holder.member for holder in holders)


async def test_cuts_by_zone_may_overlap_and_end_in_any_order() -> None:
    async with running_fleet(hosts=2) as fleet:
        other = fleet.add_host(zone="b")
        worker_id = fleet.add_worker(9, pool=POOL, zone="b")
        faults = fleet.workers.workers_by_instance[worker_id].faults
        await fleet.timers.advance(1.0)
        near = {host.host_id for host in fleet.hosts[:2]}
        with contextlib.ExitStack() as later, contextlib.ExitStack() as sooner:
            sooner.enter_context(zones_cut_off(fleet, "b"))
            assert faults.unreachable_from_hosts == near
            later.enter_context(cut_off(fleet, [other]))
            assert faults.unreachable_from_hosts == {*near, other.host_id}
            sooner.close()
            assert faults.unreachable_from_hosts == {other.host_id}
        assert faults.unreachable_from_hosts == set()
        assert await answers(fleet, fleet.hosts[0], other.address)


# Guards against a frozen host that still answers for its duties.
async def test_a_frozen_host_answers_once_it_has_thawed() -> None:
    async with running_fleet(hosts=2) as fleet:
        caller, frozen = fleet.hosts
        frozen.timers.is_frozen = True
        assert not await answers(fleet, caller, frozen.address)
        frozen.timers.thaw()
        assert await answers(fleet, caller, frozen.address)


async def test_a_cut_from_the_store_alone_leaves_the_other_links() -> None:
    async with running_fleet(hosts=2) as fleet:
        first, second = fleet.hosts
        with cut_off(fleet, [first], others=[STORE]):
            assert first.store.faults.is_unresponsive
            assert not second.store.faults.is_unresponsive
            assert await answers(fleet, first, second.address)
