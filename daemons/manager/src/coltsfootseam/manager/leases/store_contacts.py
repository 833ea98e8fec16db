"""When the store last replied to each host, as the hosts tell each other."""

import asyncio
from collections.abc import Iterable

import msgspec

from coltsfootseam.calls import (
    ASK_REACH,
    ReachabilityReply,
    ReachabilityRequest,
)
from coltsfootseam.manager.background import start_once
from coltsfootseam.manager.context import Context

_CALL_TIMEOUT_S = 0.4
_MIN_REQUEST_INTERVAL_S = 0.2


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

    __slots__ = ("_context", "_requests_by_address", "_started_s", "by_address")

    def __init__(self, context: Context) -> None:
        self._context = context
        self._started_s = context.timers.now_s()
        self._requests_by_address: dict[str, asyncio.Task[None]] = {}
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

    async def ask(self, addresses: Iterable[str]) -> dict[str, StoreContact]:
        """Asks peers side by side; returns what those that replied said."""
        asked = list(addresses)
        replies = await asyncio.gather(*map(self._ask, asked))
        return {
            address: reply
            for address, reply in zip(asked, replies, strict=True)
            if reply is not None
        }

    def request(self, addresses: Iterable[str]) -> None:
        """Asks peers in the background, unless they were asked just now."""
        asked_after_s = self._context.timers.now_s() - _MIN_REQUEST_INTERVAL_S
        for address in addresses:
            known = self.by_address.get(address)
            is_recent = known is not None and known.asked_s > asked_after_s
            if not is_recent and address not in self._requests_by_address:
                self._start_request(address)

    def _start_request(self, address: str) -> None:
        async def request() -> None:
            await self._ask(address)

        task = start_once(self._context, f"contact of {address}", request)
        self._requests_by_address[address] = task
        task.add_done_callback(
            lambda done: self._requests_by_address.pop(address, None)
        )

    async def _ask(self, address: str) -> StoreContact | None:
        asked_s = self._context.timers.now_s()
        reply = await self._context.peers.call(
            address, ASK_REACH, ReachabilityRequest(), _CALL_TIMEOUT_S
        )
        if not isinstance(reply, ReachabilityReply):
            return None
        # Without contact since then, or since the start of the peer's process.
        age_s = min(reply.store_unanswered_s, reply.uptime_s)
        contact = StoreContact(
            asked_s,
            reply.store_unanswered_s,
            asked_s - age_s,
            self._context.timers.now_s() - age_s,
        )
        self.by_address[address] = contact
        return contact
