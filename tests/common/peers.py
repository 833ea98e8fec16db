"""In-memory RPCs between hosts."""

import asyncio
import contextlib
from asyncio import FIRST_COMPLETED
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

from coltsfootseam.calls import Handler, Method
from coltsfootseam.results import Refusal, ResultCode
from tests.common.host_timers import HostTimers

LOST = object()
"""Stands for a reply that doesn't arrive."""
_LATENCY_S = 0.001


class MemoryPeers:
    """RPCs between hosts, without a network.

    Attributes:
        cut_addresses: Addresses that can't be reached.
        cut_links: Addresses of the sender and the receiver of the messages
            that are lost. A call whose reply is lost takes effect.
        calls_by_method: How many calls of each method were made.
    """

    def __init__(self) -> None:
        self._handlers_by_address: dict[str, dict[Method, Handler]] = {}
        self._timers_by_address: dict[str, HostTimers] = {}
        self.cut_addresses: set[str] = set()
        self.cut_links: set[tuple[str, str]] = set()
        self.calls_by_method: Counter[str] = Counter()

    @contextlib.asynccontextmanager
    async def serving(
        self, address: str, handlers: dict[Method, Handler]
    ) -> AsyncIterator[None]:
        """Serves a host's methods while the context is open."""
        self._handlers_by_address[address] = handlers
        try:
            yield
        finally:
            del self._handlers_by_address[address]

    def calls_from(self, address: str, timers: HostTimers) -> "MemoryPeerCalls":
        """Returns the calls of the host at an address.

        Args:
            address: Address of the host.
            timers: Its timers. While it is frozen it neither handles calls nor
                notices replies.
        """
        self._timers_by_address[address] = timers
        return MemoryPeerCalls(self, address, timers)

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Returns whether messages from one address to another are lost."""
        return (sender, receiver) in self.cut_links

    def is_served(self, address: str) -> bool:
        """Returns whether a host serves calls at an address."""
        return (
            address in self._handlers_by_address
            and address not in self.cut_addresses
        )

    async def handle(
        self, caller: str, address: str, method: Method, request: Any
    ) -> Any:
        """Returns a host's reply, ``LOST`` if it doesn't arrive."""
        await self._timers_by_address[address].wait_until_thawed()
        handlers = self._handlers_by_address.get(address)
        if handlers is None:
            return LOST
        reply = await handlers[method](request)
        if self.is_cut(address, caller):
            return LOST
        return reply


class MemoryPeerCalls:
    """Calls of one host to the others."""

    def __init__(
        self, peers: MemoryPeers, address: str, timers: HostTimers
    ) -> None:
        self._peers = peers
        self._address = address
        self._timers = timers
        self._abandoned: set[asyncio.Future[Any]] = set()

    async def call(
        self, address: str, method: Method, request: Any, timeout_s: float
    ) -> Any:
        """Calls a method of another host."""
        peers = self._peers
        peers.calls_by_method[method.name] += 1
        await self._timers.sleep(_LATENCY_S)
        if not peers.is_served(address) or peers.is_cut(self._address, address):
            await self._timers.sleep(timeout_s)
            return Refusal(ResultCode.UNREACHABLE, address)
        reply = asyncio.ensure_future(
            peers.handle(self._address, address, method, request)
        )
        timeout = asyncio.ensure_future(self._timers.sleep(timeout_s))
        try:
            await asyncio.wait({reply, timeout}, return_when=FIRST_COMPLETED)
            if reply.done() and reply.result() is LOST:
                await timeout
        finally:
            timeout.cancel()
            if not reply.done():
                self._cancel(reply, address)
        is_answered = reply.done()
        await self._timers.wait_until_thawed()
        if is_answered and reply.result() is not LOST:
            return reply.result()
        return Refusal(ResultCode.UNREACHABLE, address)

    def _cancel(self, reply: asyncio.Future[Any], address: str) -> None:
        """Cancels a call; the other host goes on if it can't learn that."""
        if self._peers.is_cut(self._address, address):
            self._abandoned.add(reply)
            reply.add_done_callback(self._abandoned.discard)
        else:
            reply.cancel()
