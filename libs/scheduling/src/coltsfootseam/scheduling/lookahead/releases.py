"""What a worker releases when, and when a step fits there."""

from collections.abc import Callable

import msgspec

from coltsfootseam.jobs import Resources
from coltsfootseam.scheduling.lookahead.estimates import RatioSpread
from coltsfootseam.scheduling.worker_capacity import WorkerCapacity

_MIN_REST_SHARE = 0.1
_UNKNOWN_REST_S = 0.5


class Span(msgspec.Struct, frozen=True):
    """An expected time with its spread, in seconds."""

    early_s: float
    expected_s: float
    late_s: float


class Release(msgspec.Struct, frozen=True):
    """Resources that a run releases when it ends, at a monotonic time."""

    resources: Resources
    end: Span


ReleasesOf = Callable[[str], list[Release]]
"""Returns what the runs on a worker release, by expected end."""


def expect_rest(age_s: float, estimate_s: float, ratio: RatioSpread) -> Span:
    """Returns how much longer a run is expected to take.

    A run past its expected end is expected to take as much longer as it has
    taken beyond it already, one without an estimate as long as its age.
    """
    if not estimate_s:
        rest_s = max(_UNKNOWN_REST_S, age_s)
        return Span(0.0, rest_s, 2 * rest_s)
    expected_s = estimate_s * ratio.middle
    least_s = _MIN_REST_SHARE * expected_s
    rest_s = max(least_s, abs(expected_s - age_s))
    if age_s >= expected_s:
        return Span(0.0, rest_s, 2 * rest_s)
    return Span(
        max(0.0, estimate_s * ratio.low - age_s),
        rest_s,
        max(rest_s, estimate_s * ratio.high - age_s),
    )


def expect_due(
    worker: WorkerCapacity,
    releases: list[Release],
    needed: Resources,
    now_s: float,
) -> Span | None:
    """Returns when resources are free on a worker, ``None`` if never.

    Args:
        worker: Snapshot of the worker, without what is held back on it.
        releases: Its releases, by expected end.
        needed: The resources.
        now_s: Monotonic time.
    """
    cpu_millis = needed.cpu_millis - worker.free_cpu_millis
    memory_mb = needed.memory_mb - worker.free_memory_mb
    accelerators = needed.accelerators - worker.free_accelerators
    if cpu_millis <= 0 and memory_mb <= 0 and accelerators <= 0:
        return Span(now_s, now_s, now_s)
    for release in releases:
        cpu_millis -= release.resources.cpu_millis
        memory_mb -= release.resources.memory_mb
        accelerators -= release.resources.accelerators
        if cpu_millis <= 0 and memory_mb <= 0 and accelerators <= 0:
            return release.end
    return None


def released_by(releases: list[Release], time_s: float) -> Resources:
    """Returns what is expected to be released until a time."""
    total = Resources()
    for release in releases:
        if release.end.expected_s > time_s:
            break
        total = total.plus(release.resources)
    return total
