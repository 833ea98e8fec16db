"""Timers on a virtual clock that only a test advances."""

import asyncio
import heapq
import itertools
from collections.abc import Callable

from coltsfootseam.timers.service import Cancellable, TimerService

# A chain of tasks that wait for each other needs one iteration per task.
_LOOP_ITERATIONS_PER_CALLBACK = 10


class _VirtualHandle(Cancellable):
    __slots__ = ("callback", "cancelled")

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class VirtualTimers(TimerService):
    """Deterministic timers for tests, on a clock that starts at 0 seconds."""

    __slots__ = ("_now_s", "_scheduled", "_sequence", "_start_wall_ms")

    def __init__(self, start_wall_ms: int = 1_000_000) -> None:
        self._now_s = 0.0
        self._start_wall_ms = start_wall_ms
        self._sequence = itertools.count()
        self._scheduled: list[tuple[float, int, _VirtualHandle]] = []

    def now_s(self) -> float:
        """Returns virtual monotonic time in seconds."""
        return self._now_s

    def wall_ms(self) -> int:
        """Returns virtual wall-clock time in milliseconds."""
        return self._start_wall_ms + round(self._now_s * 1000)

    def schedule(
        self, delay_s: float, callback: Callable[[], None]
    ) -> Cancellable:
        """Calls ``callback`` after ``delay_s`` seconds unless cancelled."""
        handle = _VirtualHandle(callback)
        due_s = self._now_s + max(0.0, delay_s)
        heapq.heappush(self._scheduled, (due_s, next(self._sequence), handle))
        return handle

    async def advance(self, duration_s: float) -> None:
        """Advances the clock and runs each callback at the time it is due."""
        end_s = self._now_s + duration_s
        await self._run_ready_tasks()
        while self._scheduled and self._scheduled[0][0] <= end_s:
            due_s, _, handle = heapq.heappop(self._scheduled)
            self._now_s = max(self._now_s, due_s)
            if not handle.cancelled:
                handle.callback()
                await self._run_ready_tasks()
        self._now_s = end_s

    async def _run_ready_tasks(self) -> None:
        for _ in range(_LOOP_ITERATIONS_PER_CALLBACK):
            await asyncio.sleep(0)
