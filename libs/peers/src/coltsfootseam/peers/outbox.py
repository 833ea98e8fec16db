"""Batches messages: those added during a write are sent with the next one."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Outbox(Generic[T]):
    """Collects messages in a batch until a writer sends it.

    Attributes:
        batch: The batch to add to.
        closed: Whether the writer is to end.
    """

    __slots__ = ("_changed", "_make_batch", "batch", "closed")

    def __init__(self, make_batch: Callable[[], T]) -> None:
        self._make_batch = make_batch
        self._changed = asyncio.Event()
        self.batch = make_batch()
        self.closed = False

    def mark_changed(self) -> None:
        """Notifies the writer that the batch is to be sent."""
        self._changed.set()

    def close(self) -> None:
        """Ends the writer; the current batch is not sent."""
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
