"""Events of one process in a ring buffer."""

from collections import deque

import msgspec

from coltsfootseam.observe.clock import HybridClock, Stamp


class Event(msgspec.Struct, frozen=True):
    """One event.

    Attributes:
        stamp: When it happened, ordered across all processes.
        process: Name of the process, for example the entry host's id.
        zone: Availability zone of the process.
        kind: What happened, for example ``contract.accepted``.
        subject: What it happened to.
        cause: Why it happened.
        code: Number of the result code, 0 if there is none.
    """

    stamp: Stamp
    process: str
    zone: str
    kind: str
    subject: str
    cause: str = ""
    code: int = 0


class EventRing:
    """Keeps the latest events of a process.

    Attributes:
        dropped: Number of events that newer ones have overwritten.
    """

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
        """Adds an event with the current time and returns it."""
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
        """Returns the events later than ``stamp``, oldest first."""
        return [event for event in self._events if event.stamp > stamp]
