"""Tracks whether the owner of a duty makes progress."""

from coltsfootseam.timers import TimerService

# A single failed attempt does not count as a stall.
_MIN_CONSECUTIVE_FAILURES = 2


class DutyProgress:
    """Detects that an owner is stalled.

    An owner is stalled if it is not active and either consecutive attempts to
    become active failed or its commits are blocked.

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
        """Records progress, such as a claimed journal or a loaded page."""
        self._last_progress_s = self._timers.now_s()
        self._failures = 0

    def record_failure(self) -> None:
        """Records a failed attempt, such as a refused claim or read.

        A slow attempt is not a failure, as a large page may still be in
        transfer.
        """
        self._failures += 1

    def record_blocked(self, blocked_s: float) -> None:
        """Records that commits have been blocked for ``blocked_s`` seconds.

        The owner counts as stalled at once, without further failures.
        """
        self.is_active = False
        self._failures = max(self._failures, _MIN_CONSECUTIVE_FAILURES)
        self._last_progress_s = self._timers.now_s() - blocked_s

    def stalled_s(self) -> float:
        """Returns the seconds since the last progress, 0 if not stalled."""
        if self.is_active or self._failures < _MIN_CONSECUTIVE_FAILURES:
            return 0.0
        return self._timers.now_s() - self._last_progress_s
