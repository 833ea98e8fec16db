"""Timers on the running event loop."""

import asyncio
import time
from collections.abc import Callable

from coltsfootseam.timers.service import Cancellable, TimerService


class _LoopHandle(Cancellable):
    __slots__ = ("_handle",)

    def __init__(self, handle: asyncio.TimerHandle) -> None:
        self._handle = handle

    def cancel(self) -> None:
        self._handle.cancel()


class LoopTimers(TimerService):
    """Real time, with timers of the process's event loop."""

    __slots__ = ()

    def now_s(self) -> float:
        """Returns monotonic time in seconds, including suspended time.

        A lease keeps running while its holder's machine is suspended, so the
        holder's clock must count that time.
        """
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Returns wall-clock time in milliseconds since the epoch."""
        return time.time_ns() // 1_000_000

    def schedule(
        self, delay_s: float, callback: Callable[[], None]
    ) -> Cancellable:
        """Calls ``callback`` after ``delay_s`` seconds unless cancelled."""
        loop = asyncio.get_running_loop()
        return _LoopHandle(loop.call_later(delay_s, callback))
