"""The open connections of one port, what they hold, and which one goes first.

A connection is unfinished while its client has to send or to read more. If
there is no room, unfinished connections are closed first: for a slot the one
that has been unfinished for longest, for the rest of a large body the slowest
one. So an ordinary caller gets in beside any number of slow ones, and a lone
slow one is not disturbed. If all clients keep their connections busy, one of
them is closed behind an answer.
"""

import asyncio
import contextlib
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Protocol

from coltsfootseam.connections.limits import PortLimits

_SMALL_BYTES = 32 * 1024
"""What a request may hold to count as small."""

_LARGE_SHARE = 0.75
"""Fraction of the bytes that requests which are not small may hold."""

_MIN_AGE_S = 0.5
"""Time that a client has to send or to read, even if there is no room."""

_MIN_AGE_S_PER_SLOT = 0.002
"""The same where there are few slots: 500 newcomers get one each second."""

_SLOT_POLL_S = 0.05

_RETRY_PERIOD_S = 0.25
_REPORT_PERIOD_S = 1.0

Report = Callable[[str, int, int, int], None]
"""Takes a cause, how many connections were closed for it since the last report,
the open connections and the bytes that they hold."""


class Slot(Protocol):
    """A connection as the table sees it.

    Attributes:
        held_bytes: Bytes that its request holds.
        input_bytes: Bytes received since it became unfinished.
        since_s: When it became unfinished, loop time.
    """

    held_bytes: int
    input_bytes: int
    since_s: float

    def close_for(self, cause: str) -> None:
        """Closes the connection at once."""
        ...

    def retry(self) -> None:
        """Tries to go on, as there may be room."""
        ...


