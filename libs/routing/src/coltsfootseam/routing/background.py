"""Background tasks."""

import asyncio
from collections.abc import Coroutine
from typing import Any, Generic, TypeVar

T = TypeVar("T")


class BackgroundTasks(Generic[T]):
    """Holds references to tasks until they end.

    The event loop holds only weak ones.
    """

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
        """Cancels all running tasks."""
        for task in list(self._tasks):
            task.cancel()
