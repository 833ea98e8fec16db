"""Which part of a reserved worker other steps may use.

A task that ends before a reservation is due may use all that is free. Any other
task may use what is left at that time once the reserved tasks have started.
"""

import msgspec

from coltsfootseam.jobs import Resources
from coltsfootseam.scheduling.lookahead.releases import (
    Release,
    Span,
    released_by,
)
from coltsfootseam.scheduling.worker_capacity import WorkerCapacity


class HeldCapacity(msgspec.Struct, frozen=True):
    """Capacity of a worker that is held back for a reservation."""

    worker: WorkerCapacity
    amount: Resources

    def close(self) -> None:
        """Takes the capacity out of what is free."""
        self._change(-1)

    def open(self) -> None:
        """Returns the capacity to what is free."""
        self._change(1)

    def _change(self, sign: int) -> None:
        worker, amount = self.worker, self.amount
        worker.free_cpu_millis += sign * amount.cpu_millis
        worker.free_memory_mb += sign * amount.memory_mb
        worker.free_accelerators += sign * amount.accelerators


class Need(msgspec.Struct, frozen=True):
    """What reserved tasks need of a worker, and from when on."""

    resources: Resources
    due_s: float


def hold_back(
    worker: WorkerCapacity,
    releases: list[Release],
    needs: list[Need],
    may_backfill: bool,
) -> HeldCapacity:
    """Returns what to hold back, so that a reservation comes due in time.

    Args:
        worker: The reserved worker, without what is held back on it.
        releases: Its releases, by expected end.
        needs: What the first reserved task, the first two and so on need; of
            a gang what all need.
        may_backfill: Whether others may use what is left; else all is held.
    """
    if not may_backfill:
        return HeldCapacity(
            worker,
            Resources(
                max(0, worker.free_cpu_millis),
                max(0, worker.free_memory_mb),
                max(0, worker.free_accelerators),
            ),
        )
    held = Resources()
    for need in needs:
        lacking = need.resources.minus(released_by(releases, need.due_s))
        held = Resources(
            max(held.cpu_millis, lacking.cpu_millis),
            max(held.memory_mb, lacking.memory_mb),
            max(held.accelerators, lacking.accelerators),
        )
    return HeldCapacity(worker, held)


def ends_before(late_end_s: float, due: Span) -> bool:
    """Returns whether a task ends before a reservation is due.

    Args:
        late_end_s: Late end of the task.
        due: When the reservation is due.
    """
    return late_end_s <= due.expected_s
