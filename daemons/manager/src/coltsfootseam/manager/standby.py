"""Hosts that take no duties while more capable ones can bear them all.

Such a host is no member of the group. The group doesn't list it, so it makes
itself known to the members: one that is cut off from the store asks it, too,
as the other members may be cut off along with it.
"""

import asyncio
import zlib
from collections.abc import Iterable

import msgspec

from coltsfootseam.calls import ASK_REACH, ReachabilityRequest
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
_UNLISTED_S = 2.5
_ASKED_AT_MOST = 8


def is_stronger(millicores: int, other_millicores: int) -> bool:
    """Tells whether a host is clearly stronger than another, if both tell."""
    return 0 < _STRONGER * other_millicores <= millicores


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
        if is_stronger(capacity, millicores)
    ]
    places = sum(capacity // millicores for capacity in stronger)
    return len(stronger) >= _LEAST_STRONGER and places >= duties


class _Heard(msgspec.Struct, frozen=True):
    question: ReachabilityRequest
    heard_s: float


class Standby:
    """Decides whether this host stands by, and knows hosts that nobody lists.

    The group lists the holders of partitions only. Hosts that stand by make
    themselves known to members, and so do members that hold nothing, to those
    that would stand by for them.
    """

    __slots__ = ("_context", "_heard_by_address", "_membership", "_turn")

    def __init__(self, context: Context, membership: Membership) -> None:
        self._context = context
        self._membership = membership
        self._heard_by_address: dict[str, _Heard] = {}
        # Hosts begin with different members.
        self._turn = zlib.crc32(context.address.encode())

    def is_spare(self, duties: int) -> bool:
        """Tells whether the members can bear all duties without this host."""
        since_s = self._context.timers.now_s() - _UNLISTED_S
        members = self._members()
        listed = {address_of_member(name) for name in members}
        unlisted = [
            heard.question.millicores
            for address, heard in self._heard_by_address.items()
            if heard.question.is_member
            and heard.heard_s >= since_s
            and address not in listed
        ]
        capacities = [millicores_of_member(name) for name in members]
        return is_spare(self._context.millicores, capacities + unlisted, duties)

    def note(self, question: ReachabilityRequest) -> None:
        """Notes what a host that nobody lists says of itself."""
        # The newest goes to the end.
        self._heard_by_address.pop(question.address, None)
        self._heard_by_address[question.address] = _Heard(
            question, self._context.timers.now_s()
        )

    def addresses(self) -> list[str]:
        """Returns hosts that lately made themselves known, newest first."""
        since_s = self._context.timers.now_s() - _KNOWN_S
        self._heard_by_address = {
            address: heard
            for address, heard in self._heard_by_address.items()
            if heard.heard_s >= since_s
        }
        return list(reversed(self._heard_by_address))[:_ASKED_AT_MOST]

    async def run(self) -> None:
        """Makes this host known while nobody lists it, until cancelled."""
        was_standby = False
        while True:
            is_standby = self._membership.is_standby
            if is_standby != was_standby:
                self._context.log.write("host.standby", standby=is_standby)
                was_standby = is_standby
            await asyncio.gather(
                *(self._introduce(member) for member in self._audience())
            )
            await self._context.timers.sleep(_INTRODUCE_S)

    def _audience(self) -> list[str]:
        """Returns the members that need to know this host now."""
        members = self._members()
        if not members or self._membership.member in members:
            return []
        if self._membership.is_standby:
            # One after the other; a later turn makes up for one.
            self._turn += 1
            return [members[self._turn % len(members)]]
        return [
            member
            for member in members
            if is_stronger(
                self._context.millicores, millicores_of_member(member)
            )
        ]

    async def _introduce(self, member: str) -> None:
        question = ReachabilityRequest(
            self._context.address,
            not self._membership.is_standby,
            self._context.millicores,
        )
        await self._context.peers.call(
            address_of_member(member),
            ASK_REACH,
            question,
            _INTRODUCE_TIMEOUT_S,
        )

    def _members(self) -> list[str]:
        return sorted(set(self._membership.members_by_partition.values()))
