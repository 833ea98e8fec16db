"""Computes figures from the results that callers got."""

import math
from collections.abc import Sequence

from coltsfootseam.testbed import CallerResult, ResultKind


def percentile(values: Sequence[float], share: float) -> float:
    """Returns the smallest value that at least a share of all don't exceed."""
    if not values:
        return math.nan
    ordered = sorted(values)
    rank = math.ceil(share * len(ordered))
    return ordered[max(0, rank - 1)]


def wait_s(result: CallerResult) -> float:
    """Returns the time that a request took beyond its run time."""
    return max(0.0, result.took_s - result.request.run_ms / 1000)


def answered(results: Sequence[CallerResult]) -> list[CallerResult]:
    """Returns the results that are complete answers."""
    return [each for each in results if each.kind is ResultKind.ANSWERED]


def count_kinds(results: Sequence[CallerResult]) -> dict[str, int]:
    """Returns the number of attempts by the kind of their result."""
    counts: dict[str, int] = {}
    for result in results:
        counts[result.kind.value] = counts.get(result.kind.value, 0) + 1
    return counts
