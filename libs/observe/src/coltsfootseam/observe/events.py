"""Events of one process in a bounded ring."""

from collections import deque

import msgspec

from coltsfootseam.observe.clock import HybridClock, Stamp


class Event(msgspec.Struct, frozen=True):
    """Something that happened.

    Attributes:
        stamp: When, in the order over all processes.
        process: Name of the process, for example the entry host's id.
        zone: Availability zone of the process.
        kind: What happened, for example ``contract.accepted``.
        subject: What it happened to.
        cause: Why, or what brought it about.
        code: Number of the result code, 0 where there is none.
    """

    stamp: Stamp
    process: str
    zone: str
    kind: str
    subject: str
    cause: str = ""
    code: int = 0


class EventRing:
    """Keeps the newest events of a process."""

    __slots__ = ("_clock", "_events", "_process", "_zone", "dropped")

    def __init__(
        self, clock: HybridClock, process: str, zone: str, capacity: int
    ) -> None:
        self._clock = clock
        self._process = process
        self._zone = zone
        self._events: deque[Event] = deque(maxlen=capacity)
        self.dropped = 0

    def add(
        self, kind: str, subject: str, cause: str = "", code: int = 0
    ) -> Event:
        """Adds an event that happens now and returns it."""
        if len(self._events) == self._events.maxlen:
            self.dropped += 1
        event = Event(
            stamp=self._clock.tick(),
            process=self._process,
            zone=self._zone,
            kind=kind,
            subject=subject,
            cause=cause,
            code=code,
        )
        self._events.append(event)
        return event

    def since(self, stamp: Stamp) -> list[Event]:
        """Returns the kept events later than ``stamp``, oldest first."""
        return [event for event in self._events if event.stamp > stamp]
