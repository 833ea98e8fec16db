"""Rules that choose among workers of otherwise equal cost for a task."""

from collections.abc import Callable

from coltsfootseam.scheduling.registry import Registry
from coltsfootseam.scheduling.worker_capacity import WorkerCapacity

_MILLIS_PER_CORE = 1000.0

Fit = Callable[[WorkerCapacity], float]
"""Returns the cost of a worker by its free capacity.

It is below 1 for workers of the sizes in use.
"""

FITS: Registry[Fit] = Registry("fit")


@FITS.register("tightest")
def fit_tightest(worker: WorkerCapacity) -> float:
    """Fills workers with the least free capacity first, to empty others."""
    return worker.free_cpu_millis / _MILLIS_PER_CORE / 100.0


@FITS.register("widest")
def fit_widest(worker: WorkerCapacity) -> float:
    """Fills workers with the most free capacity first, to balance load."""
    return -fit_tightest(worker)


@FITS.register("first")
def fit_first(worker: WorkerCapacity) -> float:
    """Takes the first worker with enough capacity."""
    del worker
    return 0.0
