"""The planner derives the next step for each host."""

from coltsfootseam.fleet import PlanInput, plan_ownership
from coltsfootseam.platform import HostState, ListedHost
from coltsfootseam.results import ResultCode
from coltsfootseam.state import (
    Body,
    ContractAmended,
    FleetState,
    HostClaimed,
    HostDownSet,
    HostDrainReserved,
    HostReleased,
)
from tests.common.states import (
    claim_hosts,
    fold_body,
    make_claim,
    make_contract,
    make_pool,
    make_state,
)


def make_listed_hosts(
    count: int, state: HostState = HostState.LIVE
) -> dict[str, ListedHost]:
    hosts = {}
    for number in range(count):
        claim = make_claim(f"host-{number}")
        hosts[claim.host_id] = ListedHost(
            host_id=claim.host_id,
            zone=claim.zone,
            rack=f"rack-{number // 4}",
            address=claim.address,
            slots=8,
            connections=64,
            state=state,
        )
    return hosts


def plan(
    state: FleetState,
    hosts_by_id: dict[str, ListedHost],
    idle: frozenset[str] = frozenset(),
) -> list[Body]:
    return plan_ownership(PlanInput(state, hosts_by_id, idle))


def fold_until_settled(
    state: FleetState, hosts_by_id: dict[str, ListedHost]
) -> int:
    """Folds plans until nothing is due; draining hosts are idle at once."""
    steps = 0
    while bodies := plan(state, hosts_by_id, frozenset(hosts_by_id)):
        steps += 1
        assert steps < 50
        for body in bodies:
            assert fold_body(state, body).code is ResultCode.OK
    return steps


def test_free_hosts_fill_pools_evenly_and_spread_over_zones() -> None:
    contract = make_contract("customer", make_pool(), make_pool("pool-b"))
    state = make_state(contract=contract)
    fold_until_settled(state, make_listed_hosts(6))
    for pool in ("pool-a", "pool-b"):
        zones = [claim.zone for claim in state.claims_of_pool(pool)]
        assert sorted(zones) == ["zone-a", "zone-b", "zone-c"]


def test_no_pool_gets_more_than_its_contract_allows() -> None:
    state = make_state()
    fold_until_settled(state, make_listed_hosts(9))
    assert len(state.claims_of_pool("pool-a")) == 4


def test_a_smaller_contract_drains_within_the_budget_and_releases() -> None:
    state = make_state()
    claim_hosts(state, "pool-a", 4)
    smaller = make_contract("customer", make_pool(hosts_at_most=2))
    fold_body(state, ContractAmended(smaller, 1))
    hosts_by_id = make_listed_hosts(4)
    first = plan(state, hosts_by_id)
    assert [type(body) for body in first] == [HostDrainReserved]
    fold_until_settled(state, hosts_by_id)
    assert len(state.claims_of_pool("pool-a")) == 2


def test_a_draining_host_is_kept_until_it_is_idle() -> None:
    state = make_state()
    claim_hosts(state, "pool-a", 1)
    fold_body(state, HostDrainReserved("host-0", 1, "test"))
    assert plan(state, make_listed_hosts(1)) == []
    released = plan(state, make_listed_hosts(1), frozenset({"host-0"}))
    assert released == [HostReleased("host-0", 2)]


def test_a_host_listed_as_leaving_is_down_and_back_when_live() -> None:
    state = make_state()
    claim_hosts(state, "pool-a", 1)
    leaving = plan(state, make_listed_hosts(1, HostState.LEAVING))
    assert leaving == [HostDownSet("host-0", 1, True, "listed as leaving")]
    fold_body(state, leaving[0])
    assert plan(state, make_listed_hosts(1, HostState.LEAVING)) == []
    assert plan(state, make_listed_hosts(1)) == [
        HostDownSet("host-0", 2, False, "listed as live")
    ]


def test_a_lost_host_is_released_and_replaced() -> None:
    state = make_state()
    claim_hosts(state, "pool-a", 4)
    hosts_by_id = make_listed_hosts(5)
    del hosts_by_id["host-2"]
    fold_until_settled(state, hosts_by_id)
    held = {claim.host_id for claim in state.claims_of_pool("pool-a")}
    assert held == {"host-0", "host-1", "host-3", "host-4"}


def test_a_host_with_a_new_address_is_claimed_again() -> None:
    state = make_state()
    claim_hosts(state, "pool-a", 1)
    moved = make_listed_hosts(2)["host-1"]
    host = ListedHost(
        host_id="host-0",
        zone="zone-a",
        rack=moved.rack,
        address=moved.address,
        slots=8,
        connections=64,
        state=HostState.LIVE,
    )
    fold_until_settled(state, {"host-0": host})
    assert state.claims_by_host_id["host-0"].address == moved.address


def test_hosts_of_a_pool_that_no_contract_names_are_released() -> None:
    contract = make_contract("customer", make_pool(), make_pool("pool-b"))
    state = make_state(contract=contract)
    fold_until_settled(state, make_listed_hosts(8))
    fold_body(state, ContractAmended(make_contract(), 1))
    fold_until_settled(state, make_listed_hosts(8))
    assert state.claims_of_pool("pool-b") == []
    assert len(state.claims_of_pool("pool-a")) == 4


def test_a_lost_reply_does_not_change_the_plan() -> None:
    state = make_state()
    bodies = plan(state, make_listed_hosts(1))
    assert plan(state, make_listed_hosts(1)) == bodies
    assert isinstance(bodies[0], HostClaimed)
    fold_body(state, bodies[0])
    repeated = fold_body(state, bodies[0])
    assert repeated.code is ResultCode.HOST_OWNED
    assert plan(state, make_listed_hosts(1)) == []
