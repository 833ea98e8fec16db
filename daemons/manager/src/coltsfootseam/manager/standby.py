"""Hosts that take no duties while more capable ones can bear them all.

Such a host is no member of the group. The group doesn't list it, so it makes
itself known to the members: one that is cut off from the store asks it, too,
as the other members may be cut off along with it.
"""

import zlib
from collections.abc import Iterable

from coltsfootseam.calls import ASK_REACH, ReachQuestion
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.members import (
    address_of_member,
    millicores_of_member,
)
from coltsfootseam.store import Membership

_STRONGER = 2
"""Times the capacity of a host that a clearly stronger one has."""

_LEAST_STRONGER = 2
"""Stronger members that it takes, so that one can follow the other."""

_INTRODUCE_S = 1.0
_INTRODUCE_TIMEOUT_S = 0.4
_KNOWN_S = 15.0
_ASIDE_S = 10.0
_ASKED_AT_MOST = 8


def is_spare(
    millicores: int, members_millicores: Iterable[int], duties: int
) -> bool:
    """Tells whether a host is better left out of the dealing.

    It is if every duty finds a place at clearly stronger members where it has
    at least as much capacity as this whole host. Hosts that are about equal
    never leave each other out, nor does a host that knows no capacity.

    Args:
        millicores: Capacity of the host.
        members_millicores: Capacity of each member.
        duties: How many duties there are.
    """
    if not millicores:
        return False
    stronger = [
        capacity
        for capacity in members_millicores
        if capacity >= _STRONGER * millicores
    ]
    places = sum(capacity // millicores for capacity in stronger)
    return len(stronger) >= _LEAST_STRONGER and places >= duties


class Standby:
    """Decides whether this host stands by, and knows others that do."""

    __slots__ = (
        "_aside_until_s",
        "_context",
        "_heard_s_by_address",
        "_membership",
        "_turn",
    )

    def __init__(self, context: Context, membership: Membership) -> None:
        self._context = context
        self._membership = membership
        self._heard_s_by_address: dict[str, float] = {}
        self._aside_until_s = float("-inf")
        # Hosts begin with different members.
        self._turn = zlib.crc32(context.address.encode())

    def is_spare(self, duties: int) -> bool:
        """Tells whether the members can bear all duties without this host."""
        if self.is_set_aside():
            return True
        capacities = [millicores_of_member(name) for name in self._members()]
        return is_spare(self._context.millicores, capacities, duties)

    def set_aside(self) -> None:
        """Has this host stand by for a while, as it can't do a duty's work."""
        self._aside_until_s = self._context.timers.now_s() + _ASIDE_S
        self._membership.want_holdings()

    def is_set_aside(self) -> bool:
        """Tells whether others are to take duties over in this host's place."""
        now_s = self._context.timers.now_s()
        return now_s < self._aside_until_s and not self.is_alone()

    def is_alone(self) -> bool:
        """Tells whether no other host is a member."""
        return not set(self._members()) - {self._membership.member}

    def note(self, address: str) -> None:
        """Notes that a host has said that it stands by."""
        # The newest goes to the end.
        self._heard_s_by_address.pop(address, None)
        self._heard_s_by_address[address] = self._context.timers.now_s()

    def addresses(self) -> list[str]:
        """Returns hosts that lately said that they stand by, newest first."""
        since_s = self._context.timers.now_s() - _KNOWN_S
        self._heard_s_by_address = {
            address: heard_s
            for address, heard_s in self._heard_s_by_address.items()
            if heard_s >= since_s
        }
        return list(reversed(self._heard_s_by_address))[:_ASKED_AT_MOST]

    async def run(self) -> None:
        """Makes this host known while it stands by, until cancelled."""
        was_standby = False
        while True:
            is_standby = self._membership.is_standby
            if is_standby != was_standby:
                self._context.log.write("host.standby", standby=is_standby)
                was_standby = is_standby
            if is_standby:
                await self._introduce()
            await self._context.timers.sleep(_INTRODUCE_S)

    async def _introduce(self) -> None:
        """Tells one member after the other; a later turn makes up for one."""
        members = self._members()
        if not members:
            return
        self._turn += 1
        await self._context.peers.call(
            address_of_member(members[self._turn % len(members)]),
            ASK_REACH,
            ReachQuestion(standby_address=self._context.address),
            _INTRODUCE_TIMEOUT_S,
        )

    def _members(self) -> list[str]:
        return sorted(set(self._membership.members_by_number.values()))
