"""Granted dispatch: no slot is granted twice, also after a takeover."""

import contextlib
import copy
from collections.abc import AsyncIterator
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootseam.peers import (
    DispatchReply,
    DispatchSession,
    SlotGrant,
    Term,
)
from coltsfootseam.results import ResultCode
from coltsfootseam.routing.internal.dispatch_queue import (
    DispatchQueue,
    WaitingRequest,
)
from coltsfootseam.state import (
    HostDrainReserved,
    MemberExpired,
    MemberLeft,
    rank_members,
)
from tests.common.dispatchers import (
    SERVICE,
    DispatchFleet,
    DispatchHost,
)
from tests.common.states import (
    claim_hosts,
    fold_body,
    make_contract,
    make_pool,
    make_state,
)

SLOTS = 8


@contextlib.asynccontextmanager
async def running_fleet(
    members: int = 4, hosts: int = 3
) -> AsyncIterator[DispatchFleet]:
    pool = make_pool(hosts_at_most=8)
    state = make_state(members, make_contract("customer", pool))
    claim_hosts(state, "pool-a", hosts)
    fleet = DispatchFleet(state)
    try:
        yield fleet
    finally:
        await fleet.close()


def request_slots_everywhere(
    fleet: DispatchFleet, count: int, prefix: str
) -> None:
    for host in fleet.hosts:
        for number in range(count):
            host.start_request(f"{prefix}-{number}")


def other_hosts(fleet: DispatchFleet) -> list[DispatchHost]:
    return [
        host for host in fleet.hosts if host.own_id != fleet.dispatcher_id()
    ]


def make_waiting_request(
    entry_id: str, request_id: str, session: DispatchSession
) -> WaitingRequest:
    return WaitingRequest(
        entry_id, session, request_id, "kind", False, 0.0, 60.0
    )


def assert_no_slot_is_granted_twice(fleet: DispatchFleet) -> None:
    held = fleet.slots_in_use_by_host()
    assert not held or max(held.values()) <= SLOTS, held


async def test_all_slots_are_granted_and_none_twice() -> None:
    async with running_fleet() as fleet:
        request_slots_everywhere(fleet, 10, "r")
        await fleet.timers.advance(1.0)
        assert fleet.grant_count() == 3 * SLOTS
        assert_no_slot_is_granted_twice(fleet)


async def test_an_entry_host_holds_at_most_twice_an_even_share() -> None:
    async with running_fleet() as fleet:
        busy = other_hosts(fleet)[0]
        for number in range(30):
            busy.start_request(f"r-{number}")
        await fleet.timers.advance(1.0)
        # One entry host holds at most twice an even share of each endpoint.
        assert len(busy.grants) == 3 * 4


async def test_a_released_slot_goes_to_the_request_that_waits_longest() -> None:
    async with running_fleet() as fleet:
        request_slots_everywhere(fleet, 6, "first")
        await fleet.timers.advance(1.0)
        one, other = other_hosts(fleet)[:2]
        one.start_request("second")
        await fleet.timers.advance(0.1)
        other.start_request("third")
        await fleet.timers.advance(0.1)
        other.finish(other.grants[0])
        await fleet.timers.advance(0.1)
        assert one.grants[-1].request.request_id == f"{one.own_id}/second"


async def test_a_dead_dispatcher_is_replaced_and_grants_continue() -> None:
    async with running_fleet() as fleet:
        request_slots_everywhere(fleet, 2, "before")
        await fleet.timers.advance(1.0)
        before = sum(len(host.grants) for host in other_hosts(fleet))
        fleet.network.dead.add(fleet.dispatcher_id())
        request_slots_everywhere(fleet, 4, "after")
        await fleet.timers.advance(2.0)
        after = sum(len(host.grants) for host in other_hosts(fleet))
        assert after > before
        assert_no_slot_is_granted_twice(fleet)


