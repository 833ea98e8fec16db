"""Duties, and the entry hosts that they are assigned to."""

from coltsfootseam.jobs import Configuration
from coltsfootseam.manager.membership.members import address_of_member
from coltsfootseam.manager.membership.standby import Standby
from coltsfootseam.store import Membership

FLEET_DUTY = "fleet"
"""The duty of the one host that moves and maintains the machines."""

_POOL_PREFIX = "pool/"


def pool_duty(pool: str) -> str:
    """Returns the duty of owning a pool."""
    return _POOL_PREFIX + pool


def pool_of_duty(duty: str) -> str | None:
    """Returns the pool of a duty, ``None`` for the fleet's duty."""
    if duty.startswith(_POOL_PREFIX):
        return duty.removeprefix(_POOL_PREFIX)
    return None


def all_duties(configuration: Configuration) -> list[str]:
    """Returns every duty, in the same order on all hosts."""
    pools = sorted(configuration.pools_by_name)
    return [FLEET_DUTY, *(pool_duty(pool) for pool in pools)]


def assign_slots(duties: list[str], slots: int) -> dict[str, int]:
    """Maps duties to the slots that the group assigns to its members.

    Adjacent duties get slots that are apart, as the store may assign adjacent
    slots to the same member.
    """
    stride = 2 if slots % 2 == 0 else 1
    spread = [
        (stride * position) % slots + (stride * position) // slots % stride
        for position in range(slots)
    ]
    return {duty: spread[i % slots] for i, duty in enumerate(duties)}


class DutyDirectory:
    """Finds the host that a duty is assigned to."""

    __slots__ = ("_membership", "_slots", "_slots_by_duty", "_standby")

    def __init__(
        self, membership: Membership, standby: Standby, slots: int
    ) -> None:
        self._membership = membership
        self._standby = standby
        self._slots = slots
        self._slots_by_duty: dict[str, int] = {}

    def configure(self, configuration: Configuration) -> None:
        """Applies a new configuration."""
        duties = all_duties(configuration)
        self._slots_by_duty = assign_slots(duties, self._slots)

    def all_duties(self) -> list[str]:
        """Returns every duty."""
        return list(self._slots_by_duty)

    def assigned_duties(self) -> set[str]:
        """Returns the duties that are assigned to this host."""
        assignment = self._membership.assignment
        if assignment is None:
            return set()
        return {
            duty
            for duty, slot in self._slots_by_duty.items()
            if slot in assignment.numbers
        }

    def address_of(self, duty: str) -> str | None:
        """Returns the address of a duty's holder, as last read."""
        slot = self._slots_by_duty.get(duty)
        if slot is None:
            return None
        member = self._membership.members_by_partition.get(slot)
        return None if member is None else address_of_member(member)

    def peer_addresses(self) -> list[str]:
        """Returns the addresses of all other members, as last read.

        While the store doesn't answer, standby hosts come first: the other
        members may be cut off from it too, and standby hosts may have taken
        over their duties.
        """
        members = self._membership.listed_members()
        members.discard(self._membership.member)
        addresses = sorted(address_of_member(member) for member in members)
        if self._membership.is_store_unresponsive():
            return [*self._standby.unlisted_addresses(), *addresses]
        return addresses

    def member_addresses(self) -> frozenset[str]:
        """Returns the addresses of all members with this one, as last read.

        Returns:
            An empty set if the members are unknown.
        """
        members = self._membership.listed_members()
        if not members:
            return frozenset()
        members.add(self._membership.member)
        return frozenset(map(address_of_member, members))

    def request_refresh(self) -> None:
        """Requests a refresh of the holders, as one seems to be outdated."""
        self._membership.request_holders_refresh()
