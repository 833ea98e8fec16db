"""Standby hosts, which leave all duties to more capable hosts.

A standby host isn't a member of the group, so the group doesn't list it.
Instead it introduces itself to the members. A member that is cut off from the
store asks the standby hosts too, as the other members may be cut off as well.
"""

import asyncio
import zlib
from collections.abc import Iterable

import msgspec

from coltsfootseam.calls import ASK_REACH, ReachabilityRequest
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.membership.members import (
    address_of_member,
    millicores_of_member,
)
from coltsfootseam.store import Membership

_MIN_STRONGER_RATIO = 2
"""A clearly stronger host has at least this many times the capacity."""

_MIN_STRONGER_MEMBERS = 2
"""Stronger members needed, so that one can take over from another."""

_INTRODUCTION_PERIOD_S = 1.0
_INTRODUCTION_TIMEOUT_S = 0.4
_ADDRESS_EXPIRY_S = 15.0
_UNLISTED_MEMBER_EXPIRY_S = 2.5
_MAX_ADDRESSES = 8


def is_stronger(millicores: int, other_millicores: int) -> bool:
    """Returns whether a host is clearly stronger than another.

    It isn't if either capacity is unknown.
    """
    return 0 < _MIN_STRONGER_RATIO * other_millicores <= millicores


def is_surplus(
    millicores: int, members_millicores: Iterable[int], duties: int
) -> bool:
    """Returns whether a host should be a standby.

    It should if the clearly stronger members have enough capacity for every
    duty to get at least as much as this whole host has. A host is never
    surplus because of members of about equal capacity, nor if its own capacity
    is unknown.

    Args:
        millicores: Capacity of the host.
        members_millicores: Capacity of each member.
        duties: Number of duties.
    """
    if not millicores:
        return False
    stronger = [
        capacity
        for capacity in members_millicores
        if is_stronger(capacity, millicores)
    ]
    supported_duties = sum(capacity // millicores for capacity in stronger)
    return len(stronger) >= _MIN_STRONGER_MEMBERS and supported_duties >= duties


class _Introduction(msgspec.Struct, frozen=True):
    request: ReachabilityRequest
    received_s: float


class Standby:
    """Decides whether this host is a standby, and tracks unlisted hosts.

    The group lists only members that hold partitions. Standby hosts introduce
    themselves to the members. Members without partitions introduce themselves
    to clearly weaker members, which may become standbys because of them.
    """

    __slots__ = (
        "_context",
        "_introductions_by_address",
        "_membership",
        "_rotation",
    )

    def __init__(self, context: Context, membership: Membership) -> None:
        self._context = context
        self._membership = membership
        self._introductions_by_address: dict[str, _Introduction] = {}
        # Staggered, so that hosts start with different members.
        self._rotation = zlib.crc32(context.address.encode())

    def is_surplus(self, duties: int) -> bool:
        """Returns whether the members can run all duties without this host."""
        since_s = self._context.timers.now_s() - _UNLISTED_MEMBER_EXPIRY_S
        members = self._members()
        listed = {address_of_member(name) for name in members}
        unlisted = [
            introduction.request.millicores
            for address, introduction in self._introductions_by_address.items()
            if introduction.request.is_member
            and introduction.received_s >= since_s
            and address not in listed
        ]
        capacities = [millicores_of_member(name) for name in members]
        return is_surplus(
            self._context.millicores, capacities + unlisted, duties
        )

    def record_introduction(self, request: ReachabilityRequest) -> None:
        """Records the introduction of an unlisted host."""
        # Removed first, so that the latest introduction is at the end.
        self._introductions_by_address.pop(request.address, None)
        self._introductions_by_address[request.address] = _Introduction(
            request, self._context.timers.now_s()
        )

    def unlisted_addresses(self) -> list[str]:
        """Returns addresses of introduced hosts, latest introduction first."""
        since_s = self._context.timers.now_s() - _ADDRESS_EXPIRY_S
        self._introductions_by_address = {
            address: introduction
            for address, introduction in self._introductions_by_address.items()
            if introduction.received_s >= since_s
        }
        return list(reversed(self._introductions_by_address))[:_MAX_ADDRESSES]

    async def run(self) -> None:
        """Introduces this host while it is unlisted, until cancelled."""
        was_standby = False
        while True:
            is_standby = self._membership.is_standby
            if is_standby != was_standby:
                self._context.log.write("host.standby", standby=is_standby)
                was_standby = is_standby
            await asyncio.gather(
                *(
                    self._introduce(member)
                    for member in self._members_to_notify()
                )
            )
            await self._context.timers.sleep(_INTRODUCTION_PERIOD_S)

    def _members_to_notify(self) -> list[str]:
        """Returns the members to which this host introduces itself now."""
        members = self._members()
        if not members or self._membership.member in members:
            return []
        if self._membership.is_standby:
            # One member per period; if an introduction is lost, later ones
            # replace it.
            self._rotation += 1
            return [members[self._rotation % len(members)]]
        return [
            member
            for member in members
            if is_stronger(
                self._context.millicores, millicores_of_member(member)
            )
        ]

    async def _introduce(self, member: str) -> None:
        request = ReachabilityRequest(
            self._context.address,
            not self._membership.is_standby,
            self._context.millicores,
        )
        await self._context.peers.call(
            address_of_member(member),
            ASK_REACH,
            request,
            _INTRODUCTION_TIMEOUT_S,
        )

    def _members(self) -> list[str]:
        return sorted(self._membership.listed_members())
