"""Asks other hosts about the store, and notices that this host is cut off."""

from coltsfootseam.manager.context import Context
from coltsfootseam.manager.leases.store_contacts import (
    StoreContact,
    StoreContacts,
)
from coltsfootseam.manager.membership.duties import DutyDirectory
from coltsfootseam.manager.membership.duty_manager import DutyManager
from coltsfootseam.store import Membership

_PERIOD_S = 0.2
_RECOVERY_GRACE_S = 2.0
"""Longer than a call may wait for its reply that was sent in the outage."""


class IsolationMonitor:
    """Asks peers when the store last replied to them, if it is silent here.

    If the store answers others and not this host, the host drops its
    assignment and with it all duties. Whether its pools may go on granting
    leases until then is decided by `PoolLeases`.
    """

    __slots__ = (
        "_contacts",
        "_context",
        "_directory",
        "_duties",
        "_logged_outcome",
        "_membership",
        "_outage_seen_s",
    )

    def __init__(
        self,
        context: Context,
        contacts: StoreContacts,
        membership: Membership,
        directory: DutyDirectory,
        duties: DutyManager,
    ) -> None:
        self._context = context
        self._contacts = contacts
        self._membership = membership
        self._directory = directory
        self._duties = duties
        self._outage_seen_s = float("-inf")
        self._logged_outcome: object = None

    async def run(self) -> None:
        """Asks and checks until cancelled."""
        while True:
            await self._check()
            await self._context.timers.sleep(_PERIOD_S)

    async def _check(self) -> None:
        peers = self._directory.peer_addresses()
        if peers and self._should_ask():
            replies_by_address = await self._contacts.ask(peers)
            self._check_isolation(peers, replies_by_address)

    def _should_ask(self) -> bool:
        """Returns whether this host should find out if it alone is cut off."""
        unanswered_s = self._context.ports.store.unanswered_s()
        is_assigned = self._membership.assignment is not None
        return is_assigned and unanswered_s >= self._context.times.isolation_s

    def _check_isolation(
        self, peers: list[str], replies_by_address: dict[str, StoreContact]
    ) -> None:
        """Drops the assignment if this host alone is cut off from the store.

        A host that reaches none of its peers counts as isolated. One that
        doesn't know of any peer doesn't. When the store recovers from an
        outage, some hosts notice it a moment before the others, which are not
        isolated because of that.
        """
        if not self._should_ask():
            return
        is_down = _is_down_for_all(
            replies_by_address, self._context.times.isolation_s
        )
        self._log_replies(peers, replies_by_address, is_down)
        now_s = self._context.timers.now_s()
        if is_down:
            self._outage_seen_s = now_s
            return
        if now_s - self._outage_seen_s < _RECOVERY_GRACE_S:
            return
        self._membership.assignment = None
        self._context.log.write(
            "host.isolated",
            silence_s=round(self._context.ports.store.unanswered_s(), 2),
        )
        self._duties.follow_assignment()

    def _log_replies(
        self,
        peers: list[str],
        replies_by_address: dict[str, StoreContact],
        is_down: bool,
    ) -> None:
        """Logs what the peers say of the store, once for each set of peers."""
        silent = sorted(set(peers) - replies_by_address.keys())
        outcome = (is_down, sorted(replies_by_address), silent)
        if outcome == self._logged_outcome:
            return
        self._logged_outcome = outcome
        self._context.log.write(
            "store.peers_asked",
            store_silence_s=round(self._context.ports.store.unanswered_s(), 2),
            store_silence_s_by_peer={
                address: round(contact.silence_s, 2)
                for address, contact in replies_by_address.items()
            },
            peers_without_reply=silent,
            outcome="down for all" if is_down else "down here only",
        )
        self._context.counters.increment("store.peers_asked")


def _is_down_for_all(
    replies_by_address: dict[str, StoreContact], isolation_s: float
) -> bool:
    """Returns whether the store answers none of the peers that replied."""
    silences_s = [contact.silence_s for contact in replies_by_address.values()]
    return bool(silences_s) and min(silences_s) > isolation_s / 2
