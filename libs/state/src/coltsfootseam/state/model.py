"""The state that every entry host holds in memory."""

import enum

import msgspec

from coltsfootseam.contracts import Contract, Pool
from coltsfootseam.observe import Stamp
from coltsfootseam.results import ResultCode

NO_OFFSET = -1


class ClaimPhase(enum.Enum):
    """Where a host stands in its pool."""

    HELD = "held"
    DRAINING = "draining"


class Member(msgspec.Struct):
    """An entry host whose membership is in force.

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
        renewed_offset: Offset of its newest renewal.
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
    """A member that ended without having handed over what it held.

    Attributes:
        member_id: The entry host.
        wall_ms: When the record that tells of it was made.
        members_before: The members until then, itself included.
    """

    member_id: str
    wall_ms: int
    members_before: list[str]


class HostClaim(msgspec.Struct):
    """A host's place in the one pool that it belongs to.

    Attributes:
        host_id: The host.
        pool: Its pool.
        version: Grows with every accepted change of the host.
        phase: Whether it takes new work.
        down: Whether the platform lists it as leaving or lost.
        zone: Its availability zone.
        address: IP and port of its endpoint.
        slots: Requests that its endpoint runs at once.
        connections: Connections that its endpoint accepts at once.
        changed_offset: Offset of its newest accepted change.
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
        """Tells whether the host may be given new work."""
        return self.phase is ClaimPhase.HELD and not self.down


class ContractVersion(msgspec.Struct, frozen=True):
    """One accepted version of a contract.

    Attributes:
        contract: The contract.
        version: Counts from 1 for each customer.
        offset: Offset of the record that was accepted.
        record_id: Id of that record.
        author: Entry host that appended it.
        stamp: When it was made.
    """

    contract: Contract
    version: int
    offset: int
    record_id: str
    author: str
    stamp: Stamp


class Outcome(msgspec.Struct, frozen=True):
    """What the fold made of a record.

    Attributes:
        code: ``OK`` or the reason's code.
        reason: Why it was refused.
        offset: Offset of the record.
    """

    code: ResultCode
    reason: str
    offset: int


class ServicePool(msgspec.Struct, frozen=True):
    """A pool together with the customer whose contract names it."""

    customer: str
    pool: Pool


class FleetState(msgspec.Struct):
    """Everything that is agreed through the log.

    Attributes:
        offset: Offset of the last record folded, -1 before the first.
        contracts_by_customer: The contract in force for each customer.
        history_by_customer: Newest versions of each contract, oldest first.
        members_by_id: Entry hosts whose membership is in force.
        members_offset: Offset of the newest change of membership.
        losses: The newest losses of members, oldest first.
        ended_epochs_by_member_id: Highest lease epoch that has ended.
        claims_by_host_id: The hosts that belong to pools.
        versions_by_host_id: Last version of each host ever claimed.
        outcomes_by_record_id: Outcomes of the newest commands, oldest first.
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
        """Returns the pools of all contracts in force."""
        return {
            pool.name: ServicePool(customer, pool)
            for customer, version in self.contracts_by_customer.items()
            for pool in version.contract.pools
        }

    def claims_by_pool(self) -> dict[str, list[HostClaim]]:
        """Returns the claims of every pool that holds hosts, by host id."""
        claims_by_pool: dict[str, list[HostClaim]] = {}
        for _, claim in sorted(self.claims_by_host_id.items()):
            claims_by_pool.setdefault(claim.pool, []).append(claim)
        return claims_by_pool

    def claims_of_pool(self, pool: str) -> list[HostClaim]:
        """Returns the claims of a pool's hosts, by host id."""
        claims = [
            claim
            for claim in self.claims_by_host_id.values()
            if claim.pool == pool
        ]
        return sorted(claims, key=lambda claim: claim.host_id)
