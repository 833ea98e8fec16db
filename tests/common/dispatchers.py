"""Several entry hosts that dispatch by grants, over a fake network."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

from coltsfootseam.observe import Observer
from coltsfootseam.peers import (
    AdoptReply,
    AdoptRequest,
    DispatchReply,
    DispatchSession,
    DispatchUpdate,
    NewerTerm,
    Outbox,
    SlotGrant,
    SlotRefusal,
)
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.routing import (
    DispatchContext,
    Dispatcher,
    EndpointTable,
    Grant,
    SlotUse,
    find_dispatcher,
)
from coltsfootseam.state import FleetState, rank_members
from coltsfootseam.timers import VirtualTimers
from tests.common.fakes import make_rng
from tests.common.routes import make_head

SERVICE = "service-a"


class _FakeSession(DispatchSession):
    def __init__(self, network: "FakeNetwork", pair: Any, take: Any) -> None:
        self._network = network
        self._pair = pair
        self._take = take

    def _deliver(self, reply: DispatchReply) -> None:
        if self._network.passes(*self._pair):
            self._network.carry(self._pair[0], lambda: self._take(reply))
        else:
            self._network.held_back.append((self._pair, self._take, reply))

    def send_grant(self, grant: SlotGrant) -> None:
        self._deliver(DispatchReply(grants=[grant]))

    def send_refusal(self, refusal: SlotRefusal) -> None:
        self._deliver(DispatchReply(refusals=[refusal]))

    def send_term(self, newer: NewerTerm) -> None:
        self._deliver(DispatchReply(terms=[newer]))

    def send_pong(self) -> None:
        self._deliver(DispatchReply())


class FakeNetwork:
    """Carries calls between entry hosts.

    Attributes:
        dead: Entry hosts whose connections are refused.
        silent: Entry hosts that nothing reaches and nothing leaves, while
            their connections stay open.
        slow: Entry hosts whose replies to calls arrive late, while streams
            are as quick as ever.
        lag_s: How long a message on a stream is under way.
    """

    def __init__(self, state: FleetState) -> None:
        self.state = state
        self.dead: set[str] = set()
        self.silent: set[str] = set()
        self.slow: set[str] = set()
        self.lag_s = 0.0
        self.held_back: list[tuple[tuple[str, str], Any, DispatchReply]] = []
        self.hosts_by_id: dict[str, DispatchHost] = {}

    def passes(self, one: str, other: str) -> bool:
        """Tells whether anything gets from one entry host to another."""
        return not {one, other} & (self.dead | self.silent)

    def carry(self, to: str, arrive: Callable[[], None]) -> None:
        """Lets a message to an entry host arrive after the lag."""
        if self.lag_s:
            self.hosts_by_id[to].timers.call_after(self.lag_s, arrive)
        else:
            asyncio.get_running_loop().call_soon(arrive)

    def speak(self) -> None:
        """Ends all silence; what was held back arrives late."""
        self.silent.clear()
        held_back, self.held_back = self.held_back, []
        for pair, take, reply in held_back:
            if self.passes(*pair):
                take(reply)

    def id_at(self, address: str) -> str:
        """Returns the entry host with an address."""
        return next(
            member.member_id
            for member in self.state.members_by_id.values()
            if member.peers == address
        )


class _FakePeers:
    def __init__(self, network: FakeNetwork, own_id: str) -> None:
        self._network = network
        self._own_id = own_id

    async def adopt(
        self, address: str, body: AdoptRequest
    ) -> AdoptReply | Refusal:
        target = self._network.id_at(address)
        if not self._network.passes(self._own_id, target):
            return Refusal(ResultCode.UNREACHABLE, target)
        reply = self._network.hosts_by_id[target].dispatcher.adopt(body)
        if target in self._network.slow:
            await self._network.hosts_by_id[target].timers.sleep(0.15)
        return reply

    async def exchange(
        self, address: str, outbox: Outbox[DispatchUpdate], take: Any
    ) -> None:
        target = self._network.id_at(address)
        if target in self._network.dead:
            return
        pair = (self._own_id, target)
        session = _FakeSession(self._network, pair, take)
        dispatcher = self._network.hosts_by_id[target].dispatcher
        timers = self._network.hosts_by_id[target].timers

        async def write(update: DispatchUpdate) -> None:
            if target in self._network.dead:
                raise ConnectionResetError
            if not self._network.passes(*pair):
                return
            if self._network.lag_s:
                await timers.sleep(self._network.lag_s)
            dispatcher.handle_dispatch_update(session, update)

        try:
            await outbox.write_all(write)
        except ConnectionResetError:
            return
        finally:
            dispatcher.end_dispatch_session(session)


class DispatchHost:
    """One entry host and the grants that its requests got.

    Attributes:
        state: What it has folded; the state of the network unless a test lets
            it lag.
    """

    def __init__(
        self, own_id: str, network: FakeNetwork, timers: VirtualTimers
    ) -> None:
        self.own_id = own_id
        self.network = network
        self.timers = timers
        self.observer = Observer(timers, own_id, "zone-a")
        self.endpoints = EndpointTable(self.observer)
        self.state = network.state
        self.endpoints.rebuild(self.state)
        peers: Any = _FakePeers(network, own_id)
        factory = find_dispatcher("granted")
        assert factory is not None
        self.dispatcher: Dispatcher = factory(
            DispatchContext(
                own_id=own_id,
                state=lambda: self.state,
                endpoints=self.endpoints,
                peers=peers,
                timers=timers,
                observer=self.observer,
                queue_limit=500,
                rng=make_rng(),
            )
        )
        timers.subscribe(0.2, self._tick)
        self.grants: list[Grant] = []
        self.refusals: list[Refusal] = []
        self.tasks: list[asyncio.Future[None]] = []

    def _tick(self) -> None:
        if self.own_id not in self.network.silent | self.network.dead:
            self.dispatcher.tick()

    def ask(
        self,
        name: str,
        target: str = "/service-a/work",
        deadline_s: float = 60.0,
    ) -> None:
        """Starts a request for a slot."""
        head = make_head(self.timers, f"{self.own_id}/{name}", deadline_s)
        head = type(head)(
            request_id=head.request_id,
            service=SERVICE,
            method="POST",
            target=target,
            key="",
            arrived_s=head.arrived_s,
            deadline_s=head.deadline_s,
        )

        async def wait() -> None:
            result = await self.dispatcher.acquire(head)
            if isinstance(result, Grant):
                self.grants.append(result)
            else:
                self.refusals.append(result)

        self.tasks.append(asyncio.ensure_future(wait()))

    def follow(self, state: FleetState) -> None:
        """Follows a change of the state."""
        self.state = state
        self.endpoints.rebuild(state)
        self.dispatcher.refresh()

    def finish(self, grant: Grant, ran_s: float = 1.0) -> None:
        """Ends a granted request."""
        self.grants.remove(grant)
        self.dispatcher.release(grant, SlotUse(ran_s))


class DispatchFleet:
    """Entry hosts over one state; all fold the same at the same time."""

    def __init__(self, state: FleetState) -> None:
        self.timers = VirtualTimers()
        self.network = FakeNetwork(state)
        for own_id in state.members_by_id:
            self.network.hosts_by_id[own_id] = DispatchHost(
                own_id, self.network, self.timers
            )

    @property
    def hosts(self) -> list[DispatchHost]:
        """Returns the entry hosts that run."""
        return [
            host
            for host_id, host in self.network.hosts_by_id.items()
            if host_id not in self.network.dead
        ]

    def dispatcher_id(self) -> str:
        """Returns the dispatcher of the first term."""
        members = self.network.state.members_by_id
        return rank_members(members, f"dispatch/{SERVICE}")[0]

    def refresh(self) -> None:
        """Lets every entry host follow a change of the state."""
        for host in self.hosts:
            host.follow(self.network.state)

    def held_by_host(self) -> Counter[str]:
        """Returns the slots that requests hold, dead entry hosts' included."""
        return Counter(
            grant.endpoint.host_id
            for host in self.network.hosts_by_id.values()
            for grant in host.grants
        )

    def all_grants(self) -> int:
        """Returns how many requests hold a slot."""
        return self.held_by_host().total()

    def terms_begun(self) -> int:
        """Returns how often any entry host became the dispatcher."""
        return sum(
            host.observer.counters.totals_by_name["events.dispatch.term_begun"]
            for host in self.network.hosts_by_id.values()
        )

    async def close(self) -> None:
        """Ends what runs in the background."""
        for host in self.network.hosts_by_id.values():
            await host.dispatcher.close()
            for task in host.tasks:
                task.cancel()
