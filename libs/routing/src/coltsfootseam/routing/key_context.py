"""The shared dependencies of the classes for idempotency keys."""

from collections.abc import Callable

import msgspec

from coltsfootseam.observe import Observer
from coltsfootseam.peers import PeerClients
from coltsfootseam.routing.key_store import KeyStore
from coltsfootseam.state import FleetState
from coltsfootseam.timers import TimerService


class KeyContext(msgspec.Struct, frozen=True):
    """The dependencies of ``KeyGuard`` and ``KeyHandover``.

    Attributes:
        own_id: Name of this entry host.
        store: The keys that this entry host holds.
        peers: Calls to other entry hosts.
        state: Returns the replicated state.
        timers: The clock and timers.
        observer: Counters and events.
    """

    own_id: str
    store: KeyStore
    peers: PeerClients
    state: Callable[[], FleetState]
    timers: TimerService
    observer: Observer
