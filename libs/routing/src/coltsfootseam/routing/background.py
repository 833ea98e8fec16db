"""Tasks that run beside the requests that started them."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Generic, TypeVar

T = TypeVar("T")


class BackgroundTasks(Generic[T]):
    """Holds tasks until they end; the event loop itself does not."""

    __slots__ = ("_tasks",)

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[T]] = set()

    def __len__(self) -> int:
        return len(self._tasks)

    def start(self, coroutine: Coroutine[Any, Any, T]) -> "asyncio.Task[T]":
        """Starts a coroutine and returns its task."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def cancel_all(self) -> None:
        """Cancels every task that runs."""
        for task in list(self._tasks):
            task.cancel()
