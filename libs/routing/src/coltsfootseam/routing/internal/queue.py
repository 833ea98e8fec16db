"""The queue of one service in local dispatch."""

import asyncio
from collections import deque

import msgspec

from coltsfootseam.results import Refusal
from coltsfootseam.routing.dispatch import Grant
from coltsfootseam.routing.request import RequestHead


class Waiter(msgspec.Struct, eq=False):
    """A request that waits for a slot.

    Attributes:
        request: The request.
        future: Resolves to a grant or a refusal.
    """

    request: RequestHead
    future: "asyncio.Future[Grant | Refusal]"


class WaitQueue:
    """A first-in, first-out queue that skips waiters that are done."""

    __slots__ = ("_waiters",)

    def __init__(self) -> None:
        self._waiters: deque[Waiter] = deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Adds a waiter at the end."""
        self._waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter if it is still in the queue."""
        try:
            self._waiters.remove(waiter)
        except ValueError:
            pass

    def pop(self) -> Waiter | None:
        """Removes and returns the next waiter, ``None`` if none waits."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.future.done():
                return waiter
        return None
