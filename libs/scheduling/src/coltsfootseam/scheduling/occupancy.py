"""How much of a pool's machines its tasks occupy, over all resources.

A pool that runs out of memory needs machines although its processors are idle.
So what tasks occupy is expressed in cores of a typical worker, by whichever
resource they use up first.
"""

from collections.abc import Iterable

import msgspec

from coltsfootseam.jobs import Step
from coltsfootseam.workers import WorkerEntry

_MILLIS_PER_CORE = 1000.0
_EXCLUSIVE_SHARE = 0.5
"""Two tasks that each take more than this share don't fit on one worker."""


class WorkerSize(msgspec.Struct, frozen=True):
    """Resources of a typical worker.

    Attributes:
        cpu_millis: Its processor, in thousandths of a core.
        memory_mb: Its memory, in MB.
        accelerators: Number of its accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class Occupancy(msgspec.Struct):
    """Resources that tasks occupy.

    Attributes:
        cpu_millis: Processor, in thousandths of a core.
        memory_mb: Memory, in MB; all of a worker's for a task that leaves no
            room for another one like it.
        accelerators: Accelerators, counted in the same way.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def add(self, step: Step, count: int, size: WorkerSize) -> None:
        """Adds tasks of a step."""
        self.cpu_millis += count * step.cpu_millis
        self.memory_mb += count * _occupied(step.memory_mb, size.memory_mb)
        self.accelerators += count * _occupied(
            step.accelerators, size.accelerators
        )

    def cores(self, size: WorkerSize) -> float:
        """Returns the cores of as many workers as the tasks occupy."""
        by_memory = size.cpu_millis * self.memory_mb / max(1, size.memory_mb)
        by_accelerators = (
            size.cpu_millis * self.accelerators / max(1, size.accelerators)
        )
        occupied = max(self.cpu_millis, by_memory, by_accelerators)
        return occupied / _MILLIS_PER_CORE


def typical_size(entries: Iterable[WorkerEntry]) -> WorkerSize:
    """Returns the median of each resource of the workers that have it."""
    workers = list(entries)
    return WorkerSize(
        _median(worker.cpu_millis for worker in workers),
        _median(worker.memory_mb for worker in workers),
        _median(worker.accelerators for worker in workers),
    )


def _occupied(requested: int, available: int) -> int:
    """Returns what a task takes of a worker, all if it fits only once."""
    if requested > _EXCLUSIVE_SHARE * available:
        return available
    return requested


def _median(values: Iterable[int]) -> int:
    present = sorted(value for value in values if value > 0)
    return present[len(present) // 2] if present else 0
