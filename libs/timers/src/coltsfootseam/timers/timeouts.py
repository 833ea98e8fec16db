"""Work with a time limit, in the time of a timer service."""

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from coltsfootseam.timers.service import TimerService

T = TypeVar("T")


async def run_with_timeout(
    timers: TimerService, work: Coroutine[Any, Any, T], limit_s: float
) -> T | None:
    """Runs work for a limited time.

    Args:
        timers: Time.
        work: What to run; it is cancelled when the time is over.
        limit_s: Time limit, in seconds.

    Returns:
        Its result, ``None`` if it didn't end in time.
    """
    task = asyncio.ensure_future(work)
    clock = asyncio.ensure_future(timers.sleep(max(0.0, limit_s)))
    try:
        await asyncio.wait({task, clock}, return_when=asyncio.FIRST_COMPLETED)
        return task.result() if task.done() else None
    finally:
        task.cancel()
        clock.cancel()