async def test_slots_of_a_dead_entry_host_are_freed_when_it_expires() -> None:
    async with running_fleet() as fleet:
        request_slots_everywhere(fleet, 10, "r")
        await fleet.timers.advance(1.0)
        lost = fleet.dispatcher_id()
        fleet.network.dead.add(lost)
        await fleet.timers.advance(3.0)
        assert_no_slot_is_granted_twice(fleet)
        state = fleet.network.state
        member = state.members_by_id[lost]
        expiry = MemberExpired(lost, member.epoch, member.renewed_offset)
        fold_body(state, expiry, author=fleet.hosts[0].own_id)
        fleet.network.hosts_by_id[lost].grants.clear()
        fleet.refresh()
        await fleet.timers.advance(2.0)
        assert fleet.grant_count() == 3 * SLOTS
        assert_no_slot_is_granted_twice(fleet)


async def test_a_dispatcher_paused_for_ten_seconds_grants_no_slot_twice() -> (
    None
):
    async with running_fleet() as fleet:
        request_slots_everywhere(fleet, 5, "before")
        await fleet.timers.advance(1.0)
        paused = fleet.dispatcher_id()
        fleet.network.unresponsive.add(paused)
        for host in other_hosts(fleet):
            for number in range(10):
                host.start_request(f"after-{number}")
        for _ in range(10):
            await fleet.timers.advance(1.0)
            for host in other_hosts(fleet):
                for grant in host.grants[:2]:
                    host.finish(grant)
            await fleet.timers.advance(0.5)
            assert_no_slot_is_granted_twice(fleet)
        fleet.network.resume_all()
        for _ in range(10):
            await fleet.timers.advance(0.5)
            assert_no_slot_is_granted_twice(fleet)
        fleet.network.hosts_by_id[paused].start_request("resumed")
        await fleet.timers.advance(2.0)
        assert_no_slot_is_granted_twice(fleet)


async def test_entry_hosts_that_folded_a_drain_do_not_use_the_host() -> None:
    async with running_fleet() as fleet:
        request_slots_everywhere(fleet, 1, "before")
        await fleet.timers.advance(1.0)
        state = fleet.network.state
        fold_body(state, HostDrainReserved("host-0", 1, "test"))
        # Only the entry hosts that request slots have applied the drain, not
        # the dispatcher.
        for host in other_hosts(fleet):
            host.endpoints.rebuild(state)
            host.grants.clear()
        for host in other_hosts(fleet):
            host.start_request("after")
        await fleet.timers.advance(1.0)
        used = {
            grant.endpoint.host_id
            for host in other_hosts(fleet)
            for grant in host.grants
        }
        assert "host-0" not in used


# Guards against entry hosts that endlessly supersede each other's terms.
async def test_replacing_a_dispatcher_starts_one_term() -> None:
    async with running_fleet(members=3, hosts=1) as fleet:
        request_slots_everywhere(fleet, 20, "before")
        await fleet.timers.advance(1.0)
        assert fleet.terms_started() == 1
        fleet.network.lag_s = 0.02
        fleet.network.unresponsive.add(fleet.dispatcher_id())
        other_hosts(fleet)[0].start_request("after")
        await fleet.timers.advance(3.0)
        fleet.network.resume_all()
        await fleet.timers.advance(3.0)
        assert fleet.terms_started() == 2


# Guards against a race of terms while entry hosts apply a change one by one.
@pytest.mark.parametrize("first", range(3))
async def test_a_leaving_member_starts_one_term_if_others_fold_it_late(
    first: int,
) -> None:
    async with running_fleet(members=4, hosts=1) as fleet:
        staying = other_hosts(fleet)
        for host in staying:
            for number in range(20):
                host.start_request(f"before-{number}")
        await fleet.timers.advance(1.0)
        fleet.network.lag_s = 0.02
        state = copy.deepcopy(fleet.network.state)
        left = fleet.dispatcher_id()
        fold_body(state, MemberLeft(), author=left)
        for host in staying[first:] + staying[:first]:
            host.apply_state(state)
            await fleet.timers.advance(0.1)
        fleet.network.hosts_by_id[left].apply_state(state)
        await fleet.timers.advance(3.0)
        assert fleet.terms_started() == 2
        for _ in range(20):
            for host in staying:
                for grant in list(host.grants):
                    host.finish(grant)
            await fleet.timers.advance(0.1)
        assert all(task.done() for host in staying for task in host.tasks)


