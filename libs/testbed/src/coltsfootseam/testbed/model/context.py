"""The context of decisions in the model: its own time and no outside."""

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


class _Never:
    """A callback that is not going to be called."""

    def cancel(self) -> None:
        """Does nothing."""


class ModelTimers(TimerService):
    """Time that the model moves on; it calls nobody."""

    def __init__(self) -> None:
        self._now_s = 0.0

    def now_s(self) -> float:
        """Returns the time since the start of the model, in seconds."""
        return self._now_s

    def wall_ms(self) -> int:
        """Returns the time of day of the model, in milliseconds."""
        return _WALL_MS_AT_START + round(self._now_s * _MS_PER_S)

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> Any:
        """Takes the callback and never calls it."""
        del delay_s, callback
        return _Never()

    def advance(self, step_s: float) -> None:
        """Moves time on."""
        self._now_s += step_s


class _NoOutside:
    """Stands in for feeds and peers, which nothing in the model uses."""

    operator = Partition("operator")
    workers = Partition("workers")
    status = Partition("status")


def make_context(timers: ModelTimers, policies: Policies) -> Context:
    """Returns a context for decisions under policies."""
    outside: Any = _NoOutside()
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
            outside,
        ),
        peers=outside,
        log=DecisionLog(timers, "model"),
        counters=Counters(),
        times=Times(),
        policies=policies,
    )
