"""Finding and calling the owner of a duty.

An owner keeps its duties when the group rebalances, so the assignment is only a
first guess. The actual owner is cached. If the cached host doesn't answer as
the owner, all hosts are asked.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from coltsfootseam.calls import ASK_OWNER, Method, OwnerReply, OwnerRequest
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.membership.duties import DutyDirectory
from coltsfootseam.results import Refusal, ResultCode

_OWNER_REQUEST_TIMEOUT_S = 0.25
_MAX_ATTEMPTS = 2


class Locator:
    """Calls the owners of duties."""

    __slots__ = (
        "_address_by_duty",
        "_context",
        "_directory",
        "_searches_by_duty",
    )

    def __init__(self, context: Context, directory: DutyDirectory) -> None:
        self._context = context
        self._directory = directory
        self._address_by_duty: dict[str, str] = {}
        self._searches_by_duty: dict[str, asyncio.Task[str | None]] = {}

    async def call(
        self,
        duty: str,
        method: Method,
        request: Any,
        timeout_s: float,
        is_from_owner: Callable[[Any], bool],
    ) -> Any:
        """Calls the owner of a duty, and searches for it if necessary.

        Args:
            duty: The duty.
            method: The method to call.
            request: The request.
            timeout_s: Timeout of each call.
            is_from_owner: Returns whether a reply comes from the owner.

        Returns:
            The owner's reply, or a refusal with ``UNREACHABLE``.
        """
        guess = self.last_address_of(duty)
        for _ in range(_MAX_ATTEMPTS):
            if guess is not None:
                reply = await self._context.peers.call(
                    guess, method, request, timeout_s
                )
                if not isinstance(reply, Refusal) and is_from_owner(reply):
                    self._address_by_duty[duty] = guess
                    return reply
            self.forget(duty)
            found = await self.find(duty)
            if found is None or found == guess:
                break
            guess = found
        return Refusal(ResultCode.UNREACHABLE, f"{duty}: no owner answered")

    def last_address_of(self, duty: str) -> str | None:
        """Returns where a duty's owner was last known or assumed to be."""
        known = self._address_by_duty.get(duty)
        return known or self._directory.address_of(duty)

    def peer_addresses(self) -> list[str]:
        """Returns the addresses of all other hosts, as last read."""
        return self._directory.peer_addresses()

    def forget(self, duty: str) -> None:
        """Forgets where a duty's owner was, as that host doesn't reply."""
        self._address_by_duty.pop(duty, None)
        self._directory.request_refresh()

    async def locate(self, duty: str) -> str | None:
        """Returns the address of a duty's owner, and remembers it.

        Concurrent calls share a search.
        """
        known = self._address_by_duty.get(duty)
        if known is not None:
            return known
        search = self._searches_by_duty.get(duty)
        if search is None:
            search = asyncio.ensure_future(self.find(duty))
            self._searches_by_duty[duty] = search
            search.add_done_callback(
                lambda _: self._searches_by_duty.pop(duty, None)
            )
        found = await asyncio.shield(search)
        if found is not None:
            self._address_by_duty[duty] = found
        return found

    async def find(self, duty: str) -> str | None:
        """Asks all hosts, and returns the address of a duty's owner."""
        requests = [
            asyncio.ensure_future(self._find_at(address, duty))
            for address in (
                self._context.address,
                *self._directory.peer_addresses(),
            )
        ]
        try:
            for reply in asyncio.as_completed(requests):
                address = await reply
                if address is not None:
                    return address
        finally:
            for request in requests:
                request.cancel()
        return None

    async def _find_at(self, address: str, duty: str) -> str | None:
        """Returns a host's address if it owns a duty."""
        is_owner = await self.is_owned_at(address, OwnerRequest(duty))
        return address if is_owner else None

    async def is_owned_at(self, address: str, request: OwnerRequest) -> bool:
        """Returns whether a host answers that it owns a duty."""
        reply = await self._context.peers.call(
            address, ASK_OWNER, request, _OWNER_REQUEST_TIMEOUT_S
        )
        return isinstance(reply, OwnerReply) and reply.is_owner
