"""Leases of an owner that is frozen while it grants them."""

from coltsfootseam.timers import VirtualTimers
from coltsfootseam.workers import WorkerLease

LEASE_S = 4.0
FROZEN_S = 30.0
MS_PER_S = 1000


class FreezingTimers(VirtualTimers):
    """Timers whose clock jumps right after the right to grant is checked."""

    def __init__(self) -> None:
        super().__init__()
        self.frozen_s = 0.0

    def now_s(self) -> float:
        return super().now_s() + self.frozen_s


class FreezingAuthority:
    """The right of an owner whose process is frozen once it was checked."""

    def __init__(self, timers: FreezingTimers) -> None:
        self._timers = timers

    def may_grant(self) -> bool:
        self._timers.frozen_s += FROZEN_S
        return True

    def have_earlier_ended(self) -> bool:
        return True


# Guards against a lease that begins after the right to grant it has ended: the
# process was frozen between the check and the reading of the clock.
def test_a_lease_counts_from_before_the_check_of_the_right_to_grant() -> None:
    timers = FreezingTimers()
    lease = WorkerLease(timers, LEASE_S, FreezingAuthority(timers))
    lease.read_clock(round(timers.now_s() * MS_PER_S))
    checked_s = timers.now_s()
    end_ms = lease.grant()
    assert end_ms is not None
    assert end_ms <= round((checked_s + LEASE_S) * MS_PER_S)
