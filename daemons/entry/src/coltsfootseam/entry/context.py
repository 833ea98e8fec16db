"""What every part of an entry host uses."""

import aiohttp
import msgspec

from coltsfootseam.observe import Observer
from coltsfootseam.peers import PeerClients
from coltsfootseam.settings import EntrySettings
from coltsfootseam.timers import TimerService

MS_PER_S = 1000


class EntryContext(msgspec.Struct, frozen=True):
    """What every other part of an entry host uses.

    Attributes:
        settings: Its settings.
        timers: The time.
        observer: Events and counters.
        session: HTTP connections to the platform.
        peers: Calls to other entry hosts.
    """

    settings: EntrySettings
    timers: TimerService
    observer: Observer
    session: aiohttp.ClientSession
    peers: PeerClients
