"""Entry hosts with granted dispatch over a fake network."""

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
    def __init__(
        self, network: "FakeNetwork", pair: Any, on_reply: Any
    ) -> None:
        self._network = network
        self._pair = pair
        self._on_reply = on_reply

    def _deliver(self, reply: DispatchReply) -> None:
        if self._network.is_connected(*self._pair):
            self._network.deliver(self._pair[0], lambda: self._on_reply(reply))
        else:
            self._network.delayed_replies.append(
                (self._pair, self._on_reply, reply)
            )

    def send_grant(self, grant: SlotGrant) -> None:
        self._deliver(DispatchReply(grants=[grant]))

    def send_refusal(self, refusal: SlotRefusal) -> None:
        self._deliver(DispatchReply(refusals=[refusal]))

    def send_term(self, newer: NewerTerm) -> None:
        self._deliver(DispatchReply(terms=[newer]))

    def send_pong(self) -> None:
        self._deliver(DispatchReply())


class FakeNetwork:
    """Delivers calls and streams between entry hosts.

    Attributes:
        dead: Entry hosts whose connections are refused.
        unresponsive: Entry hosts that neither send nor receive anything, while
            their connections stay open.
        slow: Entry hosts whose replies to calls are delayed; streams are not.
        lag_s: Delay of each message on a stream.
    """

    def __init__(self, state: FleetState) -> None:
        self.state = state
        self.dead: set[str] = set()
        self.unresponsive: set[str] = set()
        self.slow: set[str] = set()
        self.lag_s = 0.0
        self.delayed_replies: list[
            tuple[tuple[str, str], Any, DispatchReply]
        ] = []
        self.hosts_by_id: dict[str, DispatchHost] = {}

    def is_connected(self, one: str, other: str) -> bool:
        """Returns whether two entry hosts reach each other."""
        return not {one, other} & (self.dead | self.unresponsive)

    def deliver(self, target: str, receive: Callable[[], None]) -> None:
        """Delivers a message to an entry host after the lag."""
        if self.lag_s:
            self.hosts_by_id[target].timers.call_after(self.lag_s, receive)
        else:
            asyncio.get_running_loop().call_soon(receive)

    def resume_all(self) -> None:
        """Makes all entry hosts responsive and delivers delayed replies."""
        self.unresponsive.clear()
        delayed_replies, self.delayed_replies = self.delayed_replies, []
        for pair, on_reply, reply in delayed_replies:
            if self.is_connected(*pair):
                on_reply(reply)

    def id_at(self, address: str) -> str:
        """Returns the id of the entry host with an address."""
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
        if not self._network.is_connected(self._own_id, target):
            return Refusal(ResultCode.UNREACHABLE, target)
        reply = self._network.hosts_by_id[target].dispatcher.adopt(body)
        if target in self._network.slow:
            await self._network.hosts_by_id[target].timers.sleep(0.15)
        return reply

    async def exchange(
        self, address: str, outbox: Outbox[DispatchUpdate], on_reply: Any
    ) -> None:
        target = self._network.id_at(address)
        if target in self._network.dead:
            return
        pair = (self._own_id, target)
        session = _FakeSession(self._network, pair, on_reply)
        dispatcher = self._network.hosts_by_id[target].dispatcher
        timers = self._network.hosts_by_id[target].timers

        async def write(update: DispatchUpdate) -> None:
            if target in self._network.dead:
                raise ConnectionResetError
            if not self._network.is_connected(*pair):
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
    """One entry host and the grants of its requests.

    Attributes:
        state: Its replicated state; the state of the network unless a test
            lets it lag.
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
        if self.own_id not in self.network.unresponsive | self.network.dead:
            self.dispatcher.tick()

    def start_request(
        self,
        name: str,
        target: str = "/service-a/work",
        deadline_s: float = 60.0,
    ) -> None:
        """Starts a request that waits for a slot."""
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

    def apply_state(self, state: FleetState) -> None:
        """Applies a changed state."""
        self.state = state
        self.endpoints.rebuild(state)
        self.dispatcher.refresh()

    def finish(self, grant: Grant, ran_s: float = 1.0) -> None:
        """Finishes a granted request."""
        self.grants.remove(grant)
        self.dispatcher.release(grant, SlotUse(ran_s))


class DispatchFleet:
    """Entry hosts that share one replicated state."""

    def __init__(self, state: FleetState) -> None:
        self.timers = VirtualTimers()
        self.network = FakeNetwork(state)
        for own_id in state.members_by_id:
            self.network.hosts_by_id[own_id] = DispatchHost(
                own_id, self.network, self.timers
            )

    @property
    def hosts(self) -> list[DispatchHost]:
        """Returns the entry hosts that are not dead."""
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
        """Applies the changed state on every entry host."""
        for host in self.hosts:
            host.apply_state(self.network.state)

    def slots_in_use_by_host(self) -> Counter[str]:
        """Returns the slots in use by host, dead entry hosts' included."""
        return Counter(
            grant.endpoint.host_id
            for host in self.network.hosts_by_id.values()
            for grant in host.grants
        )

    def grant_count(self) -> int:
        """Returns how many requests hold a slot."""
        return self.slots_in_use_by_host().total()

    def terms_started(self) -> int:
        """Returns how often any entry host became the dispatcher."""
        return sum(
            host.observer.counters.totals_by_name["events.dispatch.term_begun"]
            for host in self.network.hosts_by_id.values()
        )

    async def close(self) -> None:
        """Closes the dispatchers and cancels the requests."""
        for host in self.network.hosts_by_id.values():
            await host.dispatcher.close()
            for task in host.tasks:
                task.cancel()
