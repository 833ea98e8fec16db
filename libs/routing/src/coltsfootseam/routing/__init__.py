"""The request path: admission, dispatch, relay and idempotency keys."""

from coltsfootseam.routing.attempts import AttemptRunner
from coltsfootseam.routing.dispatch import (
    DispatchContext,
    Dispatcher,
    Grant,
    SlotUse,
)
from coltsfootseam.routing.dispatchers import (
    find_dispatcher,
    registered_dispatchers,
)
from coltsfootseam.routing.endpoints import (
    Endpoint,
    EndpointTable,
    QuarantineCause,
)
from coltsfootseam.routing.frontend import Frontend, RoutingSettings
from coltsfootseam.routing.handover import KeyHandover
from coltsfootseam.routing.key_context import KeyContext
from coltsfootseam.routing.key_store import KeyStore
from coltsfootseam.routing.keys import KeyGuard
from coltsfootseam.routing.prober import Prober
from coltsfootseam.routing.relay import Relay, open_relay
from coltsfootseam.routing.request import (
    DeadlineLimits,
    RequestHead,
    parse_request_head,
)

__all__ = [
    "AttemptRunner",
    "DeadlineLimits",
    "DispatchContext",
    "Dispatcher",
    "Endpoint",
    "EndpointTable",
    "Frontend",
    "Grant",
    "KeyContext",
    "KeyGuard",
    "KeyHandover",
    "KeyStore",
    "Prober",
    "QuarantineCause",
    "Relay",
    "RequestHead",
    "RoutingSettings",
    "SlotUse",
    "find_dispatcher",
    "open_relay",
    "parse_request_head",
    "registered_dispatchers",
]
