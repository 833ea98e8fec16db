"""Asks the witnesses of the pools of this host, while their replies matter."""

from coltsfootseam.manager.context import Context
from coltsfootseam.manager.leases.store_contacts import StoreContacts
from coltsfootseam.manager.membership.duties import DutyDirectory
from coltsfootseam.manager.membership.duty_manager import DutyManager

_PERIOD_S = 0.15


class WitnessPolling:
    """Keeps the contacts and members up to date on which leases depend.

    Each witness is asked by itself, so that one that doesn't reply delays
    nothing.
    """

    __slots__ = ("_contacts", "_context", "_directory", "_duties")

    def __init__(
        self,
        context: Context,
        contacts: StoreContacts,
        directory: DutyDirectory,
        duties: DutyManager,
    ) -> None:
        self._context = context
        self._contacts = contacts
        self._directory = directory
        self._duties = duties

    async def run(self) -> None:
        """Asks until cancelled."""
        while True:
            self._ask()
            await self._context.timers.sleep(_PERIOD_S)

    def _ask(self) -> None:
        pool_leases = self._duties.pool_leases()
        if not pool_leases:
            return
        members = self._directory.member_addresses()
        addresses: set[str] = set()
        for leases in pool_leases:
            leases.update(members)
            addresses |= leases.addresses_to_ask()
        self._contacts.request(addresses)
