"""Finding and calling the host that holds a duty.

An owner keeps its duties when the group deals them anew, so what was dealt is
only a first guess. Who really owns is remembered, and asked for when the host
that is remembered doesn't answer as an owner.
"""

import asyncio
from collections.abc import Callable
from typing import Any

from coltsfootseam.calls import ASK_OWNER, Method, OwnerReply, OwnerRequest
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.duties import Directory
from coltsfootseam.results import Refusal, ResultCode

_ASK_TIMEOUT_S = 0.25
_TRIES = 2


class Locator:
    """Calls the owners of duties."""

    __slots__ = ("_address_by_duty", "_context", "_directory")

    def __init__(self, context: Context, directory: Directory) -> None:
        self._context = context
        self._directory = directory
        self._address_by_duty: dict[str, str] = {}

    async def call(
        self,
        duty: str,
        method: Method,
        request: Any,
        timeout_s: float,
        is_from_owner: Callable[[Any], bool],
    ) -> Any:
        """Calls the owner of a duty, looking for it if need be.

        Args:
            duty: The duty.
            method: What to call.
            request: The request.
            timeout_s: Time limit of each call.
            is_from_owner: Tells whether a reply comes from the owner.

        Returns:
            The owner's reply, or a refusal with ``UNREACHABLE``.
        """
        guess = self._address_by_duty.get(duty)
        guess = guess or self._directory.address_of(duty)
        for _ in range(_TRIES):
            if guess is not None:
                reply = await self._context.peers.call(
                    guess, method, request, timeout_s
                )
                if not isinstance(reply, Refusal) and is_from_owner(reply):
                    self._address_by_duty[duty] = guess
                    return reply
            self._address_by_duty.pop(duty, None)
            self._directory.look_again()
            found = await self.find(duty)
            if found is None or found == guess:
                break
            guess = found
        return Refusal(ResultCode.UNREACHABLE, f"{duty}: no owner answers")

    async def find(self, duty: str) -> str | None:
        """Asks all hosts which of them owns a duty."""
        addresses = [
            self._context.address,
            *self._directory.peer_addresses(),
        ]
        replies = await asyncio.gather(
            *(
                self.is_owned_at(address, OwnerRequest(duty))
                for address in addresses
            )
        )
        for address, is_owner in zip(addresses, replies, strict=True):
            if is_owner:
                return address
        return None

    async def is_owned_at(self, address: str, question: OwnerRequest) -> bool:
        """Asks a host whether it owns a duty; one that is silent does not."""
        reply = await self._context.peers.call(
            address, ASK_OWNER, question, _ASK_TIMEOUT_S
        )
        return isinstance(reply, OwnerReply) and reply.is_owner
