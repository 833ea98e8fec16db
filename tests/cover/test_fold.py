"""Which records the fold accepts, and with what code it refuses others."""

from coltsfootseam.results import ResultCode
from coltsfootseam.state import (
    ClaimPhase,
    ContractAmended,
    ContractPublished,
    FleetState,
    HostDownSet,
    HostDrainReserved,
    HostReleased,
    MemberExpired,
    MemberLeft,
    fold_record,
)
from tests.common.states import (
    claim_hosts,
    fold_body,
    make_claim,
    make_contract,
    make_join,
    make_pool,
    make_record,
    make_state,
)


def test_a_contract_is_published_once() -> None:
    state = make_state()
    outcome = fold_body(state, ContractPublished(make_contract()))
    assert outcome.code is ResultCode.CONTRACT_EXISTS
    assert state.contracts_by_customer["customer"].version == 1


def test_of_two_racing_amendments_one_is_refused() -> None:
    state = make_state(members=2)
    larger = make_contract("customer", make_pool(hosts_at_most=5))
    smaller = make_contract("customer", make_pool(hosts_at_most=3))
    first = fold_body(state, ContractAmended(larger, 1))
    second = fold_body(state, ContractAmended(smaller, 1), author="entry-1")
    assert first.code is ResultCode.OK
    assert second.code is ResultCode.VERSION_CONFLICT
    accepted = state.contracts_by_customer["customer"]
    assert accepted.contract == larger
    assert accepted.version == 2


def test_a_second_copy_of_a_record_has_the_first_outcome_and_no_effect() -> (
    None
):
    state = make_state()
    contract = make_contract("customer", make_pool(hosts_at_most=5))
    record = make_record(ContractAmended(contract, 1))
    first = fold_record(state, state.offset + 1, record)
    second = fold_record(state, state.offset + 1, record)
    assert second == first
    assert state.contracts_by_customer["customer"].version == 2


def test_a_refused_contract_changes_nothing() -> None:
    state = make_state()
    conflicting = make_contract("other")
    outcome = fold_body(state, ContractPublished(conflicting))
    assert outcome.code is ResultCode.POOL_IN_TWO_CONTRACTS
    assert list(state.contracts_by_customer) == ["customer"]


def test_a_host_belongs_to_one_pool_whoever_races() -> None:
    contract = make_contract("customer", make_pool(), make_pool("pool-b"))
    state = make_state(members=2, contract=contract)
    first = fold_body(state, make_claim("host-0", "pool-a"))
    second = fold_body(state, make_claim("host-0", "pool-b"), author="entry-1")
    assert first.code is ResultCode.OK
    assert second.code is ResultCode.HOST_OWNED
    assert state.claims_by_host_id["host-0"].pool == "pool-a"


def test_a_released_host_is_claimed_only_on_its_latest_version() -> None:
    state = make_state()
    claim_hosts(state, "pool-a", 1)
    fold_body(state, HostDrainReserved("host-0", 1, "test"))
    fold_body(state, HostReleased("host-0", 2))
    stale = fold_body(state, make_claim("host-0", expected_version=0))
    fresh = fold_body(state, make_claim("host-0", expected_version=3))
    assert stale.code is ResultCode.VERSION_CONFLICT
    assert fresh.code is ResultCode.OK
    assert state.claims_by_host_id["host-0"].version == 4


def test_a_host_that_still_takes_work_is_not_released() -> None:
    state = make_state()
    claim_hosts(state, "pool-a", 1)
    outcome = fold_body(state, HostReleased("host-0", 1))
    assert outcome.code is ResultCode.HOST_PHASE


def test_a_drain_beyond_the_availability_budget_is_refused() -> None:
    state = make_state()
    claim_hosts(state, "pool-a", 4)
    first = fold_body(state, HostDrainReserved("host-0", 1, "test"))
    second = fold_body(state, HostDrainReserved("host-1", 1, "test"))
    assert first.code is ResultCode.OK
    assert second.code is ResultCode.BUDGET_SPENT
    assert state.claims_by_host_id["host-1"].phase is ClaimPhase.HELD


def test_a_failed_host_counts_against_drains() -> None:
    state = make_state()
    claim_hosts(state, "pool-a", 4)
    fold_body(state, HostDownSet("host-3", 1, True, "not listed"))
    outcome = fold_body(state, HostDrainReserved("host-0", 1, "test"))
    assert outcome.code is ResultCode.BUDGET_SPENT


def test_a_pool_takes_no_more_hosts_than_its_contract_allows() -> None:
    state = make_state()
    claim_hosts(state, "pool-a", 4)
    outcome = fold_body(state, make_claim("host-4"))
    assert outcome.code is ResultCode.POOL_FULL


def test_a_holder_whose_lease_expired_is_fenced() -> None:
    state = make_state(members=2)
    renewed = state.members_by_id["entry-0"].renewed_offset
    fold_body(state, MemberExpired("entry-0", 1, renewed), author="entry-1")
    late = fold_body(state, make_claim("host-0"), author="entry-0")
    renewal = fold_body(state, make_join(), author="entry-0")
    joined = fold_body(state, make_join(), author="entry-0", epoch=2)
    assert late.code is ResultCode.STALE_EPOCH
    assert renewal.code is ResultCode.STALE_EPOCH
    assert joined.code is ResultCode.OK


def test_an_expiry_that_raced_a_renewal_is_void() -> None:
    state = make_state(members=2)
    renewed = state.members_by_id["entry-0"].renewed_offset
    fold_body(state, make_join(), author="entry-0")
    expiry = MemberExpired("entry-0", 1, renewed)
    outcome = fold_body(state, expiry, author="entry-1")
    assert outcome.code is ResultCode.MEMBER_RENEWED
    assert "entry-0" in state.members_by_id


def test_of_two_processes_with_one_name_one_is_a_member() -> None:
    state = make_state()
    other = make_join(incarnation="second")
    same_epoch = fold_body(state, other, epoch=1)
    next_epoch = fold_body(state, other, epoch=2)
    fenced = fold_body(state, make_join(), epoch=1)
    assert same_epoch.code is ResultCode.STALE_EPOCH
    assert next_epoch.code is ResultCode.OK
    assert fenced.code is ResultCode.STALE_EPOCH


def test_a_member_that_left_needs_a_new_epoch() -> None:
    state = make_state(members=2)
    fold_body(state, MemberLeft(), author="entry-1")
    outcome = fold_body(state, make_join(1), author="entry-1", epoch=1)
    assert outcome.code is ResultCode.STALE_EPOCH
    assert list(state.members_by_id) == ["entry-0"]


def test_a_record_of_a_non_member_is_refused() -> None:
    state = FleetState()
    outcome = fold_body(state, ContractPublished(make_contract()))
    assert outcome.code is ResultCode.STALE_EPOCH
    assert state.contracts_by_customer == {}
