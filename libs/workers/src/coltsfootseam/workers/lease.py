"""The lease of all runs on one worker, as its pool's owner tracks it."""

from typing import Protocol

from coltsfootseam.timers import TimerService

_MS_PER_S = 1000
_MAX_CLOCK_DRIFT = 0.02
_MAX_READING_ERROR_S = 0.25


class LeaseAuthority(Protocol):
    """What an owner of a pool knows of its right to grant leases."""

    def may_grant(self) -> bool:
        """Returns whether this owner may grant leases now."""

    def have_earlier_ended(self) -> bool:
        """Returns whether all leases of earlier owners have ended."""


class WorkerLease:
    """Estimates a worker's clock and bounds the end of its lease.

    The worker measures the lease on its own monotonic clock, which may run two
    percent slow. An order that was not answered may still be carried out, so
    each lease end counts as granted once it is sent.

    The clock of the worker's next incarnation starts anew. If it carries out a
    call that was meant for this one, the lease end may be far ahead on its
    clock, and it takes the longest lease that it accepts.

    Attributes:
        granted_s: When a lease was last granted, or its grant sent again,
            monotonic seconds; minus infinity before the first grant.
        safe_after_s: Monotonic time after which nothing runs on the worker
            under a lease of this owner, unless it grants a new one.
    """

    __slots__ = (
        "_authority",
        "_fenced_s",
        "_inherited_lease_s",
        "_lease_s",
        "_offset_ms",
        "_read_s",
        "_timers",
        "granted_s",
        "safe_after_s",
    )

    def __init__(
        self,
        timers: TimerService,
        lease_s: float,
        authority: LeaseAuthority,
        inherited_lease_s: float | None = None,
    ) -> None:
        """Makes a lease that isn't granted yet.

        Args:
            timers: Clock and timers.
            lease_s: Length of the leases that this owner grants.
            authority: Tells whether this owner may grant leases, and whether
                those of earlier owners have ended.
            inherited_lease_s: Longest lease that the worker may have taken from
                a call of another owner, or one to another incarnation; by
                default the length of the leases that this owner grants.
        """
        self._timers = timers
        self._lease_s = lease_s
        self._inherited_lease_s = inherited_lease_s or lease_s
        self._authority = authority
        self._offset_ms: float | None = None
        # When the worker first replied to this owner.
        self._fenced_s: float | None = None
        self._read_s = timers.now_s()
        self.granted_s = float("-inf")
        self.safe_after_s = timers.now_s()

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

    def shows_own_clock(self, clock_ms: int, sent_s: float) -> bool:
        """Returns whether the incarnation itself has replied to a call.

        The clock of its next incarnation starts anew, so it shows less, unless
        this one had only just started when it was heard of last.

        Args:
            clock_ms: The clock in a reply that has just arrived.
            sent_s: When the call was sent.
        """
        if self._offset_ms is None:
            return False
        now_s = self._timers.now_s()
        drift_ms = (now_s - self._read_s) * _MS_PER_S * _MAX_CLOCK_DRIFT
        lowest_ms = sent_s * _MS_PER_S + self._offset_ms - drift_ms
        known_age_ms = self._read_s * _MS_PER_S + self._offset_ms
        error_ms = (now_s - sent_s + _MAX_READING_ERROR_S) * _MS_PER_S
        return clock_ms >= lowest_ms and known_age_ms > error_ms

    def record_fencing(self) -> None:
        """Records that the worker refuses calls under lower fencing tokens.

        It has replied to this owner, so what it was granted before then ends
        within the longest lease that it may have taken from such a call.
        """
        if self._fenced_s is None:
            self._fenced_s = self._timers.now_s()
            inherited_s = max_lease_duration_s(self._inherited_lease_s)
            end_s = self._fenced_s + inherited_s
            self.safe_after_s = max(self.safe_after_s, end_s)

    def longest_s(self) -> float:
        """Returns the longest lease that the worker may have from the start."""
        return self._inherited_lease_s

    def grant(self) -> int | None:
        """Grants a lease and returns its end on the worker's clock.

        Returns ``None`` and grants nothing if the clock isn't known yet, or if
        this owner may have a successor.
        """
        # Read before the check, as this process may be frozen in between.
        now_s = self._timers.now_s()
        if self._offset_ms is None or not self._authority.may_grant():
            return None
        end_s = now_s + max_lease_duration_s(self._lease_s)
        self.safe_after_s = max(self.safe_after_s, end_s)
        self.granted_s = now_s
        clock_ms = now_s * _MS_PER_S + self._offset_ms
        return round(clock_ms + self._lease_s * _MS_PER_S)

    def record_repeat(self) -> None:
        """Records that a call with a lease end is sent again."""
        self.granted_s = self._timers.now_s()

    def has_ended(self) -> bool:
        """Returns whether all runs on the worker are certain to have ended."""
        if self._timers.now_s() < self.safe_after_s:
            return False
        return (
            self._fenced_s is not None or self._authority.have_earlier_ended()
        )


def max_lease_duration_s(lease_s: float) -> float:
    """Returns an upper bound of how long a lease granted now may last."""
    return lease_s / (1 - _MAX_CLOCK_DRIFT) + _MAX_READING_ERROR_S
