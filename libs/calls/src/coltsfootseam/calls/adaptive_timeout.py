"""A timeout that follows the latency of recent calls."""

from collections.abc import Awaitable, Callable

from coltsfootseam.calls.http import NoReply, Reply
from coltsfootseam.timers import TimerService

_MIN_TIMEOUT_S = 0.25
_TIMEOUT_PER_LATENCY = 8.0
_LATENCY_WEIGHT = 0.2
_MAX_DOUBLINGS = 3


class AdaptiveTimeout:
    """Timeout of idempotent calls, a multiple of their recent latency.

    A reply can be lost although the call was carried out. As repeating it is
    safe, a short timeout recovers soonest. It is longer for a slow server,
    and doubles with each call in a row that had no reply.
    """

    __slots__ = ("_doublings", "_latency_s", "_max_timeout_s")

    def __init__(self, max_timeout_s: float) -> None:
        """Makes a timeout without any recorded call.

        Args:
            max_timeout_s: Upper limit of the timeout, in seconds.
        """
        self._max_timeout_s = max_timeout_s
        self._latency_s = 0.0
        self._doublings = 0

    async def call(
        self,
        timers: TimerService,
        function: Callable[[float], Awaitable[Reply | NoReply]],
    ) -> Reply | NoReply:
        """Calls a function with the timeout, and records how long it takes."""
        sent_s = timers.now_s()
        reply = await function(self.next_timeout_s())
        took_s = timers.now_s() - sent_s
        self.record_call(took_s, isinstance(reply, Reply))
        return reply

    def next_timeout_s(self) -> float:
        """Returns the timeout of the next call, in seconds."""
        usual_s = max(_MIN_TIMEOUT_S, _TIMEOUT_PER_LATENCY * self._latency_s)
        return min(self._max_timeout_s, usual_s * (1 << self._doublings))

    def record_call(self, took_s: float, is_answered: bool) -> None:
        """Records how long a call took and whether it was answered."""
        if is_answered:
            self._latency_s += _LATENCY_WEIGHT * (took_s - self._latency_s)
            self._doublings = 0
        else:
            self._doublings = min(_MAX_DOUBLINGS, self._doublings + 1)
