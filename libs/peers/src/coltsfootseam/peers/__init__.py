"""Calls between entry hosts over gRPC."""

from coltsfootseam.peers.client import PeerClients, calling_peers
from coltsfootseam.peers.dispatch import (
    Acquire,
    AdoptReply,
    AdoptRequest,
    DispatchReply,
    DispatchSession,
    DispatchUpdate,
    EndpointFinding,
    HeldSlot,
    NewerTerm,
    Release,
    SlotGrant,
    SlotRefusal,
    Term,
)
from coltsfootseam.peers.messages import (
    Answer,
    FetchedEntry,
    FetchedState,
    Header,
    KeyCopy,
    KeyReservation,
    KeyVerdict,
    PeerStatus,
)
from coltsfootseam.peers.outbox import Outbox
from coltsfootseam.peers.server import PeerService, serving_peers

__all__ = [
    "Acquire",
    "AdoptReply",
    "AdoptRequest",
    "Answer",
    "DispatchReply",
    "DispatchSession",
    "DispatchUpdate",
    "EndpointFinding",
    "FetchedEntry",
    "FetchedState",
    "Header",
    "HeldSlot",
    "KeyCopy",
    "KeyReservation",
    "KeyVerdict",
    "NewerTerm",
    "Outbox",
    "PeerClients",
    "PeerService",
    "PeerStatus",
    "Release",
    "SlotGrant",
    "SlotRefusal",
    "Term",
    "calling_peers",
    "serving_peers",
]
