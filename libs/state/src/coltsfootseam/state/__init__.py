"""Records of the log and the state that is folded from them."""

from coltsfootseam.state.bodies import (
    Body,
    ContractAmended,
    ContractPublished,
    HostClaimed,
    HostDownSet,
    HostDrainReserved,
    HostReleased,
    LeaseRenewed,
    MemberExpired,
    MemberJoined,
    MemberLeft,
    SnapshotChunk,
)
from coltsfootseam.state.fold import fold_record
from coltsfootseam.state.model import (
    ClaimPhase,
    ContractVersion,
    FleetState,
    HostClaim,
    Member,
    MemberLoss,
    Outcome,
    ServicePool,
)
from coltsfootseam.state.records import Record, decode_record, encode_record
from coltsfootseam.state.rendezvous import rank_members, score
from coltsfootseam.state.snapshot import (
    CompleteSnapshot,
    SnapshotAssembler,
    decode_state,
    digest_state,
    encode_state,
    split_snapshot,
)

__all__ = [
    "Body",
    "ClaimPhase",
    "CompleteSnapshot",
    "ContractAmended",
    "ContractPublished",
    "ContractVersion",
    "FleetState",
    "HostClaim",
    "HostClaimed",
    "HostDownSet",
    "HostDrainReserved",
    "HostReleased",
    "LeaseRenewed",
    "Member",
    "MemberExpired",
    "MemberJoined",
    "MemberLeft",
    "MemberLoss",
    "Outcome",
    "Record",
    "ServicePool",
    "SnapshotAssembler",
    "SnapshotChunk",
    "decode_record",
    "decode_state",
    "digest_state",
    "encode_record",
    "encode_state",
    "fold_record",
    "rank_members",
    "score",
    "split_snapshot",
]
