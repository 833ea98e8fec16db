"""Waiting for a condition, never for a time."""

import asyncio
import time
from collections.abc import Awaitable, Callable

_POLL_S = 0.05
_LIMIT_S = 60.0


async def wait_until(
    condition: Callable[[], Awaitable[bool]],
    what: str,
    limit_s: float = _LIMIT_S,
) -> float:
    """Waits until a condition holds.

    Args:
        condition: Asked again and again.
        what: Names the condition in the error.
        limit_s: How long to wait before giving up.

    Returns:
        How long it took, in seconds.

    Raises:
        TimeoutError: If the condition did not come to hold.
    """
    began_s = time.monotonic()
    while not await condition():
        waited_s = time.monotonic() - began_s
        if waited_s > limit_s:
            raise TimeoutError(f"{what}: not within {limit_s} s")
        await asyncio.sleep(_POLL_S)
    return time.monotonic() - began_s
