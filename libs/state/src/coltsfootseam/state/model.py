"""The state that every entry host folds from the log."""

import enum

import msgspec

from coltsfootseam.contracts import Contract, Pool
from coltsfootseam.observe import Stamp
from coltsfootseam.results import ResultCode

NO_OFFSET = -1


class ClaimPhase(enum.Enum):
    """Phase of a host in its pool."""

    HELD = "held"
    DRAINING = "draining"


class Member(msgspec.Struct):
    """An entry host that is a member.

    Attributes:
        member_id: Name of the entry host.
        epoch: Epoch of its lease.
        incarnation: Unique id of its process.
        region: Its region.
        zone: Its availability zone.
        callers: Address for callers.
        admin: Address for operators.
        peers: Address for other entry hosts.
        lease_ms: Length of its lease in milliseconds.
        renewed_offset: Offset of its latest renewal.
    """

    member_id: str
    epoch: int
    incarnation: str
    region: str
    zone: str
    callers: str
    admin: str
    peers: str
    lease_ms: int
    renewed_offset: int


class MemberLoss(msgspec.Struct, frozen=True):
    """The loss of a member that did not leave as planned.

    Such a member has not handed over what it held.

    Attributes:
        member_id: The entry host.
        wall_ms: When the record that ended the membership was made.
        members_before: The members until then, including this one.
    """

    member_id: str
    wall_ms: int
    members_before: list[str]


class HostClaim(msgspec.Struct):
    """The ownership of a host by one pool.

    Attributes:
        host_id: The host.
        pool: The pool that owns it.
        version: Incremented by every accepted change of the host.
        phase: Whether it is held or draining.
        down: Whether the platform lists it as leaving, or no longer lists it.
        zone: Its availability zone.
        address: IP and port of its endpoint.
        slots: Number of requests that its endpoint runs concurrently.
        connections: Number of connections that its endpoint accepts.
        changed_offset: Offset of its latest accepted change.
        cause: Why its phase or availability last changed.
    """

    host_id: str
    pool: str
    version: int
    phase: ClaimPhase
    down: bool
    zone: str
    address: str
    slots: int
    connections: int
    changed_offset: int
    cause: str

    def is_available(self) -> bool:
        """Returns whether the host may get new requests."""
        return self.phase is ClaimPhase.HELD and not self.down


class ContractVersion(msgspec.Struct, frozen=True):
    """One accepted version of a contract.

    Attributes:
        contract: The contract.
        version: Its number, from 1 for each customer.
        offset: Offset of the accepted record.
        record_id: Id of that record.
        author: Entry host that appended it.
        stamp: When the record was made.
    """

    contract: Contract
    version: int
    offset: int
    record_id: str
    author: str
    stamp: Stamp


class Outcome(msgspec.Struct, frozen=True):
    """The result of folding a record.

    Attributes:
        code: ``OK``, or why the record was refused.
        reason: Why it was refused, as text.
        offset: Offset of the record.
    """

    code: ResultCode
    reason: str
    offset: int


class ServicePool(msgspec.Struct, frozen=True):
    """A pool and the customer whose contract names it."""

    customer: str
    pool: Pool


class FleetState(msgspec.Struct):
    """The state that all entry hosts agree on through the log.

    Attributes:
        offset: Offset of the last folded record, -1 before the first.
        contracts_by_customer: The current contract of each customer.
        history_by_customer: Latest versions of each contract, oldest first.
        members_by_id: The current members.
        members_offset: Offset of the latest change of the members.
        losses: The latest losses of members, oldest first.
        ended_epochs_by_member_id: Highest lease epoch that has ended.
        claims_by_host_id: The hosts that belong to pools.
        versions_by_host_id: Latest version of each host ever claimed.
        outcomes_by_record_id: Outcomes of the latest commands, oldest first.
    """

    offset: int = NO_OFFSET
    contracts_by_customer: dict[str, ContractVersion] = {}
    history_by_customer: dict[str, list[ContractVersion]] = {}
    members_by_id: dict[str, Member] = {}
    members_offset: int = NO_OFFSET
    losses: list[MemberLoss] = []
    ended_epochs_by_member_id: dict[str, int] = {}
    claims_by_host_id: dict[str, HostClaim] = {}
    versions_by_host_id: dict[str, int] = {}
    outcomes_by_record_id: dict[str, Outcome] = {}

    def pools_by_name(self) -> dict[str, ServicePool]:
        """Returns the pools of all current contracts."""
        return {
            pool.name: ServicePool(customer, pool)
            for customer, version in self.contracts_by_customer.items()
            for pool in version.contract.pools
        }

    def claims_by_pool(self) -> dict[str, list[HostClaim]]:
        """Returns the claims of each pool with hosts, sorted by host id."""
        claims_by_pool: dict[str, list[HostClaim]] = {}
        for _, claim in sorted(self.claims_by_host_id.items()):
            claims_by_pool.setdefault(claim.pool, []).append(claim)
        return claims_by_pool

    def claims_of_pool(self, pool: str) -> list[HostClaim]:
        """Returns the claims of a pool's hosts, sorted by host id."""
        claims = [
            claim
            for claim in self.claims_by_host_id.values()
            if claim.pool == pool
        ]
        return sorted(claims, key=lambda claim: claim.host_id)
