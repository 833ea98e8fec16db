"""Which duty belongs to which entry host."""

from coltsfootseam.jobs import Configuration
from coltsfootseam.manager.members import address_of_member
from coltsfootseam.manager.standby import Standby
from coltsfootseam.store import Membership

FLEET_DUTY = "fleet"
"""The duty of the one host that orders machines about."""

_POOL_PREFIX = "pool/"


def pool_duty(pool: str) -> str:
    """Returns the duty of owning a pool."""
    return _POOL_PREFIX + pool


def pool_of_duty(duty: str) -> str | None:
    """Returns the pool of a duty, ``None`` if it is not one of a pool."""
    if duty.startswith(_POOL_PREFIX):
        return duty.removeprefix(_POOL_PREFIX)
    return None


def all_duties(configuration: Configuration) -> list[str]:
    """Returns every duty, in an order that all hosts agree on."""
    pools = sorted(configuration.pools_by_name)
    return [FLEET_DUTY, *(pool_duty(pool) for pool in pools)]


def slots_by_duty(duties: list[str], slots: int) -> dict[str, int]:
    """Spreads duties over the slots that the group deals.

    Neighbouring duties get slots that are apart, as the store may deal
    neighbouring slots to one member.
    """
    stride = 2 if slots % 2 == 0 else 1
    spread = [
        (stride * position) % slots + (stride * position) // slots % stride
        for position in range(slots)
    ]
    return {duty: spread[i % slots] for i, duty in enumerate(duties)}


class Directory:
    """Finds the host that holds a duty."""

    __slots__ = ("_membership", "_slots", "_slots_by_duty", "_standby")

    def __init__(
        self, membership: Membership, standby: Standby, slots: int
    ) -> None:
        self._membership = membership
        self._standby = standby
        self._slots = slots
        self._slots_by_duty: dict[str, int] = {}

    def configure(self, configuration: Configuration) -> None:
        """Takes over a new configuration."""
        duties = all_duties(configuration)
        self._slots_by_duty = slots_by_duty(duties, self._slots)

    def all_duties(self) -> list[str]:
        """Returns every duty."""
        return list(self._slots_by_duty)

    def own_duties(self) -> set[str]:
        """Returns the duties that were dealt to this host."""
        deal = self._membership.assignment
        if deal is None:
            return set()
        return {
            duty
            for duty, slot in self._slots_by_duty.items()
            if slot in deal.numbers
        }

    def address_of(self, duty: str) -> str | None:
        """Returns the address of a duty's holder, as last heard."""
        slot = self._slots_by_duty.get(duty)
        if slot is None:
            return None
        member = self._membership.members_by_partition.get(slot)
        return None if member is None else address_of_member(member)

    def peer_addresses(self) -> list[str]:
        """Returns the addresses of all other members, as last heard.

        While the store is silent, hosts that stand by come first: the members
        may be cut off from it as well, and those that stood by have become
        their successors.
        """
        members = set(self._membership.members_by_partition.values())
        members.discard(self._membership.member)
        addresses = sorted(address_of_member(member) for member in members)
        if self._membership.is_store_unresponsive():
            return [*self._standby.addresses(), *addresses]
        return addresses

    def look_again(self) -> None:
        """Has the holders read again, as one of them looks wrong."""
        self._membership.request_holders_refresh()
