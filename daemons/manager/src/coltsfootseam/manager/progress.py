"""Whether a duty gets to work, and goes on with it."""

from coltsfootseam.timers import TimerService


class DutyProgress:
    """Tells an owner that gets on from one that gets nowhere.

    Attributes:
        is_at_work: Whether all is claimed and read back, and goes on.
    """

    __slots__ = ("_moved_s", "_timers", "is_at_work")

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._moved_s = timers.now_s()
        self.is_at_work = False

    def note(self) -> None:
        """Takes note of a step that was done."""
        self._moved_s = self._timers.now_s()

    def note_blocked(self, blocked_s: float) -> None:
        """Takes note that the work has been standing still for some time."""
        self.is_at_work = False
        self._moved_s = self._timers.now_s() - blocked_s

    def stalled_s(self) -> float:
        """Returns for how long no step was done, 0 while it is at work."""
        if self.is_at_work:
            return 0.0
        return self._timers.now_s() - self._moved_s
