"""Whether a duty gets to work, and goes on with it."""

from coltsfootseam.timers import TimerService

_MIN_STALL_FAILURES = 2


class DutyProgress:
    """Tells an owner that gets on from one that gets nowhere.

    Attributes:
        is_active: Whether all is claimed and read back, and goes on.
    """

    __slots__ = ("_failures", "_last_step_s", "_timers", "is_active")

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._last_step_s = timers.now_s()
        self._failures = 0
        self.is_active = False

    def record_step(self) -> None:
        """Takes note of a step that was done."""
        self._last_step_s = self._timers.now_s()
        self._failures = 0

    def record_failure(self) -> None:
        """Takes note of a step that failed.

        One that takes long is none: a large page may still be arriving.
        """
        self._failures += 1

    def record_blocked(self, blocked_s: float) -> None:
        """Takes note that the work has been standing still for some time."""
        self.is_active = False
        self._failures = max(self._failures, _MIN_STALL_FAILURES)
        self._last_step_s = self._timers.now_s() - blocked_s

    def stalled_s(self) -> float:
        """Returns for how long it has got nowhere, 0 if it gets on."""
        if self.is_active or self._failures < _MIN_STALL_FAILURES:
            return 0.0
        return self._timers.now_s() - self._last_step_s
