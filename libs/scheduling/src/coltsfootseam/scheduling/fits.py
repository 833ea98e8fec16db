"""Which of several workers that suit a task as well gets it."""

from collections.abc import Callable

from coltsfootseam.scheduling.registry import Registry
from coltsfootseam.scheduling.worker_capacity import WorkerCapacity

_MILLIS_PER_CORE = 1000.0

Fit = Callable[[WorkerCapacity], float]
"""Returns what speaks against a worker; below 1 for all that is in use."""

FITS: Registry[Fit] = Registry("fit")


@FITS.register("tightest")
def fit_tightest(worker: WorkerCapacity) -> float:
    """What is nearly full is filled first, so that others become empty."""
    return worker.free_cpu_millis / _MILLIS_PER_CORE / 100.0


@FITS.register("widest")
def fit_widest(worker: WorkerCapacity) -> float:
    """What has the most room is filled first, so that load is even."""
    return -fit_tightest(worker)


@FITS.register("first")
def fit_first(worker: WorkerCapacity) -> float:
    """The first worker with room will do."""
    del worker
    return 0.0
