"""Timers of a host that can be frozen."""

from collections.abc import Callable
from typing import Any

from coltsfootseam.timers import TimerService, VirtualTimers


class HostTimers(TimerService):
    """Timers of one host, whose callbacks are delayed while it is frozen."""

    def __init__(self, timers: VirtualTimers) -> None:
        self._timers = timers
        self._waiting: list[Callable[[], None]] = []
        self.is_frozen = False

    def now_s(self) -> float:
        """Returns monotonic time, which advances while the host is frozen."""
        return self._timers.now_s()

    def wall_ms(self) -> int:
        """Returns wall-clock time."""
        return self._timers.wall_ms()

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> Any:
        """Calls ``callback`` once, not before the host has thawed."""

        def fire() -> None:
            if self.is_frozen:
                self._waiting.append(callback)
            else:
                callback()

        return self._timers.schedule(delay_s, fire)

    def thaw(self) -> None:
        """Resumes the host and calls the delayed callbacks."""
        self.is_frozen = False
        waiting, self._waiting = self._waiting, []
        for callback in waiting:
            callback()

    async def wait_until_thawed(self) -> None:
        """Returns once the host isn't frozen, at once if it isn't now."""
        while self.is_frozen:
            await self.sleep(0)
