"""The objects that all components of an entry host share."""

import aiohttp
import msgspec

from coltsfootseam.observe import Observer
from coltsfootseam.peers import PeerClients
from coltsfootseam.settings import EntrySettings
from coltsfootseam.timers import TimerService

MS_PER_S = 1000


class EntryContext(msgspec.Struct, frozen=True):
    """The objects that all components of an entry host share.

    Attributes:
        settings: Settings of the entry host.
        timers: Clock and timers.
        observer: Events and counters.
        session: HTTP connections to the platform.
        peers: Clients for calls to other entry hosts.
    """

    settings: EntrySettings
    timers: TimerService
    observer: Observer
    session: aiohttp.ClientSession
    peers: PeerClients
