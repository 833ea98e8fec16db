"""A hybrid logical clock that orders the events of all processes.

Source: Kulkarni et al., "Logical Physical Clocks", 2014.
"""

import msgspec

from coltsfootseam.timers import TimerService


class Stamp(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A timestamp of the hybrid clock.

    Attributes:
        wall_ms: Milliseconds since the epoch, never less than that of a
            cause.
        count: Orders stamps of the same millisecond.
    """

    wall_ms: int = 0
    count: int = 0


class HybridClock:
    """Issues stamps that are later than every stamp seen before."""

    __slots__ = ("_last", "_timers")

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._last = Stamp()

    def tick(self) -> Stamp:
        """Returns a stamp for an event that happens now."""
        wall_ms = self._timers.wall_ms()
        if wall_ms > self._last.wall_ms:
            self._last = Stamp(wall_ms, 0)
        else:
            self._last = Stamp(self._last.wall_ms, self._last.count + 1)
        return self._last

    def merge(self, received: Stamp) -> None:
        """Advances the clock to a stamp received from another process."""
        self._last = max(self._last, received)
