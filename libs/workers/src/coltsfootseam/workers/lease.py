"""The lease of all runs on one worker, as its pool's owner tracks it."""

import msgspec

from coltsfootseam.timers import TimerService

_MS_PER_S = 1000
_MAX_CLOCK_DRIFT = 0.02
_MAX_READING_ERROR_S = 0.25


class LeaseTimes(msgspec.Struct, frozen=True):
    """Lengths of leases.

    Attributes:
        lease_s: Length of the leases that this owner grants.
        previous_owner_lease_s: How much longer a lease that a previous owner
            granted may last.
    """

    lease_s: float
    previous_owner_lease_s: float


class WorkerLease:
    """Estimates a worker's clock and bounds the end of its lease.

    The worker measures the lease on its own monotonic clock, which may run two
    percent slow. An order that was not answered may still be carried out, so
    each lease end counts as granted once it is sent.

    Attributes:
        safe_after_s: Monotonic time after which nothing runs on the worker
            unless a new lease is granted.
    """

    __slots__ = ("_offset_ms", "_read_s", "_timers", "_times", "safe_after_s")

    def __init__(self, timers: TimerService, times: LeaseTimes) -> None:
        self._timers = timers
        self._times = times
        self._offset_ms: float | None = None
        self._read_s = timers.now_s()
        self.safe_after_s = timers.now_s() + times.previous_owner_lease_s

    def read_clock(self, clock_ms: int) -> None:
        """Applies a reading of the worker's clock that has just arrived."""
        now_s = self._timers.now_s()
        offset_ms = clock_ms - now_s * _MS_PER_S
        if self._offset_ms is None:
            self._offset_ms = offset_ms
        # A reading that was delayed in transit is too low. The worker's clock
        # shows at least the earlier reading plus the time since, minus the
        # largest drift.
        drift_ms = (now_s - self._read_s) * _MS_PER_S * _MAX_CLOCK_DRIFT
        self._offset_ms = max(self._offset_ms - drift_ms, offset_ms)
        self._read_s = now_s

    def grant(self) -> int | None:
        """Grants a lease and returns its end on the worker's clock.

        Returns ``None`` and grants nothing if the clock isn't known yet.
        """
        if self._offset_ms is None:
            return None
        now_s = self._timers.now_s()
        end_s = now_s + max_lease_duration_s(self._times.lease_s)
        self.safe_after_s = max(self.safe_after_s, end_s)
        clock_ms = now_s * _MS_PER_S + self._offset_ms
        return round(clock_ms + self._times.lease_s * _MS_PER_S)

    def has_ended(self) -> bool:
        """Returns whether all runs on the worker are certain to have ended."""
        return self._timers.now_s() >= self.safe_after_s


def max_lease_duration_s(lease_s: float) -> float:
    """Returns an upper bound of how long a lease granted now may last."""
    return lease_s / (1 - _MAX_CLOCK_DRIFT) + _MAX_READING_ERROR_S
