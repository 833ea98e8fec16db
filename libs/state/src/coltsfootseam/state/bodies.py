"""The kinds of records that the log carries.

Every record is a proposal; the fold accepts or refuses it.
"""

import msgspec

from coltsfootseam.contracts import Contract


class ContractPublished(msgspec.Struct, frozen=True, tag="contract.published"):
    """Proposes the first contract of a customer."""

    contract: Contract


class ContractAmended(msgspec.Struct, frozen=True, tag="contract.amended"):
    """Proposes a new version of a customer's contract.

    Attributes:
        contract: The whole new contract.
        expected_version: Version that the operator amended.
    """

    contract: Contract
    expected_version: int


class MemberJoined(msgspec.Struct, frozen=True, tag="member.joined"):
    """Joins an entry host and begins its membership lease.

    Attributes:
        incarnation: Unique id of the process, which tells apart two processes
            that run under the same name.
        region: Region of the entry host.
        zone: Availability zone of the entry host.
        callers: Address for callers.
        admin: Address for operators.
        peers: Address for other entry hosts.
        lease_ms: Length of the lease in milliseconds.
    """

    incarnation: str
    region: str
    zone: str
    callers: str
    admin: str
    peers: str
    lease_ms: int


class LeaseRenewed(msgspec.Struct, frozen=True, tag="lease.renewed"):
    """Renews the author's lease.

    Every entry host reads every renewal, so it carries nothing but the
    record's author and epoch.
    """


class MemberLeft(msgspec.Struct, frozen=True, tag="member.left"):
    """Ends the author's membership after a planned stop."""


class MemberExpired(msgspec.Struct, frozen=True, tag="member.expired"):
    """Ends a membership whose lease has lapsed.

    Attributes:
        member_id: The entry host whose lease lapsed.
        member_epoch: Epoch of that lease.
        renewed_offset: Offset of the newest renewal that the author has
            folded. A renewal after it makes this record void.
    """

    member_id: str
    member_epoch: int
    renewed_offset: int


class HostClaimed(msgspec.Struct, frozen=True, tag="host.claimed"):
    """Proposes that a free host becomes part of a pool.

    Attributes:
        host_id: The host.
        pool: The pool.
        zone: Availability zone of the host.
        address: IP and port of the endpoint on the host.
        slots: Requests that the endpoint runs at once.
        connections: Connections that the endpoint accepts at once.
        expected_version: Version of the host that this was decided on, 0 for
            one never claimed.
    """

    host_id: str
    pool: str
    zone: str
    address: str
    slots: int
    connections: int
    expected_version: int


class HostDrainReserved(msgspec.Struct, frozen=True, tag="host.drain"):
    """Reserves one host of the pool's availability budget for a drain."""

    host_id: str
    expected_version: int
    cause: str


class HostDownSet(msgspec.Struct, frozen=True, tag="host.down"):
    """Records that the platform lists a host as leaving, lost or live again."""

    host_id: str
    expected_version: int
    down: bool
    cause: str


class HostReleased(msgspec.Struct, frozen=True, tag="host.released"):
    """Frees a host whose drain is complete, or that is gone."""

    host_id: str
    expected_version: int


class SnapshotChunk(msgspec.Struct, frozen=True, tag="snapshot.chunk"):
    """One part of a snapshot of the state.

    Attributes:
        snapshot_id: Unique id of the snapshot.
        state_offset: Offset of the last record that the state includes.
        index: Position of this chunk, from 0.
        total: Number of chunks.
        data: Part of the encoded state, in base64.
    """

    snapshot_id: str
    state_offset: int
    index: int
    total: int
    data: str


Body = (
    ContractPublished
    | ContractAmended
    | MemberJoined
    | LeaseRenewed
    | MemberLeft
    | MemberExpired
    | HostClaimed
    | HostDrainReserved
    | HostDownSet
    | HostReleased
    | SnapshotChunk
)
