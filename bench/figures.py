"""Figures that are worked out from what callers saw."""

import math
from collections.abc import Sequence

from coltsfootseam.testbed import CallerResult, ResultKind


def percentile(values: Sequence[float], share: float) -> float:
    """Returns the smallest value that a share of all do not exceed."""
    if not values:
        return math.nan
    ordered = sorted(values)
    rank = math.ceil(share * len(ordered))
    return ordered[max(0, rank - 1)]


def wait_s(result: CallerResult) -> float:
    """Returns how much longer a request took than it ran."""
    return max(0.0, result.took_s - result.request.run_ms / 1000)


def answered(results: Sequence[CallerResult]) -> list[CallerResult]:
    """Returns the results that are whole answers."""
    return [each for each in results if each.kind is ResultKind.ANSWERED]


def count_kinds(results: Sequence[CallerResult]) -> dict[str, int]:
    """Returns how many tries ended in each way."""
    counts: dict[str, int] = {}
    for result in results:
        counts[result.kind.value] = counts.get(result.kind.value, 0) + 1
    return counts
