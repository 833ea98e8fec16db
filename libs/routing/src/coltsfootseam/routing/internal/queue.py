"""Requests that wait for a slot of one service."""

import asyncio
from collections import deque

import msgspec

from coltsfootseam.results import Refusal
from coltsfootseam.routing.dispatch import Grant
from coltsfootseam.routing.request import RequestHead


class Waiter(msgspec.Struct, eq=False):
    """A request in a queue.

    Attributes:
        request: The request.
        future: Resolves to its grant or to why it gets none.
    """

    request: RequestHead
    future: "asyncio.Future[Grant | Refusal]"


class WaitQueue:
    """First come, first served; those that gave up are passed over."""

    __slots__ = ("_waiters",)

    def __init__(self) -> None:
        self._waiters: deque[Waiter] = deque()

    def __len__(self) -> int:
        return len(self._waiters)

    def add(self, waiter: Waiter) -> None:
        """Adds a waiter at the end."""
        self._waiters.append(waiter)

    def remove(self, waiter: Waiter) -> None:
        """Removes a waiter that gave up."""
        try:
            self._waiters.remove(waiter)
        except ValueError:
            pass

    def pop(self) -> Waiter | None:
        """Takes the next waiter, ``None`` if none waits."""
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.future.done():
                return waiter
        return None
