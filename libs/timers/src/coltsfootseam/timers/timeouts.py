"""Work with a time limit, in the time of a timer service."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from coltsfootseam.timers.service import TimerService

T = TypeVar("T")


async def run_with_timeout(
    timers: TimerService, coroutine: Coroutine[Any, Any, T], timeout_s: float
) -> T | None:
    """Runs work for a limited time.

    Args:
        timers: Time.
        coroutine: What to run; it is cancelled when the time is over.
        timeout_s: Time limit, in seconds.

    Returns:
        Its result, ``None`` if it didn't end in time.
    """
    task = asyncio.ensure_future(coroutine)
    timeout = asyncio.ensure_future(timers.sleep(max(0.0, timeout_s)))
    try:
        await asyncio.wait({task, timeout}, return_when=asyncio.FIRST_COMPLETED)
        return task.result() if task.done() else None
    finally:
        task.cancel()
        timeout.cancel()
