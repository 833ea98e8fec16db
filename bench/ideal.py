"""An ideal single queue for the same arrivals, as a bound for dispatchers."""

import heapq
from collections.abc import Iterable

from coltsfootseam.testbed import LoadRequest


def ideal_waits_s(
    requests: Iterable[LoadRequest], slots: int
) -> dict[str, float]:
    """Returns the wait of each request in one first-in first-out queue.

    Args:
        requests: Requests of one service.
        slots: Total slots of its endpoints.
    """
    free_at_s = [0.0] * slots
    waits_by_operation: dict[str, float] = {}
    for request in sorted(requests, key=lambda each: each.at_s):
        start_s = max(request.at_s, heapq.heappop(free_at_s))
        heapq.heappush(free_at_s, start_s + request.run_ms / 1000)
        waits_by_operation[request.operation] = start_s - request.at_s
    return waits_by_operation
