"""Fetches missing records from peers while the log is unreachable."""

import asyncio

from coltsfootseam.observe import Observer
from coltsfootseam.peers import FetchedState, PeerClients
from coltsfootseam.replication.connectivity import Connectivity
from coltsfootseam.replication.replica import Replica
from coltsfootseam.results import Refusal
from coltsfootseam.timers import TimerService


class PeerCatchUp:
    """Fetches the records that this replica lacks from every known peer."""

    __slots__ = (
        "_connectivity",
        "_observer",
        "_own_address",
        "_peers",
        "_replica",
        "_seeds",
        "_timers",
    )

    def __init__(
        self,
        peers: PeerClients,
        replica: Replica,
        connectivity: Connectivity,
        observer: Observer,
        timers: TimerService,
        own_address: str,
        seeds: list[str],
    ) -> None:
        self._peers = peers
        self._replica = replica
        self._connectivity = connectivity
        self._observer = observer
        self._own_address = own_address
        self._seeds = seeds
        self._timers = timers

    async def tick(self) -> None:
        """Fetches once from all peers if the log is unreachable.

        A replica without any state fetches even if the log is reachable.
        """
        if self._connectivity.is_log_reachable() and self._has_state():
            return
        addresses = self._known_addresses()
        await asyncio.gather(*(self._fetch_from(each) for each in addresses))

    def _has_state(self) -> bool:
        return self._replica.next_offset() > 0

    def _known_addresses(self) -> list[str]:
        members = self._replica.state.members_by_id.values()
        addresses = {member.peers for member in members}
        addresses.update(self._seeds)
        addresses.discard(self._own_address)
        return sorted(addresses)

    async def _fetch_from(self, address: str) -> None:
        next_offset = self._replica.next_offset()
        sent_s = self._timers.now_s()
        fetched = await self._peers.fetch(address, next_offset)
        if isinstance(fetched, Refusal):
            self._observer.count("peers.fetch_failures")
            return
        self._connectivity.record_peer_reply(address, sent_s)
        self._apply_fetched(address, fetched)

    def _apply_fetched(self, address: str, fetched: FetchedState) -> None:
        before = self._replica.next_offset()
        if fetched.snapshot:
            self._replica.restore(fetched.snapshot, f"peer {address}")
        for entry in fetched.entries:
            if not self._replica.apply(entry.offset, entry.text):
                break
        gained = self._replica.next_offset() - before
        if gained > 0:
            self._observer.record_event(
                "peers.caught_up", address, f"{gained} records"
            )
