"""Ways of dispatch: how a request gets a slot of an endpoint.

A way of dispatch registers itself by name; the settings choose one.
"""

import abc
import random
from collections.abc import Callable
from typing import TypeVar

import msgspec

from coltsfootseam.observe import Observer
from coltsfootseam.peers import (
    AdoptReply,
    AdoptRequest,
    DispatchSession,
    DispatchUpdate,
    EndpointFinding,
    PeerClients,
)
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.routing.endpoints import Endpoint, EndpointTable
from coltsfootseam.routing.request import RequestHead
from coltsfootseam.state import FleetState
from coltsfootseam.timers import TimerService


class Grant(msgspec.Struct, frozen=True, eq=False):
    """The right to run one request on one endpoint.

    Attributes:
        request: The request that it was made for.
        endpoint: The endpoint.
        address: Where the endpoint was when the grant was made.
        pool: The pool that the host belonged to.
        host_version: Version of the host's claim.
    """

    request: RequestHead
    endpoint: Endpoint
    address: str
    pool: str
    host_version: int


class SlotUse(msgspec.Struct, frozen=True):
    """How a slot was used.

    Attributes:
        ran_s: How long the request ran, ``None`` if it did not run.
        finding: What was found out about the endpoint.
    """

    ran_s: float | None = None
    finding: EndpointFinding = EndpointFinding.NONE


class DispatchContext(msgspec.Struct, frozen=True):
    """What a way of dispatch works with.

    Attributes:
        own_id: Name of this entry host.
        state: Returns the folded state in force.
        endpoints: The endpoints of each service.
        peers: Calls to other entry hosts.
        timers: The time.
        observer: Events and counters.
        queue_limit: Most requests that wait for one service.
        rng: Source of random choices.
    """

    own_id: str
    state: Callable[[], FleetState]
    endpoints: EndpointTable
    peers: PeerClients
    timers: TimerService
    observer: Observer
    queue_limit: int
    rng: random.Random


def refuse_late(request: RequestHead, endpoints: EndpointTable) -> Refusal:
    """Returns why a request got no slot before its deadline."""
    if not endpoints.endpoints_of(request.service):
        return Refusal(
            ResultCode.NOT_RUN_NO_ENDPOINT,
            f"no endpoint of {request.service!r} takes work",
        )
    return Refusal(
        ResultCode.NOT_RUN_DEADLINE,
        f"no slot of {request.service!r} before the deadline",
    )


class Dispatcher(abc.ABC):
    """Gives requests slots of endpoints."""

    __slots__ = ()

    @abc.abstractmethod
    async def acquire(self, request: RequestHead) -> Grant | Refusal:
        """Waits for a slot until the request's deadline.

        Returns:
            A grant, or a refusal of the ``NOT_RUN`` kind.
        """

    @abc.abstractmethod
    def release(self, grant: Grant, use: SlotUse) -> None:
        """Gives a slot back and tells how it was used."""

    @abc.abstractmethod
    def refresh(self) -> None:
        """Looks again at what waits, after endpoints or members changed."""

    def tick(self) -> None:  # noqa: B027
        """Looks after what waits too long; called several times a second."""

    def handle_dispatch_update(  # noqa: B027
        self, session: DispatchSession, update: DispatchUpdate
    ) -> None:
        """Takes a message of another entry host."""

    def end_dispatch_session(  # noqa: B027
        self, session: DispatchSession
    ) -> None:
        """Takes note that the stream of another entry host has ended."""

    def adopt(self, request: AdoptRequest) -> AdoptReply:
        """Answers a dispatcher that begins a term."""
        return AdoptReply(request.term, [])

    async def close(self) -> None:  # noqa: B027
        """Ends what runs in the background."""


DispatcherFactory = Callable[[DispatchContext], Dispatcher]
Factory = TypeVar("Factory", bound=DispatcherFactory)

_factories_by_name: dict[str, DispatcherFactory] = {}


def dispatcher(name: str) -> Callable[[Factory], Factory]:
    """Registers a way of dispatch under a name."""

    def register(factory: Factory) -> Factory:
        assert name not in _factories_by_name, name
        _factories_by_name[name] = factory
        return factory

    return register


def registered_factories() -> dict[str, DispatcherFactory]:
    """Returns the ways of dispatch that were registered so far, by name."""
    return dict(_factories_by_name)
