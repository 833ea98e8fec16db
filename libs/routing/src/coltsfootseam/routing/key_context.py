"""What the parts that look after idempotency keys share."""

from collections.abc import Callable

import msgspec

from coltsfootseam.observe import Observer
from coltsfootseam.peers import PeerClients
from coltsfootseam.routing.key_store import KeyStore
from coltsfootseam.state import FleetState
from coltsfootseam.timers import TimerService


class KeyContext(msgspec.Struct, frozen=True):
    """Handed to every part that looks after keys.

    Attributes:
        own_id: Name of this entry host.
        store: The keys that it holds.
        peers: Calls to other entry hosts.
        state: Returns the folded state.
        timers: Time.
        observer: Counters and events.
    """

    own_id: str
    store: KeyStore
    peers: PeerClients
    state: Callable[[], FleetState]
    timers: TimerService
    observer: Observer
