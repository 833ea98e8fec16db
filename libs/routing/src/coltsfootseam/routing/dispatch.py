"""The interface of dispatch strategies, which assign slots to requests.

A strategy registers itself under a name, by which the settings select it.
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
        request: The request that may run.
        endpoint: The endpoint.
        address: Address of the endpoint when the grant was made.
        pool: Pool that the host belonged to when the grant was made.
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
        finding: What the run showed about the endpoint.
    """

    ran_s: float | None = None
    finding: EndpointFinding = EndpointFinding.NONE


class DispatchContext(msgspec.Struct, frozen=True):
    """The dependencies of a dispatch strategy.

    Attributes:
        own_id: Name of this entry host.
        state: Returns the current replicated state.
        endpoints: The endpoints of each service.
        peers: Calls to other entry hosts.
        timers: The clock and timers.
        observer: Events and counters.
        queue_limit: Maximum number of requests that wait for one service.
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


def deadline_refusal(request: RequestHead, endpoints: EndpointTable) -> Refusal:
    """Returns the refusal of a request without a slot at its deadline."""
    if not endpoints.endpoints_of(request.service):
        return Refusal(
            ResultCode.NOT_RUN_NO_ENDPOINT,
            f"no endpoint of {request.service!r} accepts work",
        )
    return Refusal(
        ResultCode.NOT_RUN_DEADLINE,
        f"no slot of {request.service!r} was free before the deadline",
    )


class Dispatcher(abc.ABC):
    """Assigns slots of endpoints to requests."""

    __slots__ = ()

    @abc.abstractmethod
    async def acquire(self, request: RequestHead) -> Grant | Refusal:
        """Waits for a slot until the request's deadline.

        Returns:
            A grant, or a refusal of the ``NOT_RUN`` kind.
        """

    @abc.abstractmethod
    def release(self, grant: Grant, use: SlotUse) -> None:
        """Returns a slot and records how it was used."""

    @abc.abstractmethod
    def refresh(self) -> None:
        """Applies changes of endpoints or members to waiting requests."""

    def tick(self) -> None:  # noqa: B027
        """Checks requests that wait too long; called several times a second."""

    def handle_dispatch_update(  # noqa: B027
        self, session: DispatchSession, update: DispatchUpdate
    ) -> None:
        """Handles a message from another entry host."""

    def end_dispatch_session(  # noqa: B027
        self, session: DispatchSession
    ) -> None:
        """Handles the end of the stream of another entry host."""

    def adopt(self, request: AdoptRequest) -> AdoptReply:
        """Answers a dispatcher that starts a term."""
        return AdoptReply(request.term, [])

    async def close(self) -> None:  # noqa: B027
        """Cancels background tasks."""


DispatcherFactory = Callable[[DispatchContext], Dispatcher]
Factory = TypeVar("Factory", bound=DispatcherFactory)

_factories_by_name: dict[str, DispatcherFactory] = {}


def dispatcher(name: str) -> Callable[[Factory], Factory]:
    """Registers a dispatch strategy under a name."""

    def register(factory: Factory) -> Factory:
        assert name not in _factories_by_name, name
        _factories_by_name[name] = factory
        return factory

    return register


def registered_factories() -> dict[str, DispatcherFactory]:
    """Returns the registered dispatch strategies by name."""
    return dict(_factories_by_name)
