"""Requests and replies of the admin interface, encoded as JSON."""

from typing import Any

import msgspec

from coltsfootseam.contracts import Contract
from coltsfootseam.state import ContractVersion, FleetState, HostClaim


class ContractCommand(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A command that publishes or amends a contract.

    Attributes:
        record_id: Id of the record to propose. A command that is sent again
            under the same id takes effect once.
        contract: The contract, which the entry host validates.
        expected_version: Version to amend, 0 to publish.
    """

    record_id: str
    contract: dict[str, Any]
    expected_version: int = 0


class CommandReply(msgspec.Struct, frozen=True):
    """Outcome of a command.

    Attributes:
        code: Number of the result code.
        reason: Why the command was refused or its outcome is unknown.
        record_id: Id of the record.
        offset: Log offset of the record, -1 if it was not folded.
        in_force: Number of live entry hosts that have the record in force.
        live: Number of live entry hosts.
    """

    code: int
    reason: str
    record_id: str
    offset: int = -1
    in_force: int = 0
    live: int = 0


class ContractView(msgspec.Struct, frozen=True):
    """A version of a contract as shown to operators."""

    customer: str
    version: int
    offset: int
    author: str
    accepted_ms: int
    contract: Contract

    @classmethod
    def of(cls, version: ContractVersion) -> "ContractView":
        """Returns the view of an accepted version."""
        return cls(
            customer=version.contract.customer,
            version=version.version,
            offset=version.offset,
            author=version.author,
            accepted_ms=version.stamp.wall_ms,
            contract=version.contract,
        )


class HostView(msgspec.Struct, frozen=True):
    """A host of a pool."""

    host_id: str
    zone: str
    address: str
    phase: str
    down: bool
    cause: str


class PoolView(msgspec.Struct, frozen=True):
    """A pool with its availability budget and its hosts."""

    pool: str
    customer: str
    service: str
    hosts_at_most: int
    max_down: int
    down: int
    hosts: list[HostView]


class MemberView(msgspec.Struct, frozen=True):
    """An entry host that is a member."""

    member_id: str
    epoch: int
    region: str
    zone: str
    callers: str
    admin: str
    peers: str


class EntryStatus(msgspec.Struct, frozen=True):
    """Status of an entry host and the state it has in force.

    Attributes:
        entry_id: Id of the entry host.
        zone: Its availability zone.
        offset: Offset of the last record in force.
        digest: Digest of the state; hosts that agree have the same.
        ready: Whether the host accepts requests.
        not_ready_reason: Why it doesn't, empty if it is ready.
        holds_lease: Whether the host holds its lease.
        log_reachable: Whether the host can reach the log.
        log_went_back: Whether the log's offsets went back, so that records
            are lost.
        in_progress: Number of requests in progress.
        planner: Whether the host has the role of the planner.
        pools: Pools of all contracts.
        members: Entry hosts that are members.
        totals_by_counter: Totals of the host's counters.
    """

    entry_id: str
    zone: str
    offset: int
    digest: str
    ready: bool
    not_ready_reason: str
    holds_lease: bool
    log_reachable: bool
    log_went_back: bool
    in_progress: int
    planner: bool
    pools: list[PoolView]
    members: list[MemberView]
    totals_by_counter: dict[str, int]


def view_pools(state: FleetState) -> list[PoolView]:
    """Returns the pools of a state, sorted by name."""
    claims_by_pool = state.claims_by_pool()
    return [
        PoolView(
            pool=name,
            customer=named.customer,
            service=named.pool.service,
            hosts_at_most=named.pool.hosts_at_most,
            max_down=named.pool.max_down,
            down=sum(
                1
                for claim in claims_by_pool.get(name, [])
                if not claim.is_available()
            ),
            hosts=_view_hosts(claims_by_pool.get(name, [])),
        )
        for name, named in sorted(state.pools_by_name().items())
    ]


def view_members(state: FleetState) -> list[MemberView]:
    """Returns the members of a state, sorted by id."""
    return [
        MemberView(
            member_id=member.member_id,
            epoch=member.epoch,
            region=member.region,
            zone=member.zone,
            callers=member.callers,
            admin=member.admin,
            peers=member.peers,
        )
        for _, member in sorted(state.members_by_id.items())
    ]


def _view_hosts(claims: list[HostClaim]) -> list[HostView]:
    return [
        HostView(
            host_id=claim.host_id,
            zone=claim.zone,
            address=claim.address,
            phase=claim.phase.value,
            down=claim.down,
            cause=claim.cause,
        )
        for claim in claims
    ]
