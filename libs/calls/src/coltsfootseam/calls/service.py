"""The server side of RPCs: methods by name, with their message types."""

import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

import grpc
import msgspec

from coltsfootseam.calls.messages import (
    DutyOffer,
    DutyOfferReply,
    EvacuationReply,
    EvacuationRequest,
    ForwardAppendReply,
    ForwardAppendRequest,
    JobStatusReply,
    JobStatusRequest,
    OwnerReply,
    OwnerRequest,
    PendingCountReply,
    PendingCountRequest,
    QueuePoolsReply,
    QueuePoolsRequest,
    ReachabilityReply,
    ReachabilityRequest,
)
from coltsfootseam.teams.quota import QuotaReply, QuotaReport

SERVICE_NAME = "coltsfootseam.Manager"
_STOP_GRACE_S = 0.5

CHANNEL_OPTIONS = [
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", 16 * 1024 * 1024),
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
]


class Method(msgspec.Struct, frozen=True):
    """A method's name on the wire, and its request and reply types."""

    name: str
    request: type
    reply: type


ASK_JOB = Method("AskJob", JobStatusRequest, JobStatusReply)
ASK_PENDING = Method("AskPending", PendingCountRequest, PendingCountReply)
ASK_QUEUE_POOLS = Method("AskQueuePools", QueuePoolsRequest, QueuePoolsReply)
FORWARD_APPEND = Method("Relay", ForwardAppendRequest, ForwardAppendReply)
ASK_OWNER = Method("AskOwner", OwnerRequest, OwnerReply)
ASK_REACH = Method("AskReach", ReachabilityRequest, ReachabilityReply)
OFFER_DUTY = Method("OfferDuty", DutyOffer, DutyOfferReply)
EVACUATE = Method("Vacate", EvacuationRequest, EvacuationReply)
QUOTA_REPORT = Method("QuotaReport", QuotaReport, QuotaReply)

Handler = Callable[[Any], Awaitable[Any]]


@contextlib.asynccontextmanager
async def serving_calls(
    address: str, handlers_by_method: dict[Method, Handler]
) -> AsyncIterator[None]:
    """Serves calls at an address while the context is open.

    Args:
        address: IP and port to listen on.
        handlers_by_method: A coroutine function for each method.
    """
    server = grpc.aio.server(options=CHANNEL_OPTIONS)
    handlers = {
        method.name: grpc.unary_unary_rpc_method_handler(
            _without_context(handler),
            request_deserializer=msgspec.msgpack.Decoder(method.request).decode,
            response_serializer=msgspec.msgpack.encode,
        )
        for method, handler in handlers_by_method.items()
    }
    server.add_generic_rpc_handlers(
        (grpc.method_handlers_generic_handler(SERVICE_NAME, handlers),)
    )
    server.add_insecure_port(address)
    await server.start()
    try:
        yield
    finally:
        await server.stop(_STOP_GRACE_S)


def _without_context(
    handler: Handler,
) -> Callable[[Any, Any], Awaitable[Any]]:
    async def serve(request: Any, context: Any) -> Any:
        del context
        return await handler(request)

    return serve