# Guards against requests that stay queued at an unresponsive dispatcher.
async def test_the_next_dispatcher_grants_its_own_earlier_requests() -> None:
    async with running_fleet(members=3, hosts=1) as fleet:
        ranked = rank_members(
            fleet.network.state.members_by_id, f"dispatch/{SERVICE}"
        )
        last, following, other = (
            fleet.network.hosts_by_id[each] for each in ranked
        )
        fleet.network.unresponsive.add(last.own_id)
        other.start_request("first")
        await fleet.timers.advance(1.0)
        following.start_request("second")
        await fleet.timers.advance(5.0)
        assert len(other.grants) == 1
        assert len(following.grants) == 1


async def test_an_expired_request_leaks_no_slot() -> None:
    async with running_fleet(members=2, hosts=1) as fleet:
        host = other_hosts(fleet)[0]
        for number in range(SLOTS):
            host.start_request(f"r-{number}")
        host.start_request("late", deadline_s=2.0)
        await fleet.timers.advance(3.0)
        assert [each.code for each in host.refusals] == [
            ResultCode.NOT_RUN_DEADLINE
        ]
        for grant in list(host.grants):
            host.finish(grant)
        for number in range(SLOTS + 1):
            host.start_request(f"again-{number}")
        await fleet.timers.advance(1.0)
        assert len(host.grants) == SLOTS


async def test_long_requests_leave_slots_free_and_are_not_starved() -> None:
    async with running_fleet(members=2, hosts=2) as fleet:
        host = other_hosts(fleet)[0]
        for number in range(20):
            host.start_request(f"learn-{number}", "/service-a/short")
            await fleet.timers.advance(0.1)
            host.finish(host.grants[0], ran_s=0.1)
        host.start_request("learn-long", "/service-a/long")
        await fleet.timers.advance(0.1)
        host.finish(host.grants[0], ran_s=10.0)
        for number in range(30):
            host.start_request(
                f"long-{number}", "/service-a/long", deadline_s=600.0
            )
        await fleet.timers.advance(1.0)
        assert len(host.grants) == 2 * SLOTS // 4
        for number in range(40):
            host.start_request(f"short-{number}", "/service-a/short")
        await fleet.timers.advance(0.1)
        assert fleet.grant_count() == 2 * SLOTS
        for grant in [
            g for g in host.grants if "long-" in g.request.request_id
        ]:
            host.finish(grant, ran_s=10.0)
        await fleet.timers.advance(0.1)
        running_long = [
            g for g in host.grants if "long-" in g.request.request_id
        ]
        assert len(running_long) == 2 * SLOTS // 8


async def test_a_request_that_cannot_be_served_in_time_is_refused() -> None:
    async with running_fleet(members=2, hosts=1) as fleet:
        host = other_hosts(fleet)[0]
        for number in range(10):
            host.start_request(f"learn-{number}")
            await fleet.timers.advance(0.1)
            host.finish(host.grants[0], ran_s=4.0)
        for number in range(SLOTS * 3):
            host.start_request(f"fill-{number}", deadline_s=100.0)
        await fleet.timers.advance(0.1)
        host.start_request("infeasible", deadline_s=5.0)
        await fleet.timers.advance(0.1)
        assert [each.code for each in host.refusals] == [
            ResultCode.NOT_RUN_OVERLOADED
        ]


# Guards against head-of-line blocking by an entry host at its slot limit.
async def test_an_entry_host_with_its_full_share_does_not_block_others() -> (
    None
):
    async with running_fleet(members=4, hosts=1) as fleet:
        greedy, other = other_hosts(fleet)[:2]
        for number in range(SLOTS):
            greedy.start_request(f"greedy-{number}")
        await fleet.timers.advance(0.1)
        assert len(greedy.grants) == SLOTS // 2
        other.start_request("other")
        await fleet.timers.advance(0.1)
        assert len(other.grants) == 1
        greedy.finish(greedy.grants[0])
        await fleet.timers.advance(0.1)
        assert len(greedy.grants) == SLOTS // 2


