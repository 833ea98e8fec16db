"""Time limits measured with a timer service."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from coltsfootseam.timers.service import TimerService

T = TypeVar("T")


async def run_with_timeout(
    timers: TimerService, coroutine: Coroutine[Any, Any, T], timeout_s: float
) -> T | None:
    """Runs a coroutine and cancels it when its time is over.

    Args:
        timers: Clock and timers.
        coroutine: The coroutine to run.
        timeout_s: Time limit, in seconds.

    Returns:
        Its result, or ``None`` if it didn't finish in time.
    """
    task = asyncio.ensure_future(coroutine)
    timeout = asyncio.ensure_future(timers.sleep(max(0.0, timeout_s)))
    try:
        await asyncio.wait({task, timeout}, return_when=asyncio.FIRST_COMPLETED)
        return task.result() if task.done() else None
    finally:
        task.cancel()
        timeout.cancel()
