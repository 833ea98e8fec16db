"""One ideal queue over the same arrivals: a bound for what dispatch can do."""

import heapq
from collections.abc import Iterable

from coltsfootseam.testbed import LoadRequest


def ideal_waits_s(
    requests: Iterable[LoadRequest], slots: int
) -> dict[str, float]:
    """Returns the wait of each request in one queue, first come first served.

    Args:
        requests: Requests of one service.
        slots: Slots of all its endpoints together.
    """
    free_at_s = [0.0] * slots
    waits_by_operation: dict[str, float] = {}
    for request in sorted(requests, key=lambda each: each.at_s):
        begin_s = max(request.at_s, heapq.heappop(free_at_s))
        heapq.heappush(free_at_s, begin_s + request.run_ms / 1000)
        waits_by_operation[request.operation] = begin_s - request.at_s
    return waits_by_operation
