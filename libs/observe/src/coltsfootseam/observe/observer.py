"""The clock, counters and events that the parts of a process share."""

from loguru import logger

from coltsfootseam.observe.clock import HybridClock
from coltsfootseam.observe.counters import Counters
from coltsfootseam.observe.events import EventRing
from coltsfootseam.timers import TimerService

_EVENT_CAPACITY = 4096


class Observer:
    """Records counters, events and log lines of one process."""

    __slots__ = ("clock", "counters", "events")

    def __init__(
        self,
        timers: TimerService,
        process: str,
        zone: str,
        counters: Counters | None = None,
        capacity: int = _EVENT_CAPACITY,
    ) -> None:
        self.clock = HybridClock(timers)
        self.counters = Counters() if counters is None else counters
        self.events = EventRing(self.clock, process, zone, capacity)

    def count(self, name: str, amount: int = 1) -> None:
        """Adds ``amount`` to a counter, without an event or a log line."""
        self.counters.increment(name, amount)

    def record_event(
        self, kind: str, subject: str, cause: str = "", code: int = 0
    ) -> None:
        """Records and counts an event, without a log line."""
        self.counters.increment(f"events.{kind}")
        self.events.add(kind, subject, cause, code)

    def record_change(
        self, kind: str, subject: str, cause: str = "", code: int = 0
    ) -> None:
        """Records and counts a change of state, and logs it."""
        self.record_event(kind, subject, cause, code)
        logger.bind(subject=subject, cause=cause, code=code).info(kind)
