"""Handlers of the calls that other entry hosts make."""

from coltsfootseam.entry.entry_host import EntryHost
from coltsfootseam.peers import (
    AdoptReply,
    AdoptRequest,
    DispatchSession,
    DispatchUpdate,
    FetchedState,
    KeyCopy,
    KeyReservation,
    PeerService,
    PeerStatus,
)


class EntryPeerService(PeerService):
    """Handles calls of peers with the components of an entry host."""

    __slots__ = ("_entry_host",)

    def __init__(self, entry_host: EntryHost) -> None:
        self._entry_host = entry_host

    def fetch(self, from_offset: int) -> FetchedState:
        """Returns the records from an offset on, or a snapshot."""
        replication = self._entry_host.replication
        return replication.replica.fetch(
            from_offset, replication.connectivity.is_log_reachable()
        )

    def status(self, host_id: str) -> PeerStatus:
        """Returns the offset in force and a host's requests in progress."""
        return PeerStatus(
            entry_id=self._entry_host.context.settings.entry_id,
            offset=self._entry_host.replication.replica.state.offset,
            in_progress=self._entry_host.routing.endpoints.in_progress_on(
                host_id
            ),
        )

    def reserve_key(self, key: str, request_id: str) -> KeyReservation:
        """Reserves a key for a request, or returns what is known about it."""
        state = self._entry_host.replication.replica.state
        return self._entry_host.routing.key_store.reserve(
            key, request_id, state
        )

    def copy_keys(self, copies: list[KeyCopy]) -> None:
        """Stores copies of key records."""
        self._entry_host.routing.key_store.apply_copies(copies)

    def report_endpoint(
        self, host_id: str, host_version: int, cause: str
    ) -> None:
        """Records that an endpoint is leaving or failing."""
        self._entry_host.routing.endpoints.apply_leaving_report(
            host_id, host_version, cause
        )

    def handle_dispatch_update(
        self, session: DispatchSession, update: DispatchUpdate
    ) -> None:
        """Applies an update that an entry host sent to this dispatcher."""
        self._entry_host.routing.dispatcher.handle_dispatch_update(
            session, update
        )

    def end_dispatch_session(self, session: DispatchSession) -> None:
        """Handles the end of a dispatch stream."""
        self._entry_host.routing.dispatcher.end_dispatch_session(session)

    def adopt(self, request: AdoptRequest) -> AdoptReply:
        """Adopts a term of a service's dispatcher."""
        return self._entry_host.routing.dispatcher.adopt(request)
