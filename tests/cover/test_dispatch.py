"""Local dispatch grants slots within deadlines and limits."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.routing import Grant, QuarantineCause, SlotUse
from coltsfootseam.state import FleetState, HostDownSet, HostDrainReserved
from coltsfootseam.timers import VirtualTimers
from tests.common.routes import Route, make_head
from tests.common.states import (
    claim_hosts,
    fold_body,
    make_contract,
    make_pool,
    make_state,
)


def make_pool_state(
    hosts: int = 2, members: int = 1, max_down: int = 1
) -> FleetState:
    pool = make_pool(hosts_at_most=8, max_down=max_down)
    state = make_state(members, make_contract("customer", pool))
    claim_hosts(state, "pool-a", hosts)
    return state


async def acquire_all(route: Route, count: int) -> list[Grant | Refusal]:
    tasks = [
        asyncio.ensure_future(
            route.dispatcher.acquire(
                make_head(route.timers, f"entry-0/{number}")
            )
        )
        for number in range(count)
    ]
    await route.timers.advance(0.0)
    return [task.result() for task in tasks if task.done()]


async def test_a_request_waits_until_a_slot_is_free() -> None:
    route = Route(make_pool_state(hosts=1), VirtualTimers())
    grants = await acquire_all(route, 8)
    waiting = asyncio.ensure_future(
        route.dispatcher.acquire(make_head(route.timers))
    )
    await route.timers.advance(1.0)
    assert not waiting.done()
    first = grants[0]
    assert isinstance(first, Grant)
    route.dispatcher.release(first, SlotUse(1.0))
    await route.timers.advance(0.0)
    assert isinstance(waiting.result(), Grant)


async def test_a_request_that_waits_past_its_deadline_was_not_run() -> None:
    route = Route(make_pool_state(hosts=1), VirtualTimers())
    await acquire_all(route, 8)
    waiting = asyncio.ensure_future(
        route.dispatcher.acquire(make_head(route.timers, deadline_s=2.0))
    )
    await route.timers.advance(2.0)
    refusal = waiting.result()
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.NOT_RUN_DEADLINE


async def test_a_full_queue_refuses_at_once() -> None:
    route = Route(make_pool_state(hosts=1), VirtualTimers(), queue_limit=2)
    results = await acquire_all(route, 11)
    refusals = [each for each in results if isinstance(each, Refusal)]
    assert len(results) == 9
    assert [each.code for each in refusals] == [ResultCode.NOT_RUN_OVERLOADED]


async def test_a_cancelled_request_leaves_the_queue() -> None:
    route = Route(make_pool_state(hosts=1), VirtualTimers())
    grants = await acquire_all(route, 8)
    cancelled = asyncio.ensure_future(
        route.dispatcher.acquire(make_head(route.timers, "entry-0/cancelled"))
    )
    last = asyncio.ensure_future(
        route.dispatcher.acquire(make_head(route.timers, "entry-0/last"))
    )
    await route.timers.advance(0.1)
    cancelled.cancel()
    await route.timers.advance(0.1)
    first = grants[0]
    assert isinstance(first, Grant)
    route.dispatcher.release(first, SlotUse(1.0))
    await route.timers.advance(0.0)
    granted = last.result()
    assert isinstance(granted, Grant)
    assert granted.request.request_id == "entry-0/last"


async def test_an_unknown_service_is_refused() -> None:
    route = Route(make_pool_state(), VirtualTimers())
    head = make_head(route.timers, service="nothing")
    refusal = await route.dispatcher.acquire(head)
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.NOT_RUN_UNKNOWN_SERVICE


@pytest.mark.parametrize(
    "body",
    [
        HostDrainReserved("host-0", 1, "test"),
        HostDownSet("host-0", 1, True, "listed as leaving"),
    ],
)
async def test_a_draining_or_leaving_host_gets_no_new_work(
    body: HostDrainReserved | HostDownSet,
) -> None:
    state = make_pool_state(hosts=2)
    route = Route(state, VirtualTimers())
    fold_body(state, body)
    route.endpoints.rebuild(state)
    results = await acquire_all(route, 20)
    hosts = {
        each.endpoint.host_id for each in results if isinstance(each, Grant)
    }
    assert hosts == {"host-1"}


async def test_a_host_with_work_in_progress_stays_counted_until_it_ends() -> (
    None
):
    state = make_pool_state(hosts=1)
    route = Route(state, VirtualTimers())
    grants = await acquire_all(route, 3)
    del state.claims_by_host_id["host-0"]
    route.endpoints.rebuild(state)
    assert route.endpoints.in_progress_on("host-0") == 3
    for grant in grants:
        assert isinstance(grant, Grant)
        route.dispatcher.release(grant, SlotUse(1.0))
    assert route.endpoints.in_progress_on("host-0") == 0


def test_a_whole_pool_is_never_quarantined_as_failing() -> None:
    route = Route(make_pool_state(hosts=2), VirtualTimers())
    endpoints = route.endpoints.endpoints_of("service-a")
    assert endpoints is not None
    for endpoint in endpoints:
        route.endpoints.quarantine(endpoint, QuarantineCause.FAILING, "test")
    assert route.endpoints.endpoints_of("service-a") == endpoints


def test_leaving_endpoints_get_no_requests_even_as_the_last_ones() -> None:
    route = Route(make_pool_state(hosts=2), VirtualTimers())
    for endpoint in route.endpoints.endpoints_of("service-a") or []:
        route.endpoints.quarantine(endpoint, QuarantineCause.LEAVING, "test")
    assert route.endpoints.endpoints_of("service-a") == []


@settings(derandomize=True, deadline=None, max_examples=50)
@given(
    members=st.integers(min_value=1, max_value=12),
    hosts=st.integers(min_value=1, max_value=8),
)
def test_shares_of_all_members_add_up_to_the_slots(
    members: int, hosts: int
) -> None:
    state = make_pool_state(hosts, members)
    total_by_host: dict[str, int] = {}
    for number in range(members):
        route = Route(state, VirtualTimers(), own_id=f"entry-{number}")
        for endpoint in route.endpoints.endpoints_of("service-a") or []:
            share = route.dispatcher.limit_for(endpoint)  # type: ignore[attr-defined]
            total = total_by_host.get(endpoint.host_id, 0)
            total_by_host[endpoint.host_id] = total + share
    assert set(total_by_host.values()) == {8}


async def test_a_pool_without_endpoints_has_its_own_result_code() -> None:
    route = Route(make_pool_state(hosts=0), VirtualTimers())
    waiting = asyncio.ensure_future(
        route.dispatcher.acquire(make_head(route.timers, deadline_s=1.0))
    )
    await route.timers.advance(1.0)
    refusal = waiting.result()
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.NOT_RUN_NO_ENDPOINT
