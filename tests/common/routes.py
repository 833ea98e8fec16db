"""Parts of the request path that tests are based on."""

from coltsfootseam.observe import HybridClock, Observer
from coltsfootseam.peers import PeerClients
from coltsfootseam.routing import (
    DispatchContext,
    Dispatcher,
    EndpointTable,
    RequestHead,
    find_dispatcher,
)
from coltsfootseam.state import FleetState
from coltsfootseam.timers import VirtualTimers
from tests.common.fakes import make_rng


class Route:
    """The dispatch of one entry host over a given state."""

    def __init__(
        self,
        state: FleetState,
        timers: VirtualTimers,
        own_id: str = "entry-0",
        dispatch: str = "shares",
        queue_limit: int = 100,
    ) -> None:
        self.state = state
        self.timers = timers
        self.observer = Observer(timers, own_id, "zone-a")
        self.endpoints = EndpointTable(self.observer)
        self.endpoints.rebuild(state)
        factory = find_dispatcher(dispatch)
        assert factory is not None
        self.dispatcher: Dispatcher = factory(
            DispatchContext(
                own_id=own_id,
                state=lambda: self.state,
                endpoints=self.endpoints,
                peers=PeerClients(HybridClock(timers), 1.0),
                timers=timers,
                observer=self.observer,
                queue_limit=queue_limit,
                rng=make_rng(),
            )
        )


def make_head(
    timers: VirtualTimers,
    request_id: str = "entry-0/1",
    deadline_s: float = 10.0,
    service: str = "service-a",
    key: str = "",
    method: str = "POST",
) -> RequestHead:
    """Returns the head of a request that arrives now."""
    return RequestHead(
        request_id=request_id,
        service=service,
        method=method,
        target=f"/{service}/work",
        key=key,
        arrived_s=timers.now_s(),
        deadline_s=timers.now_s() + deadline_s,
    )
