"""What an entry host answers to its peers."""

from coltsfootseam.entry.node import Node
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
    """Answers peers from the parts of a node."""

    __slots__ = ("_node",)

    def __init__(self, node: Node) -> None:
        self._node = node

    def fetch(self, from_offset: int) -> FetchedState:
        """Returns records from an offset on, or a snapshot."""
        replication = self._node.replication
        return replication.replica.fetch(
            from_offset, replication.connectivity.is_log_reachable()
        )

    def status(self, host_id: str) -> PeerStatus:
        """Returns what is in force here."""
        return PeerStatus(
            entry_id=self._node.core.settings.entry_id,
            offset=self._node.replication.replica.state.offset,
            in_progress=self._node.routing.endpoints.in_progress_on(host_id),
        )

    def reserve_key(self, key: str, request_id: str) -> KeyReservation:
        """Reserves a key for a request, or tells what is known of it."""
        state = self._node.replication.replica.state
        return self._node.routing.key_store.reserve(key, request_id, state)

    def copy_keys(self, copies: list[KeyCopy]) -> None:
        """Takes over records of keys."""
        self._node.routing.key_store.take_copies(copies)

    def report_endpoint(
        self, host_id: str, host_version: int, cause: str
    ) -> None:
        """Takes note that an endpoint is leaving or fails."""
        self._node.routing.endpoints.take_report(host_id, host_version, cause)

    def take_dispatch_update(
        self, session: DispatchSession, update: DispatchUpdate
    ) -> None:
        """Takes what an entry host tells this dispatcher."""
        self._node.routing.dispatcher.take_dispatch_update(session, update)

    def end_dispatch_session(self, session: DispatchSession) -> None:
        """Takes note that a stream has ended."""
        self._node.routing.dispatcher.end_dispatch_session(session)

    def adopt(self, request: AdoptRequest) -> AdoptReply:
        """Moves to a term of a service's dispatcher."""
        return self._node.routing.dispatcher.adopt(request)
