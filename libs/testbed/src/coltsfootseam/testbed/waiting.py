"""Waiting for a condition instead of for a fixed time."""

import asyncio
import time
from collections.abc import Awaitable, Callable

_POLL_INTERVAL_S = 0.05
_TIMEOUT_S = 60.0


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    what: str,
    timeout_s: float = _TIMEOUT_S,
) -> float:
    """Waits until a condition holds.

    Args:
        condition: Polled until it returns true.
        what: Description of the condition for the error.
        timeout_s: How long to wait at most, in seconds.

    Returns:
        How long it took, in seconds.

    Raises:
        TimeoutError: If the condition didn't hold in time.
    """
    started_s = time.monotonic()
    while not await condition():
        waited_s = time.monotonic() - started_s
        if waited_s > timeout_s:
            raise TimeoutError(f"{what}: not within {timeout_s} s")
        await asyncio.sleep(_POLL_INTERVAL_S)
    return time.monotonic() - started_s
