"""Bodies of the records in the log.

Every record is a proposal, which the fold accepts or refuses.
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
        expected_version: Version that the amendment is based on.
    """

    contract: Contract
    expected_version: int


class MemberJoined(msgspec.Struct, frozen=True, tag="member.joined"):
    """Adds an entry host to the members and starts its lease.

    Attributes:
        incarnation: Unique id of the process, which distinguishes processes
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

    Every entry host reads every renewal, so the body is empty: the author and
    the epoch of the record suffice.
    """


class MemberLeft(msgspec.Struct, frozen=True, tag="member.left"):
    """Ends the author's membership after a planned stop."""


class MemberExpired(msgspec.Struct, frozen=True, tag="member.expired"):
    """Ends a membership whose lease has lapsed.

    Attributes:
        member_id: The entry host whose lease lapsed.
        member_epoch: Epoch of that lease.
        renewed_offset: Offset of the latest renewal that the author has
            folded. The record is refused if a later renewal precedes it.
    """

    member_id: str
    member_epoch: int
    renewed_offset: int


class HostClaimed(msgspec.Struct, frozen=True, tag="host.claimed"):
    """Proposes to add a free host to a pool.

    Attributes:
        host_id: The host.
        pool: The pool.
        zone: Availability zone of the host.
        address: IP and port of the endpoint on the host.
        slots: Number of requests that the endpoint runs concurrently.
        connections: Number of connections that the endpoint accepts.
        expected_version: Version of the host that the proposal is based on, 0
            for one that was never claimed.
    """

    host_id: str
    pool: str
    zone: str
    address: str
    slots: int
    connections: int
    expected_version: int


class HostDrainReserved(msgspec.Struct, frozen=True, tag="host.drain"):
    """Drains a host, which counts against the pool's availability budget."""

    host_id: str
    expected_version: int
    cause: str


class HostDownSet(msgspec.Struct, frozen=True, tag="host.down"):
    """Sets whether a host is down: listed as leaving, or no longer listed."""

    host_id: str
    expected_version: int
    down: bool
    cause: str


class HostReleased(msgspec.Struct, frozen=True, tag="host.released"):
    """Removes a host from its pool after its drain or its loss."""

    host_id: str
    expected_version: int


class SnapshotChunk(msgspec.Struct, frozen=True, tag="snapshot.chunk"):
    """A part of a snapshot of the state.

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
