"""When the store last replied to each host, as the hosts tell each other."""

import asyncio
from collections.abc import Iterable

import msgspec

from coltsfootseam.calls import (
    ASK_REACH,
    ReachabilityReply,
    ReachabilityRequest,
)
from coltsfootseam.manager.context import Context

_CALL_TIMEOUT_S = 0.4


class StoreContact(msgspec.Struct, frozen=True):
    """When the store last replied to a host, in this host's monotonic seconds.

    The reply of a peer takes time, so the moment is known within bounds. A
    process knows nothing of the time before its start, which therefore counts
    as the earliest possible contact.

    Attributes:
        asked_s: When the host was asked.
        silence_s: For how long the store had not replied to the host.
        earliest_s: The contact was not before.
        latest_s: The contact was not after.
    """

    asked_s: float
    silence_s: float
    earliest_s: float
    latest_s: float


class StoreContacts:
    """Asks hosts when the store last replied to them, and keeps the replies.

    Attributes:
        by_address: The latest reply of each peer.
    """

    __slots__ = ("_context", "_started_s", "by_address")

    def __init__(self, context: Context) -> None:
        self._context = context
        self._started_s = context.timers.now_s()
        self.by_address: dict[str, StoreContact] = {}

    def uptime_s(self) -> float:
        """Returns the time since this process started."""
        return self._context.timers.now_s() - self._started_s

    def of(self, address: str) -> StoreContact | None:
        """Returns what is known of a host, ``None`` if it never replied."""
        if address != self._context.address:
            return self.by_address.get(address)
        now_s = self._context.timers.now_s()
        store = self._context.ports.store
        last_s = max(store.last_reply_s, self._started_s)
        return StoreContact(now_s, store.unanswered_s(), last_s, last_s)

    async def ask(self, addresses: Iterable[str]) -> None:
        """Asks peers side by side; a peer without a reply changes nothing."""
        await asyncio.gather(*(self._ask(address) for address in addresses))

    async def _ask(self, address: str) -> None:
        asked_s = self._context.timers.now_s()
        reply = await self._context.peers.call(
            address, ASK_REACH, ReachabilityRequest(), _CALL_TIMEOUT_S
        )
        if not isinstance(reply, ReachabilityReply):
            return
        # Without contact since then, or since the start of the peer's process.
        age_s = min(reply.store_unanswered_s, reply.uptime_s)
        self.by_address[address] = StoreContact(
            asked_s,
            reply.store_unanswered_s,
            asked_s - age_s,
            self._context.timers.now_s() - age_s,
        )
