"""Tracks whether a duty becomes active and stays so."""

from coltsfootseam.timers import TimerService

_MIN_CONSECUTIVE_FAILURES = 2


class DutyProgress:
    """Distinguishes an owner that makes progress from a stalled one.

    Attributes:
        is_active: Whether the journal is claimed, the state is loaded and
            commits are not blocked.
    """

    __slots__ = ("_failures", "_last_progress_s", "_timers", "is_active")

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._last_progress_s = timers.now_s()
        self._failures = 0
        self.is_active = False

    def record_progress(self) -> None:
        """Records a completed step."""
        self._last_progress_s = self._timers.now_s()
        self._failures = 0

    def record_failure(self) -> None:
        """Records a failed step.

        A step that merely takes long does not count as failed: a large page
        may still be arriving.
        """
        self._failures += 1

    def record_blocked(self, blocked_s: float) -> None:
        """Records that the owner has been blocked for ``blocked_s`` seconds."""
        self.is_active = False
        self._failures = max(self._failures, _MIN_CONSECUTIVE_FAILURES)
        self._last_progress_s = self._timers.now_s() - blocked_s

    def stalled_s(self) -> float:
        """Returns the time without progress, 0 if the duty is not stalled."""
        if self.is_active or self._failures < _MIN_CONSECUTIVE_FAILURES:
            return 0.0
        return self._timers.now_s() - self._last_progress_s
