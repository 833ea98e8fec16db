"""A planned stop still serves the requests that arrive while it waits."""

import asyncio
from types import SimpleNamespace
from typing import Any

from aiohttp.test_utils import make_mocked_request

from coltsfootseam.entry import daemon
from coltsfootseam.entry.entry_host import EntryHost
from coltsfootseam.entry.readiness import Readiness
from coltsfootseam.observe import Observer
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.routing import DeadlineLimits, Frontend, RoutingSettings
from coltsfootseam.settings import TimerSettings
from coltsfootseam.timers import VirtualTimers

BALANCER_LAG_S = 1.0
STOP_LIMIT_S = 20.0


class FakeAttempts:
    """Runs each request for the number of seconds at the end of its path."""

    def __init__(self, timers: VirtualTimers) -> None:
        self._timers = timers
        self._running = 0
        self.ran: list[str] = []

    def running(self) -> int:
        """Returns the number of running requests."""
        return self._running

    def start(self, head: Any, *unused: Any) -> "asyncio.Task[Refusal]":
        """Starts a request."""
        del unused
        return asyncio.ensure_future(self._run(head.target))

    async def _run(self, target: str) -> Refusal:
        self._running += 1
        await self._timers.sleep(float(target.rpartition("/")[2]))
        self._running -= 1
        self.ran.append(target)
        return Refusal(ResultCode.OUTCOME_UNKNOWN, "ran")


class StoppingHost:
    """An entry host on fakes, to run the planned stop on.

    Attributes:
        is_listening: Whether it accepts new connections.
        has_left: Whether it has left the membership.
    """

    def __init__(self) -> None:
        self.timers = VirtualTimers()
        self.attempts = FakeAttempts(self.timers)
        self.is_listening = True
        self.has_left = False
        self._requests: list[asyncio.Future[Any]] = []
        times = TimerSettings(
            balancer_lag_ms=round(BALANCER_LAG_S * 1000),
            stop_ms=round(STOP_LIMIT_S * 1000),
        )
        settings: Any = SimpleNamespace(entry_id="entry-0", timers=times)
        observer = Observer(self.timers, "entry-0", "zone-a")
        lease: Any = SimpleNamespace(
            is_member=lambda: not self.has_left, leave=self._leave
        )
        connectivity: Any = SimpleNamespace(is_isolated=lambda *_: False)
        replica: Any = SimpleNamespace(state=None)
        readiness = Readiness(settings, replica, connectivity, lease)
        attempts: Any = self.attempts
        unused_keys: Any = None
        frontend = Frontend(
            RoutingSettings("entry-0", DeadlineLimits(30_000, 60_000), 0, 0),
            attempts,
            unused_keys,
            self.timers,
            observer,
            readiness.find_reason_not_to_run,
        )
        context: Any = SimpleNamespace(
            settings=settings, timers=self.timers, observer=observer
        )
        replication: Any = SimpleNamespace(lease=lease)
        handover = SimpleNamespace(hand_over_all=self._hand_over_all)
        routing: Any = SimpleNamespace(frontend=frontend, handover=handover)
        self._host = EntryHost(context, replication, routing, readiness)
        self._site: Any = SimpleNamespace(stop=self._stop_listening)

    def send_request(self, run_s: float) -> None:
        """Sends a request on an open connection."""
        request = make_mocked_request("GET", f"/service-a/{run_s}")
        answer = self._host.routing.frontend.handle(request)
        self._requests.append(asyncio.ensure_future(answer))

    def stop(self) -> "asyncio.Task[None]":
        """Starts the planned stop."""
        return asyncio.ensure_future(
            daemon._stop_gracefully(self._host, self._site)
        )

    def result_codes(self) -> list[ResultCode]:
        """Returns the result codes of the answers so far."""
        return [
            ResultCode(int(each.result().headers["X-Result-Code"]))
            for each in self._requests
            if each.done()
        ]

    async def _leave(self) -> None:
        self.has_left = True

    async def _hand_over_all(self) -> None:
        pass

    async def _stop_listening(self) -> None:
        self.is_listening = False


# Guards against refusing requests while the stop still waits for earlier ones.
async def test_requests_on_open_connections_are_served_during_a_stop() -> None:
    host = StoppingHost()
    host.send_request(run_s=5.0)
    stopping = host.stop()
    await host.timers.advance(BALANCER_LAG_S + 0.1)
    assert not host.is_listening
    host.send_request(run_s=0.2)
    await host.timers.advance(1.0)
    assert host.attempts.ran == ["/service-a/0.2"]
    await host.timers.advance(5.0)
    assert stopping.done() and host.has_left
    assert ResultCode.NOT_RUN_STOPPING not in host.result_codes()


# Guards against leaving while a balancer that hasn't seen the stop yet still
# sends requests.
async def test_host_leaves_after_no_request_for_the_balancer_lag() -> None:
    host = StoppingHost()
    stopping = host.stop()
    await host.timers.advance(0.9 * BALANCER_LAG_S)
    host.send_request(run_s=0.1)
    await host.timers.advance(0.9 * BALANCER_LAG_S)
    assert not host.has_left
    host.send_request(run_s=0.1)
    await host.timers.advance(0.9 * BALANCER_LAG_S)
    assert len(host.attempts.ran) == 2
    assert not host.has_left
    await host.timers.advance(0.2 * BALANCER_LAG_S)
    assert stopping.done() and host.has_left


# Guards against a stop that never ends because callers that use no balancer
# keep sending requests.
async def test_stop_ends_at_its_limit_under_continuous_requests() -> None:
    host = StoppingHost()
    stopping = host.stop()
    for _ in range(round(2 * (BALANCER_LAG_S + STOP_LIMIT_S)) + 1):
        host.send_request(run_s=0.1)
        await host.timers.advance(0.5)
    assert stopping.done() and host.has_left


# Guards against a stop that takes longer than the balancer's lag.
async def test_idle_host_leaves_after_the_balancer_lag() -> None:
    host = StoppingHost()
    stopping = host.stop()
    await host.timers.advance(BALANCER_LAG_S + 0.1)
    assert stopping.done() and host.has_left
