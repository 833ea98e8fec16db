"""gRPC between entry hosts."""

from coltsfootseam.peers.client import PeerClients, calling_peers
from coltsfootseam.peers.messages import (
    Answer,
    FetchedEntry,
    FetchedState,
    Header,
    KeyReservation,
    KeyVerdict,
    PeerStatus,
)
from coltsfootseam.peers.server import PeerService, serving_peers

__all__ = [
    "Answer",
    "FetchedEntry",
    "FetchedState",
    "Header",
    "KeyReservation",
    "KeyVerdict",
    "PeerClients",
    "PeerService",
    "PeerStatus",
    "calling_peers",
    "serving_peers",
]
