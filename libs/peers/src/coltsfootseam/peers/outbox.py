"""Batching of messages: what gathers during a write goes out in the next."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Outbox(Generic[T]):
    """Collects into a batch that a writer sends when it can."""

    __slots__ = ("_changed", "_make_batch", "batch", "closed")

    def __init__(self, make_batch: Callable[[], T]) -> None:
        self._make_batch = make_batch
        self._changed = asyncio.Event()
        self.batch = make_batch()
        self.closed = False

    def mark_changed(self) -> None:
        """Tells the writer that the batch has content."""
        self._changed.set()

    def close(self) -> None:
        """Ends the writer."""
        self.closed = True
        self._changed.set()

    async def write_all(self, write: Callable[[T], Awaitable[None]]) -> None:
        """Writes batches until the outbox is closed."""
        while True:
            await self._changed.wait()
            if self.closed:
                return
            self._changed.clear()
            batch = self.batch
            self.batch = self._make_batch()
            await write(batch)
