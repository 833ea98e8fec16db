"""The interface of timer services, and their subscriptions."""

import abc
import asyncio
import inspect
from collections.abc import Awaitable, Callable

Callback = Callable[[], Awaitable[None] | None]


class Subscription:
    """A callback that the timer service calls until it is cancelled."""

    __slots__ = ("_callback", "_handle", "_period_s", "_service", "_task")

    def __init__(
        self,
        service: "TimerService",
        callback: Callback,
        period_s: float | None,
    ) -> None:
        self._service = service
        self._callback = callback
        self._period_s = period_s
        self._task: asyncio.Future[None] | None = None
        self._handle: Cancellable | None = None

    def arm(self, delay_s: float) -> None:
        """Schedules the next call after ``delay_s`` seconds."""
        self._handle = self._service.schedule(delay_s, self._fire)

    def cancel(self) -> None:
        """Stops further calls and cancels the call in progress."""
        self._period_s = None
        if self._handle is not None:
            self._handle.cancel()
        if self._task is not None:
            self._task.cancel()

    def _fire(self) -> None:
        if self._period_s is not None:
            self.arm(self._period_s)
        # A call that takes longer than its period must not overlap the next.
        if self._task is not None and not self._task.done():
            return
        result = self._callback()
        if inspect.isawaitable(result):
            self._task = asyncio.ensure_future(result)


class Cancellable(abc.ABC):
    """A scheduled call that can be cancelled."""

    __slots__ = ()

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancels the scheduled call."""


class TimerService(abc.ABC):
    """A clock, and timers that call their subscribers."""

    __slots__ = ()

    @abc.abstractmethod
    def now_s(self) -> float:
        """Returns monotonic time in seconds."""

    @abc.abstractmethod
    def wall_ms(self) -> int:
        """Returns wall-clock time in milliseconds since the epoch."""

    @abc.abstractmethod
    def schedule(
        self, delay_s: float, callback: Callable[[], None]
    ) -> Cancellable:
        """Calls ``callback`` after ``delay_s`` seconds unless cancelled."""

    def subscribe(self, period_s: float, callback: Callback) -> Subscription:
        """Calls ``callback`` every ``period_s`` seconds, first after that time.

        Args:
            period_s: Seconds between calls, above zero.
            callback: A function or coroutine function without arguments. It is
                not called again while its last coroutine is still running.

        Returns:
            The subscription; cancel it to stop the calls.

        Raises:
            ValueError: If ``period_s`` is not above zero.
        """
        if not period_s > 0:
            raise ValueError(f"period_s must be above zero, got {period_s!r}")
        subscription = Subscription(self, callback, period_s)
        subscription.arm(period_s)
        return subscription

    def call_after(self, delay_s: float, callback: Callback) -> Subscription:
        """Calls ``callback`` once after ``delay_s`` seconds."""
        subscription = Subscription(self, callback, None)
        subscription.arm(max(0.0, delay_s))
        return subscription

    async def sleep(self, delay_s: float) -> None:
        """Waits for ``delay_s`` seconds on this service's clock."""
        future: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

        def wake() -> None:
            if not future.done():
                future.set_result(None)

        handle = self.schedule(delay_s, wake)
        try:
            await future
        finally:
            handle.cancel()
