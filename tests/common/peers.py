"""Calls between hosts in memory."""

import asyncio
import contextlib
from asyncio import FIRST_COMPLETED
from collections.abc import AsyncIterator, Awaitable
from typing import Any

from coltsfootseam.calls import Handler, Method
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.timers import TimerService


class MemoryPeers:
    """Calls between hosts, without a network."""

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._handlers_by_address: dict[str, dict[Method, Handler]] = {}
        self.cut_addresses: set[str] = set()

    @contextlib.asynccontextmanager
    async def serving(
        self, address: str, handlers: dict[Method, Handler]
    ) -> AsyncIterator[None]:
        """Serves a host's handlers while the context is open."""
        self._handlers_by_address[address] = handlers
        try:
            yield
        finally:
            del self._handlers_by_address[address]

    async def call(
        self, address: str, method: Method, request: Any, timeout_s: float
    ) -> Any:
        """Calls a method of another host."""
        await self._timers.sleep(0.001)
        handlers = self._handlers_by_address.get(address)
        if handlers is None or address in self.cut_addresses:
            await self._timers.sleep(timeout_s)
            return Refusal(ResultCode.UNREACHABLE, address)
        return await self._wait_for_reply(
            handlers[method](request), address, timeout_s
        )

    async def _wait_for_reply(
        self, answering: Awaitable[Any], address: str, timeout_s: float
    ) -> Any:
        """Waits for a host that may be frozen, as long as a caller would."""
        answer = asyncio.ensure_future(answering)
        late = asyncio.ensure_future(self._timers.sleep(timeout_s))
        await asyncio.wait({answer, late}, return_when=FIRST_COMPLETED)
        late.cancel()
        if answer.done():
            return answer.result()
        answer.cancel()
        return Refusal(ResultCode.UNREACHABLE, address)
