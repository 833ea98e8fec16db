"""The fold keeps its invariants for any sequence of proposals."""

import copy

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from coltsfootseam.results import ResultCode
from coltsfootseam.state import (
    Body,
    ContractAmended,
    FleetState,
    HostDownSet,
    HostDrainReserved,
    HostReleased,
    MemberExpired,
    MemberLeft,
    Outcome,
    Record,
    decode_record,
    decode_state,
    digest_state,
    encode_record,
    encode_state,
    fold_record,
)
from coltsfootseam.testbed import LogReplay
from tests.common.states import (
    make_claim,
    make_contract,
    make_join,
    make_pool,
    make_record,
    make_state,
)

MEMBERS = st.integers(min_value=0, max_value=2)
HOSTS = st.integers(min_value=0, max_value=3).map(lambda n: f"host-{n}")
POOLS = st.sampled_from(["pool-a", "pool-b"])
VERSION_ERRORS = st.sampled_from([0, 0, 0, 0, 1, -1])
SIZES = st.integers(min_value=1, max_value=4)


class FoldMachine(RuleBasedStateMachine):
    """Members propose concurrently, some with stale versions or epochs."""

    def __init__(self) -> None:
        super().__init__()
        pools = (make_pool(), make_pool("pool-b"))
        self.state = make_state(3, make_contract("customer", *pools))
        self.replay = LogReplay()
        self.replay.state = copy.deepcopy(self.state)
        self.records: list[Record] = []
        for number in range(3):
            self.propose(make_claim(f"host-{number}"), 0)

    def propose(
        self, body: Body, member: int, epoch: int | None = None
    ) -> None:
        author = f"entry-{member}"
        current = self.state.members_by_id.get(author)
        if epoch is None:
            epoch = 1 if current is None else current.epoch
        self.fold(make_record(body, author, epoch))

    def fold(self, record: Record) -> Outcome:
        offset = self.state.offset + 1
        self.records.append(record)
        self.replay.add(offset, record)
        return fold_record(self.state, offset, record)

    def version_of(self, host_id: str) -> int:
        return self.state.versions_by_host_id.get(host_id, 0)

    @rule(host_id=HOSTS, pool=POOLS, member=MEMBERS, error=VERSION_ERRORS)
    def claim(self, host_id: str, pool: str, member: int, error: int) -> None:
        version = self.version_of(host_id) + error
        self.propose(make_claim(host_id, pool, version), member)

    @rule(host_id=HOSTS, member=MEMBERS, error=VERSION_ERRORS)
    def drain(self, host_id: str, member: int, error: int) -> None:
        version = self.version_of(host_id) + error
        self.propose(HostDrainReserved(host_id, version, "test"), member)

    @rule(
        host_id=HOSTS, member=MEMBERS, error=VERSION_ERRORS, down=st.booleans()
    )
    def observe(
        self, host_id: str, member: int, error: int, down: bool
    ) -> None:
        version = self.version_of(host_id) + error
        self.propose(HostDownSet(host_id, version, down, "test"), member)

    @rule(host_id=HOSTS, member=MEMBERS, error=VERSION_ERRORS)
    def release(self, host_id: str, member: int, error: int) -> None:
        version = self.version_of(host_id) + error
        self.propose(HostReleased(host_id, version), member)

    @rule(member=MEMBERS, size=SIZES, budget=SIZES, error=VERSION_ERRORS)
    def amend(self, member: int, size: int, budget: int, error: int) -> None:
        pool = make_pool(hosts_at_most=size, max_down=min(budget, size))
        contract = make_contract("customer", pool, make_pool("pool-b"))
        current = self.state.contracts_by_customer["customer"].version
        self.propose(ContractAmended(contract, current + error), member)

    @rule(member=MEMBERS, error=VERSION_ERRORS)
    def join(self, member: int, error: int) -> None:
        ended = self.state.ended_epochs_by_member_id.get(f"entry-{member}", 0)
        self.propose(make_join(member), member, ended + 1 + error)

    @precondition(lambda machine: len(machine.state.members_by_id) == 3)
    @rule(member=MEMBERS, other=MEMBERS)
    def expire(self, member: int, other: int) -> None:
        target = self.state.members_by_id.get(f"entry-{other}")
        if target is not None:
            body = MemberExpired(
                target.member_id, target.epoch, target.renewed_offset
            )
            self.propose(body, member)

    @precondition(lambda machine: len(machine.state.members_by_id) == 3)
    @rule(member=MEMBERS)
    def leave(self, member: int) -> None:
        self.propose(MemberLeft(), member)

    @rule(number=st.integers(min_value=0, max_value=200))
    def append_duplicate(self, number: int) -> None:
        if self.records:
            self.fold(self.records[number % len(self.records)])

    @invariant()
    def a_host_has_one_owner(self) -> None:
        assert self.replay.findings.host_in_two_pools == 0

    @invariant()
    def no_drain_breaks_a_budget(self) -> None:
        assert self.replay.findings.budget_breaches == 0

    @invariant()
    def the_fold_is_the_same_everywhere(self) -> None:
        assert digest_state(self.replay.state) == digest_state(self.state)

    def teardown(self) -> None:
        restored = decode_state(encode_state(self.state))
        assert isinstance(restored, FleetState)
        assert digest_state(restored) == digest_state(self.state)
        for record in self.records:
            assert decode_record(encode_record(record)) == record


FoldMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
TestFold = FoldMachine.TestCase


def test_the_replay_detects_a_drain_over_budget() -> None:
    """Guards against a check of budgets that can't fail.

    The test changes the pool of a host that is down directly in the state, so
    that the fold accepts a drain over the budget.
    """
    replay = LogReplay()
    replay.state = make_state(1, make_contract())
    bodies: list[Body] = [
        make_claim("host-0"),
        make_claim("host-1"),
        HostDrainReserved("host-0", 1, "test"),
        HostDownSet("host-0", 2, True, "test"),
    ]
    for body in bodies:
        replay.add(replay.state.offset + 1, make_record(body))
    claim = replay.state.claims_by_host_id["host-0"]
    claim.pool = "pool-z"
    drain = make_record(HostDrainReserved("host-1", 1, "test"))
    replay.add(replay.state.offset + 1, drain)
    assert replay.findings.budget_breaches == 1
    assert (
        replay.state.outcomes_by_record_id[drain.record_id].code
        is ResultCode.OK
    )
