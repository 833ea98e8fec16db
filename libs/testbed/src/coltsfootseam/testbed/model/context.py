"""The manager's context in the model: virtual time, no peers or feeds."""

from collections.abc import Callable
from typing import Any

from coltsfootseam.manager.context import Context, Ports, Times
from coltsfootseam.observe import Counters, DecisionLog
from coltsfootseam.scheduling import Policies
from coltsfootseam.standins.memory_machines import MemoryAdvice, MemoryMachines
from coltsfootseam.standins.memory_store import MemoryStore
from coltsfootseam.standins.memory_workers import MemoryWorkers
from coltsfootseam.store import MonitoredStore, Partition
from coltsfootseam.timers import TimerService

_WALL_MS_AT_START = 1_000_000
_MS_PER_S = 1000


class _InactiveTimer:
    """Handle of a callback that is never called."""

    def cancel(self) -> None:
        """Does nothing."""


class ModelTimers(TimerService):
    """Virtual time that the model advances; callbacks never run."""

    def __init__(self) -> None:
        self._now_s = 0.0

    def now_s(self) -> float:
        """Returns the time since the start of the model, in seconds."""
        return self._now_s

    def wall_ms(self) -> int:
        """Returns the wall-clock time of the model, in milliseconds."""
        return _WALL_MS_AT_START + round(self._now_s * _MS_PER_S)

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> Any:
        """Accepts the callback without ever calling it."""
        del delay_s, callback
        return _InactiveTimer()

    def advance(self, step_s: float) -> None:
        """Advances the time."""
        self._now_s += step_s


class _UnusedPeers:
    """Placeholder for feeds and peers, which the model doesn't use."""

    operator = Partition("operator")
    workers = Partition("workers")
    status = Partition("status")


def make_context(timers: ModelTimers, policies: Policies) -> Context:
    """Returns a context with the given policies."""
    unused_peers: Any = _UnusedPeers()
    return Context(
        host_id="model",
        incarnation="model-1",
        address="10.0.0.1:1",
        duty_slots=12,
        timers=timers,
        ports=Ports(
            MonitoredStore(MemoryStore(timers).client(), timers),
            MemoryWorkers(timers, lambda task: 1.0).calls("model"),
            MemoryMachines(timers, []),
            MemoryAdvice(timers),
            unused_peers,
        ),
        peers=unused_peers,
        log=DecisionLog(timers, "model"),
        counters=Counters(),
        times=Times(),
        policies=policies,
    )
