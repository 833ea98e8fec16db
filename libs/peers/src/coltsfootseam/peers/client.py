"""Client of the calls between entry hosts."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc
import msgspec

from coltsfootseam.observe import HybridClock
from coltsfootseam.peers.dispatch import (
    AdoptReply,
    AdoptRequest,
    DispatchReply,
    DispatchUpdate,
)
from coltsfootseam.peers.internal import peer_pb2 as pb
from coltsfootseam.peers.internal import peer_pb2_grpc
from coltsfootseam.peers.internal.convert import (
    answer_from_wire,
    stamp_from_wire,
    stamp_to_wire,
)
from coltsfootseam.peers.messages import (
    FetchedEntry,
    FetchedState,
    KeyCopy,
    KeyReservation,
    KeyVerdict,
    PeerStatus,
)
from coltsfootseam.peers.options import CLIENT_OPTIONS
from coltsfootseam.peers.outbox import Outbox
from coltsfootseam.results import Refusal, ResultCode


class _Connection:
    __slots__ = ("channel", "stub")

    def __init__(self, address: str) -> None:
        self.channel = grpc.aio.insecure_channel(
            address, options=CLIENT_OPTIONS
        )
        self.stub = peer_pb2_grpc.PeerStub(  # type: ignore[no-untyped-call]
            self.channel
        )


class PeerClients:
    """Calls other entry hosts; every call has a deadline.

    A call that exceeds its deadline discards its connection, so that the next
    call opens a new one: a connection may become unresponsive while new ones
    work.
    """

    __slots__ = ("_clock", "_connections_by_address", "_timeout_s")

    def __init__(self, clock: HybridClock, timeout_s: float) -> None:
        self._clock = clock
        self._timeout_s = timeout_s
        self._connections_by_address: dict[str, _Connection] = {}

    async def fetch(
        self, address: str, from_offset: int
    ) -> FetchedState | Refusal:
        """Fetches what a peer has folded from an offset on."""
        request = pb.FetchRequest(from_offset=from_offset)
        reply = await self._call(address, "Fetch", request)
        if isinstance(reply, Refusal):
            return reply
        entries = [
            FetchedEntry(entry.offset, entry.text) for entry in reply.entries
        ]
        return FetchedState(
            reply.next_offset, entries, reply.snapshot, reply.fresh
        )

    async def status(
        self, address: str, host_id: str = ""
    ) -> PeerStatus | Refusal:
        """Returns the status of a peer.

        Args:
            address: The peer's address for peers.
            host_id: Host whose requests in progress are counted.
        """
        request = pb.StatusRequest(host_id=host_id)
        reply = await self._call(address, "Status", request)
        if isinstance(reply, Refusal):
            return reply
        return PeerStatus(reply.entry_id, reply.offset, reply.in_progress)

    async def reserve_key(
        self, address: str, key: str, request_id: str
    ) -> KeyReservation | Refusal:
        """Reserves an idempotency key at a peer."""
        request = pb.ReserveKeyRequest(key=key, request_id=request_id)
        reply = await self._call(address, "ReserveKey", request)
        if isinstance(reply, Refusal):
            return reply
        return KeyReservation(
            KeyVerdict(reply.verdict), answer_from_wire(reply)
        )

    async def copy_keys(
        self, address: str, copies: list[KeyCopy]
    ) -> Refusal | None:
        """Hands records of keys over to a peer."""
        request = pb.Packet(body=msgspec.msgpack.encode(copies))
        reply = await self._call(address, "CopyKeys", request)
        return reply if isinstance(reply, Refusal) else None

    async def report_endpoint(
        self, address: str, host_id: str, host_version: int, cause: str
    ) -> Refusal | None:
        """Reports to a peer that an endpoint is leaving or fails."""
        request = pb.EndpointReport(
            host_id=host_id, host_version=host_version, cause=cause
        )
        reply = await self._call(address, "ReportEndpoint", request)
        return reply if isinstance(reply, Refusal) else None

    async def adopt(
        self, address: str, body: AdoptRequest
    ) -> AdoptReply | Refusal:
        """Requests that a member moves to a term of a service's dispatcher."""
        request = pb.Packet(body=msgspec.msgpack.encode(body))
        reply = await self._call(address, "Adopt", request)
        if isinstance(reply, Refusal):
            return reply
        return msgspec.msgpack.decode(reply.body, type=AdoptReply)

    async def exchange(
        self,
        address: str,
        outbox: Outbox[DispatchUpdate],
        handle_reply: Callable[[DispatchReply], None],
    ) -> None:
        """Exchanges messages with a dispatcher until the stream ends.

        Args:
            address: The dispatcher's address for peers.
            outbox: Collects the messages to send.
            handle_reply: Called with each reply.
        """
        connection = _Connection(address)
        call = connection.stub.Dispatch()

        async def write(update: DispatchUpdate) -> None:
            stamp = stamp_to_wire(self._clock.tick())
            body = msgspec.msgpack.encode(update)
            await call.write(pb.Packet(stamp=stamp, body=body))

        writing = asyncio.ensure_future(outbox.write_all(write))
        # Retrieves the exception of a failed write; the reader below sees that
        # the stream has ended.
        writing.add_done_callback(
            lambda task: task.cancelled() or task.exception()
        )
        try:
            async for packet in call:
                self._clock.merge(stamp_from_wire(packet.stamp))
                handle_reply(
                    msgspec.msgpack.decode(packet.body, type=DispatchReply)
                )
        except grpc.aio.AioRpcError:
            return
        finally:
            writing.cancel()
            call.cancel()
            await connection.channel.close()

    async def close(self) -> None:
        """Closes every connection."""
        connections = list(self._connections_by_address.values())
        self._connections_by_address.clear()
        for connection in connections:
            await connection.channel.close()

    async def _call(self, address: str, method: str, request: Any) -> Any:
        request.stamp.CopyFrom(stamp_to_wire(self._clock.tick()))
        connection = self._connections_by_address.get(address)
        if connection is None:
            connection = _Connection(address)
            self._connections_by_address[address] = connection
        try:
            call = getattr(connection.stub, method)
            reply = await call(request, timeout=self._timeout_s)
        except asyncio.CancelledError:
            # gRPC cancels the calls of a channel that is closed. Only a
            # cancellation of the task itself is passed on to the caller.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            return Refusal(
                ResultCode.UNREACHABLE,
                f"peer {address}: {method}: the connection was closed",
            )
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                await self._discard_connection(address, connection)
            return Refusal(
                ResultCode.UNREACHABLE,
                f"peer {address}: {method}: {error.code().name}",
            )
        self._clock.merge(stamp_from_wire(reply.stamp))
        return reply

    async def _discard_connection(
        self, address: str, connection: _Connection
    ) -> None:
        if self._connections_by_address.get(address) is connection:
            del self._connections_by_address[address]
        # Other calls on this connection may continue until their deadlines.
        await connection.channel.close(grace=self._timeout_s)


@contextlib.asynccontextmanager
async def calling_peers(
    clock: HybridClock, timeout_s: float
) -> AsyncIterator[PeerClients]:
    """Yields clients that are closed when the context ends."""
    clients = PeerClients(clock, timeout_s)
    try:
        yield clients
    finally:
        await clients.close()
