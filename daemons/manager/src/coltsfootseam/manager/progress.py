"""How a duty that was begun gets to work."""

from coltsfootseam.timers import TimerService


class StartProgress:
    """Tells an owner that still reads from one that gets nowhere.

    Attributes:
        is_at_work: Whether all is claimed and read back.
    """

    __slots__ = ("_moved_s", "_timers", "is_at_work")

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._moved_s = timers.now_s()
        self.is_at_work = False

    def note(self) -> None:
        """Takes note of a step that was done."""
        self._moved_s = self._timers.now_s()

    def stalled_s(self) -> float:
        """Returns since when no step was done, 0 once it is at work."""
        if self.is_at_work:
            return 0.0
        return self._timers.now_s() - self._moved_s