class ConnectionTable:
    """The connections of one port."""

    __slots__ = (
        "_bytes_held",
        "_closed_by_cause",
        "_connecting",
        "_idle",
        "_is_slot_wanted",
        "_limits",
        "_min_age_s",
        "_open",
        "_report",
        "_report_timer",
        "_retry_timer",
        "_slot_freed",
        "_unfinished",
        "_waiting",
    )

    def __init__(self, limits: PortLimits, report: Report) -> None:
        self._limits = limits
        self._report = report
        self._open: set[Slot] = set()
        self._connecting = 0
        # Both in the order in which the connections got there.
        self._unfinished: dict[Slot, None] = {}
        self._idle: dict[Slot, None] = {}
        self._waiting: dict[Slot, None] = {}
        self._bytes_held = 0
        self._slot_freed = asyncio.Event()
        self._is_slot_wanted = False
        self._min_age_s = min(
            _MIN_AGE_S, limits.max_connections * _MIN_AGE_S_PER_SLOT
        )
        self._closed_by_cause: Counter[str] = Counter()
        self._report_timer: asyncio.TimerHandle | None = None
        self._retry_timer: asyncio.TimerHandle | None = None

    @property
    def open_count(self) -> int:
        """Number of open connections."""
        return len(self._open)

    @property
    def bytes_held(self) -> int:
        """Bytes that all requests hold."""
        return self._bytes_held

    @contextlib.contextmanager
    def connecting(self) -> Iterator[None]:
        """Takes a slot while the context is open."""
        self._connecting += 1
        try:
            yield
        finally:
            self._connecting -= 1
            self._slot_freed.set()

    async def wait_for_slot(self) -> None:
        """Waits until there is a slot for one more connection.

        If there is none, an unfinished connection is closed, else an idle one.
        """
        most = self._limits.max_connections
        while len(self._open) + self._connecting >= most:
            victim = self._oldest_unfinished() or next(iter(self._idle), None)
            if victim is not None:
                self.close(victim, "too_many")
                continue
            self._is_slot_wanted = True
            self._slot_freed.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_SLOT_POLL_S):
                    await self._slot_freed.wait()
        self._is_slot_wanted = False

    def _oldest_unfinished(self) -> Slot | None:
        """Returns the longest unfinished connection unless it is new."""
        first = next(iter(self._unfinished), None)
        if first is None or self._age_s(first) < self._min_age_s:
            return None
        return first

    def add(self, slot: Slot) -> None:
        """Adds a new connection, which is unfinished."""
        self._open.add(slot)
        self.set_unfinished(slot)

    def set_unfinished(self, slot: Slot) -> None:
        """Records that the client of a connection has to send or read more."""
        if slot not in self._open or slot in self._unfinished:
            return
        self._idle.pop(slot, None)
        self._unfinished[slot] = None
        slot.since_s = asyncio.get_running_loop().time()
        slot.input_bytes = 0

    def set_busy(self, slot: Slot) -> None:
        """Records that a whole request was received and isn't answered yet."""
        self._unfinished.pop(slot, None)
        self._idle.pop(slot, None)

    def set_idle(self, slot: Slot) -> None:
        """Records that a connection waits for its next request."""
        self.release(slot)
        self._unfinished.pop(slot, None)
        if slot not in self._open:
            return
        if self._is_slot_wanted:
            self._is_slot_wanted = False
            self.close(slot, "too_many_busy")
            return
        self._idle[slot] = None

    def remove(self, slot: Slot) -> None:
        """Removes a connection that is closed; it may be removed already."""
        self._open.discard(slot)
        self._unfinished.pop(slot, None)
        self._idle.pop(slot, None)
        self._waiting.pop(slot, None)
        self.release(slot)
        self._slot_freed.set()

    def close(self, slot: Slot, cause: str) -> None:
        """Closes a connection and records why."""
        self.remove(slot)
        slot.close_for(cause)
        self.count_closed(cause)

    def close_all(self) -> None:
        """Closes all connections."""
        for slot in list(self._open):
            self.remove(slot)
            slot.close_for("stopped")

    def count_closed(self, cause: str) -> None:
        """Counts a connection that was closed, for the next report."""
        self._closed_by_cause[cause] += 1
        if self._report_timer is None:
            self._report_timer = asyncio.get_running_loop().call_later(
                _REPORT_PERIOD_S, self._report_closed
            )

    def reserve(self, slot: Slot, size: int) -> bool:
        """Reserves memory for a request, in place of what it has.

        Returns:
            Whether there is room. If not, the connection is told later to try
            again.
        """
        if slot not in self._open:
            return False
        growth = size - slot.held_bytes
        if growth > 0 and not self._make_room(slot, size, growth):
            self._waiting[slot] = None
            self._arm_retry()
            return False
        self._waiting.pop(slot, None)
        slot.held_bytes = size
        self._bytes_held += growth
        return True

    def release(self, slot: Slot) -> None:
        """Frees the memory that a request held."""
        self._bytes_held -= slot.held_bytes
        if slot.held_bytes and self._waiting:
            first = next(iter(self._waiting))
            asyncio.get_running_loop().call_soon(first.retry)
        slot.held_bytes = 0

    def _make_room(self, slot: Slot, size: int, growth: int) -> bool:
        limit = self._limits.max_bytes
        find = self._oldest_holder
        if size > _SMALL_BYTES:
            limit = int(limit * _LARGE_SHARE)
            find = self._slowest_holder
        while self._bytes_held + growth > limit:
            victim = find(slot)
            if victim is None:
                return False
            self.close(victim, "too_many_bytes")
        return True

    def _oldest_holder(self, slot: Slot) -> Slot | None:
        """Returns the longest unfinished connection that holds memory."""
        holders = (
            each
            for each in self._unfinished
            if each.held_bytes and each is not slot
        )
        return next(holders, None)

    def _slowest_holder(self, slot: Slot) -> Slot | None:
        """Returns the slowest large request that isn't new."""
        holders = [
            each
            for each in self._unfinished
            if each.held_bytes > _SMALL_BYTES
            and each is not slot
            and self._age_s(each) >= _MIN_AGE_S
        ]
        return min(
            holders,
            key=lambda each: each.input_bytes / self._age_s(each),
            default=None,
        )

    def _age_s(self, slot: Slot) -> float:
        """Returns for how long a connection has been unfinished."""
        return asyncio.get_running_loop().time() - slot.since_s

    def _arm_retry(self) -> None:
        if self._retry_timer is None:
            self._retry_timer = asyncio.get_running_loop().call_later(
                _RETRY_PERIOD_S, self._retry_waiting
            )

    def _retry_waiting(self) -> None:
        self._retry_timer = None
        for slot in list(self._waiting):
            slot.retry()
        if self._waiting:
            self._arm_retry()

    def _report_closed(self) -> None:
        self._report_timer = None
        for cause, count in self._closed_by_cause.items():
            self._report(cause, count, len(self._open), self._bytes_held)
        self._closed_by_cause.clear()
