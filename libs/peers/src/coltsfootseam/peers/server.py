"""Server of the calls between entry hosts."""

import abc
import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import grpc
import msgspec

from coltsfootseam.observe import HybridClock
from coltsfootseam.peers.dispatch import (
    AdoptReply,
    AdoptRequest,
    DispatchReply,
    DispatchSession,
    DispatchUpdate,
    NewerTerm,
    SlotGrant,
    SlotRefusal,
)
from coltsfootseam.peers.internal import peer_pb2 as pb
from coltsfootseam.peers.internal import peer_pb2_grpc
from coltsfootseam.peers.internal.convert import (
    answer_to_wire,
    stamp_from_wire,
    stamp_to_wire,
)
from coltsfootseam.peers.messages import (
    FetchedState,
    KeyCopy,
    KeyReservation,
    PeerStatus,
)
from coltsfootseam.peers.options import SERVER_OPTIONS
from coltsfootseam.peers.outbox import Outbox

_STOP_GRACE_S = 1.0


class PeerService(abc.ABC):
    """The calls that an entry host serves to its peers."""

    __slots__ = ()

    @abc.abstractmethod
    def fetch(self, from_offset: int) -> FetchedState:
        """Returns records from an offset on, or a snapshot."""

    @abc.abstractmethod
    def status(self, host_id: str) -> PeerStatus:
        """Returns the status of this entry host.

        Args:
            host_id: Host whose requests in progress are counted.
        """

    @abc.abstractmethod
    def reserve_key(self, key: str, request_id: str) -> KeyReservation:
        """Reserves a key for a request, or returns what is known about it."""

    @abc.abstractmethod
    def copy_keys(self, copies: list[KeyCopy]) -> None:
        """Stores records of keys that a peer hands over."""

    @abc.abstractmethod
    def report_endpoint(
        self, host_id: str, host_version: int, cause: str
    ) -> None:
        """Records that an endpoint is leaving or fails."""

    @abc.abstractmethod
    def handle_dispatch_update(
        self, session: DispatchSession, update: DispatchUpdate
    ) -> None:
        """Handles a message from an entry host to this dispatcher."""

    @abc.abstractmethod
    def end_dispatch_session(self, session: DispatchSession) -> None:
        """Handles the end of a stream."""

    @abc.abstractmethod
    def adopt(self, request: AdoptRequest) -> AdoptReply:
        """Moves to a term of a service's dispatcher."""


class _Session(DispatchSession):
    """Batches replies: those added during a write are sent with the next."""

    __slots__ = ("outbox",)

    def __init__(self) -> None:
        self.outbox = Outbox(DispatchReply)

    def send_grant(self, grant: SlotGrant) -> None:
        self.outbox.batch.grants.append(grant)
        self.outbox.mark_changed()

    def send_refusal(self, refusal: SlotRefusal) -> None:
        self.outbox.batch.refusals.append(refusal)
        self.outbox.mark_changed()

    def send_term(self, newer: NewerTerm) -> None:
        # Several requests that wait for one service cause the same message.
        if newer not in self.outbox.batch.terms:
            self.outbox.batch.terms.append(newer)
            self.outbox.mark_changed()

    def send_pong(self) -> None:
        self.outbox.mark_changed()


class _Servicer(peer_pb2_grpc.PeerServicer):  # type: ignore[misc]
    def __init__(self, service: PeerService, clock: HybridClock) -> None:
        self._service = service
        self._clock = clock

    def _stamp(self, request: Any) -> Any:
        self._clock.merge(stamp_from_wire(request.stamp))
        return stamp_to_wire(self._clock.tick())

    async def Fetch(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Serves a fetch of records."""
        del context
        fetched = self._service.fetch(request.from_offset)
        return pb.FetchReply(
            stamp=self._stamp(request),
            next_offset=fetched.next_offset,
            entries=[
                pb.Entry(offset=entry.offset, text=entry.text)
                for entry in fetched.entries
            ],
            snapshot=fetched.snapshot,
            fresh=fetched.fresh,
        )

    async def Status(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Serves a request for the status."""
        del context
        status = self._service.status(request.host_id)
        return pb.StatusReply(
            stamp=self._stamp(request),
            entry_id=status.entry_id,
            offset=status.offset,
            in_progress=status.in_progress,
        )

    async def ReserveKey(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Serves the reservation of a key."""
        del context
        reservation = self._service.reserve_key(request.key, request.request_id)
        return pb.ReserveKeyReply(
            stamp=self._stamp(request),
            verdict=int(reservation.verdict),
            answer=answer_to_wire(reservation.answer),
        )

    async def CopyKeys(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Serves the handover of records of keys."""
        del context
        copies = msgspec.msgpack.decode(request.body, type=list[KeyCopy])
        self._service.copy_keys(copies)
        return pb.CopyKeysReply(stamp=self._stamp(request))

    async def ReportEndpoint(  # noqa: N802
        self, request: Any, context: Any
    ) -> Any:
        """Serves a report of an endpoint."""
        del context
        self._service.report_endpoint(
            request.host_id, request.host_version, request.cause
        )
        return pb.EndpointReportReply(stamp=self._stamp(request))

    async def Adopt(self, request: Any, context: Any) -> Any:  # noqa: N802
        """Serves a dispatcher that starts a term."""
        del context
        body = msgspec.msgpack.decode(request.body, type=AdoptRequest)
        reply = self._service.adopt(body)
        return pb.Packet(
            stamp=self._stamp(request), body=msgspec.msgpack.encode(reply)
        )

    async def Dispatch(self, requests: Any, context: Any) -> None:  # noqa: N802
        """Serves the stream of one entry host."""
        session = _Session()

        async def write(reply: DispatchReply) -> None:
            stamp = stamp_to_wire(self._clock.tick())
            body = msgspec.msgpack.encode(reply)
            await context.write(pb.Packet(stamp=stamp, body=body))

        writing = asyncio.ensure_future(session.outbox.write_all(write))
        try:
            async for request in requests:
                self._clock.merge(stamp_from_wire(request.stamp))
                update = msgspec.msgpack.decode(
                    request.body, type=DispatchUpdate
                )
                self._service.handle_dispatch_update(session, update)
        finally:
            writing.cancel()
            self._service.end_dispatch_session(session)


@contextlib.asynccontextmanager
async def serving_peers(
    address: str, service: PeerService, clock: HybridClock
) -> AsyncIterator[None]:
    """Serves peers at ``address`` while the context is open.

    Raises:
        RuntimeError: If the server can't listen on the address.
    """
    server = grpc.aio.server(options=SERVER_OPTIONS)
    peer_pb2_grpc.add_PeerServicer_to_server(  # type: ignore[no-untyped-call]
        _Servicer(service, clock), server
    )
    server.add_insecure_port(address)
    await server.start()
    try:
        yield
    finally:
        await server.stop(_STOP_GRACE_S)
