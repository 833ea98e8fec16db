"""Forwards records to the owner of a pool, which appends them to its inbox."""

import asyncio
from typing import Any

from coltsfootseam.calls import (
    FORWARD_APPEND,
    ForwardAppendReply,
    ForwardAppendRequest,
)
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.leases.store_contacts import StoreContacts
from coltsfootseam.manager.membership.duties import pool_duty
from coltsfootseam.manager.membership.locator import Locator

_PROBE_PERIOD_S = 1.0
"""How long a reply may take until the owner is asked whether it works."""
_MAX_STORE_SILENCE_S = 1.0
"""Time without an answer after which an owner is cut off from the store."""
_AVOIDED_S = 2.0
"""How long an owner that does not work is not asked again."""


class OwnerForwarder:
    """Has the owners of pools append records.

    A slow store delays the owner's reply. If every host then appended its own
    records, their appends would queue at the store one after the other. So a
    host goes on waiting for as long as the owner works.
    """

    __slots__ = (
        "_avoided_until_s_by_address",
        "_contacts",
        "_context",
        "_locator",
        "_probes_by_address",
    )

    def __init__(
        self, context: Context, locator: Locator, contacts: StoreContacts
    ) -> None:
        self._context = context
        self._contacts = contacts
        self._locator = locator
        self._avoided_until_s_by_address: dict[str, float] = {}
        self._probes_by_address: dict[str, asyncio.Task[bool]] = {}

    async def find_owner(self, pool: str) -> str | None:
        """Returns the address of a pool's owner on another host.

        The host that the pool is assigned to need not be its owner. Appends of
        several hosts hold each other up, so the owner is looked for.

        Returns:
            ``None`` if the owner is this host, unknown or avoided.
        """
        address = await self._locator.locate(pool_duty(pool))
        if address is None or address == self._context.address:
            return None
        now_s = self._context.timers.now_s()
        avoided_until_s = self._avoided_until_s_by_address.get(address, now_s)
        return None if now_s < avoided_until_s else address

    async def forward(
        self, owner: str, request: ForwardAppendRequest, timeout_s: float
    ) -> ForwardAppendReply | None:
        """Has an owner append a record.

        Args:
            owner: The owner's address.
            request: The record.
            timeout_s: How long to wait for a working owner.

        Returns:
            The owner's reply, ``None`` if it gave none. It may then have stored
            the record, or may yet store it.
        """
        call = asyncio.ensure_future(
            self._context.peers.call(owner, FORWARD_APPEND, request, timeout_s)
        )
        try:
            while not await self._is_done_within(call, _PROBE_PERIOD_S):
                if not await self._is_working(owner):
                    break
            reply = call.result() if call.done() else None
        finally:
            call.cancel()
        if isinstance(reply, ForwardAppendReply):
            return reply
        self._avoid(owner, request.pool)
        return None

    def record_moved(self, pool: str) -> None:
        """Records that a host which owned a pool no longer does."""
        self._locator.forget(pool_duty(pool))

    async def _is_done_within(
        self, call: asyncio.Future[Any], wait_s: float
    ) -> bool:
        pause = asyncio.ensure_future(self._context.timers.sleep(wait_s))
        try:
            await asyncio.wait(
                {call, pause}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            pause.cancel()
        return call.done()

    async def _is_working(self, owner: str) -> bool:
        """Returns whether an owner answers and reaches the store.

        Requests that wait for the same owner share a probe.
        """
        probe = self._probes_by_address.get(owner)
        if probe is None or probe.done():
            probe = asyncio.ensure_future(self._probe(owner))
            self._probes_by_address[owner] = probe
        return await asyncio.shield(probe)

    async def _probe(self, owner: str) -> bool:
        contact = (await self._contacts.ask([owner])).get(owner)
        silence_s = None if contact is None else contact.silence_s
        is_working = silence_s is not None and silence_s < _MAX_STORE_SILENCE_S
        self._context.log.write(
            "inbox.owner_probed",
            owner=owner,
            store_silence_s=silence_s,
            outcome="waits" if is_working else "avoided",
        )
        return is_working

    def _avoid(self, owner: str, pool: str) -> None:
        """Stops sending records to an owner that gave no reply, for a while."""
        self._locator.forget(pool_duty(pool))
        self._avoided_until_s_by_address[owner] = (
            self._context.timers.now_s() + _AVOIDED_S
        )
        self._context.log.write(
            "inbox.owner_avoided", pool=pool, owner=owner, for_s=_AVOIDED_S
        )
        self._context.counters.increment("inbox.owner_avoided")
