"""Limits the share of the event loop that input of clients may take.

What clients send is worked on in small steps. While there is more to do than
the share allows, the steps of the connection that has used the least time go
first, so a newcomer doesn't wait for those that send a lot.
"""

import asyncio
import heapq
import itertools
import time
from typing import Protocol

_SHARE = 0.4
"""Fraction of the loop's time for input, while there is a backlog."""

_BURST_S = 0.01
"""Time that input may take at once."""

_MAX_STEP_S = 0.02
"""A longer step was interrupted by a pause of the process."""

_MIN_PAUSE_S = 0.001


class Work(Protocol):
    """Work that is done in steps.

    Attributes:
        used_s: Time that its steps have taken.
        is_queued: Whether it waits for its next step.
    """

    used_s: float
    is_queued: bool

    def step(self) -> bool:
        """Does one step; returns whether there is more to do now."""
        ...


class _Turn:
    """Work that is done elsewhere once its turn is reached."""

    __slots__ = ("is_queued", "reached", "used_s")

    def __init__(self, expected_s: float) -> None:
        self.used_s = expected_s
        self.is_queued = False
        loop = asyncio.get_running_loop()
        self.reached: asyncio.Future[None] = loop.create_future()

    def step(self) -> bool:
        """Tells who waits; the work itself is charged later."""
        if not self.reached.done():
            self.reached.set_result(None)
        return False


class LoopShare:
    """Does the steps of all connections of a process."""

    __slots__ = (
        "_credit_s",
        "_credited_s",
        "_numbers",
        "_queue",
        "_timer",
    )

    def __init__(self) -> None:
        self._credit_s = _BURST_S
        self._credited_s = time.perf_counter()
        self._numbers = itertools.count()
        self._queue: list[tuple[float, int, Work]] = []
        self._timer: asyncio.TimerHandle | None = None

    def submit(self, work: Work) -> None:
        """Does a step at once if the share allows it, else later."""
        if work.is_queued:
            return
        if self._queue or self._update_credit() <= 0 or self._do_step(work):
            self._enqueue(work)
            self._arm()

    async def wait_turn(self, expected_s: float) -> None:
        """Waits until the share allows work that is expected to take so long.

        What it takes is to be charged with ``charge``.
        """
        turn = _Turn(expected_s)
        self.submit(turn)
        await turn.reached

    def charge(self, took_s: float) -> None:
        """Counts time that was spent on input."""
        self._credit_s -= min(took_s, _MAX_STEP_S)

    def _enqueue(self, work: Work) -> None:
        if work.is_queued:
            return
        work.is_queued = True
        heapq.heappush(self._queue, (work.used_s, next(self._numbers), work))

    def _arm(self) -> None:
        if self._timer is not None:
            return
        pause_s = max(_MIN_PAUSE_S, -self._credit_s / _SHARE)
        if self._credit_s > 0:
            pause_s = 0.0
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(pause_s, self._run)

    def _run(self) -> None:
        self._timer = None
        try:
            while self._queue and self._update_credit() > 0:
                _, _, work = heapq.heappop(self._queue)
                work.is_queued = False
                if self._do_step(work):
                    self._enqueue(work)
        finally:
            # A step that fails must not hold up the others.
            if self._queue:
                self._arm()

    def _do_step(self, work: Work) -> bool:
        started_s = time.perf_counter()
        has_more = work.step()
        took_s = time.perf_counter() - started_s
        work.used_s += min(took_s, _MAX_STEP_S)
        self.charge(took_s)
        return has_more

    def _update_credit(self) -> float:
        now_s = time.perf_counter()
        earned_s = (now_s - self._credited_s) * _SHARE
        self._credited_s = now_s
        self._credit_s = min(_BURST_S, self._credit_s + earned_s)
        return self._credit_s