# Guards against a queue that grows while its first request is passed over.
async def test_requests_served_out_of_order_are_compacted() -> None:
    line = DispatchQueue()
    session: Any = None
    line.add(make_waiting_request("entry-0", "first", session))
    for number in range(1000):
        line.add(make_waiting_request("entry-1", f"r-{number}", session))
        served = line.first_short({"entry-0"})
        assert served is not None
        line.remove(served.request_id)
    assert line.stored_count() < 100
    first = line.first_short(set())
    assert first is not None and first.request_id == "first"


# Guards against a false overload, when resent requests are counted twice.
async def test_requests_resent_on_a_new_stream_are_counted_once() -> None:
    async with running_fleet(members=3, hosts=1) as fleet:
        host, other = other_hosts(fleet)
        for number in range(10):
            host.start_request(f"learn-{number}")
            await fleet.timers.advance(0.1)
            host.finish(host.grants[0], ran_s=2.0)
        for number in range(SLOTS):
            other.start_request(f"first-{number}", deadline_s=100.0)
        await fleet.timers.advance(0.1)
        for number in range(2 * SLOTS):
            host.start_request(f"fill-{number}", deadline_s=100.0)
        await fleet.timers.advance(0.1)
        dispatcher: Any = host.dispatcher
        for _ in range(5):
            dispatcher._links_by_member_id[fleet.dispatcher_id()]._reopen()
            await fleet.timers.advance(0.1)
        assert fleet.terms_started() == 1
        host.start_request("last", deadline_s=8.0)
        await fleet.timers.advance(0.1)
        assert host.refusals == []


async def test_a_grant_that_overtakes_a_report_stays_counted() -> None:
    async with running_fleet(members=3, hosts=1) as fleet:
        slow = other_hosts(fleet)[0]
        fleet.network.slow.add(slow.own_id)
        for number in range(SLOTS):
            slow.start_request(f"r-{number}")
        await fleet.timers.advance(1.0)
        for host in fleet.hosts:
            for number in range(SLOTS):
                host.start_request(f"later-{number}")
        await fleet.timers.advance(1.0)
        assert_no_slot_is_granted_twice(fleet)


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ["request", "finish", "freeze", "resume", "wait", "kill", "slow"]
        ),
        st.integers(min_value=0, max_value=3),
    ),
    min_size=10,
    max_size=60,
)


@settings(derandomize=True, deadline=None, max_examples=60)
@given(steps=STEPS)
async def test_no_slot_is_granted_twice_whatever_fails(
    steps: list[tuple[str, int]],
) -> None:
    async with running_fleet(members=4, hosts=1) as fleet:
        ids = list(fleet.network.hosts_by_id)
        for number, (step, index) in enumerate(steps):
            host = fleet.network.hosts_by_id[ids[index]]
            if step == "request":
                for each in range(3):
                    host.start_request(f"{number}-{each}")
            elif step == "finish" and host.grants:
                host.finish(host.grants[0])
            elif step == "freeze" and not fleet.network.unresponsive:
                fleet.network.unresponsive.add(ids[index])
            elif step == "resume":
                fleet.network.resume_all()
            elif step == "slow":
                fleet.network.slow ^= {ids[index]}
            elif step == "kill" and not fleet.network.dead:
                fleet.network.dead.add(ids[index])
            await fleet.timers.advance(0.7 if step == "wait" else 0.1)
            assert_no_slot_is_granted_twice(fleet)


async def test_a_grant_of_an_earlier_term_is_rejected() -> None:
    async with running_fleet(members=4, hosts=1) as fleet:
        host = other_hosts(fleet)[0]
        host.start_request("first")
        await fleet.timers.advance(1.0)
        assert len(host.grants) == 1
        old_term = Term(fleet.network.state.members_offset, 0)
        paused = fleet.dispatcher_id()
        fleet.network.unresponsive.add(paused)
        for number in range(2 * SLOTS):
            host.start_request(f"waiting-{number}")
        await fleet.timers.advance(5.0)
        granted = len(host.grants)
        grants = [
            SlotGrant(
                SERVICE,
                old_term,
                f"{host.own_id}/waiting-{number}",
                "host-0",
                1,
            )
            for number in range(2 * SLOTS)
        ]
        dispatcher: Any = host.dispatcher
        dispatcher.handle_reply(paused, DispatchReply(grants=grants))
        await fleet.timers.advance(0.1)
        assert len(host.grants) == granted
