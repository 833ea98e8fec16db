"""Requests that wait at a dispatcher: short ones before long ones."""

from collections import deque

import msgspec

from coltsfootseam.peers import DispatchSession

_COMPACTION_SLACK = 32


class WaitingRequest(msgspec.Struct, eq=False):
    """A request that waits for a slot.

    Attributes:
        entry_id: Entry host that asked.
        session: Where the grant is sent.
        request_id: The request.
        kind: Its kind.
        is_long: Whether its kind runs much longer than usual.
        arrived_s: When it arrived at its entry host.
        deadline_s: When its caller stops waiting.
        is_removed: Whether it has been granted, given up or refused.
    """

    entry_id: str
    session: DispatchSession
    request_id: str
    kind: str
    is_long: bool
    arrived_s: float
    deadline_s: float
    is_removed: bool = False


class DispatchQueue:
    """Two queues, each in order of arrival; removal is lazy."""

    __slots__ = ("_long", "_requests_by_id", "_short", "_short_waiting")

    def __init__(self) -> None:
        self._requests_by_id: dict[str, WaitingRequest] = {}
        self._short: deque[WaitingRequest] = deque()
        self._long: deque[WaitingRequest] = deque()
        self._short_waiting = 0

    def __len__(self) -> int:
        return len(self._requests_by_id)

    def add(self, request: WaitingRequest) -> None:
        """Adds a request; one that waits already keeps its place."""
        known = self._requests_by_id.get(request.request_id)
        if known is not None:
            known.session = request.session
            return
        self._requests_by_id[request.request_id] = request
        self._short_waiting += not request.is_long
        queue = self._long if request.is_long else self._short
        # Requests that were sent again after a change of dispatcher go back
        # to where they stood.
        place = len(queue)
        while place and queue[place - 1].arrived_s > request.arrived_s:
            place -= 1
        queue.insert(place, request)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Removes a request that gave up."""
        request = self._requests_by_id.pop(request_id, None)
        if request is not None:
            request.is_removed = True
            self._short_waiting -= not request.is_long
            self._compact()
        return request

    def remove_session(self, session: DispatchSession) -> None:
        """Removes what came by a stream that has ended."""
        for request in list(self._requests_by_id.values()):
            if request.session is session:
                self.remove(request.request_id)

    def stored_count(self) -> int:
        """Returns how many requests are kept, those that have gone too."""
        return len(self._short) + len(self._long)

    def _compact(self) -> None:
        """Keeps what has gone from outnumbering what waits."""
        if (
            self.stored_count()
            > 2 * len(self._requests_by_id) + _COMPACTION_SLACK
        ):
            self._short = _without_removed(self._short)
            self._long = _without_removed(self._long)

    def remove_all(self) -> list[WaitingRequest]:
        """Removes and returns everything that waits."""
        requests = list(self._requests_by_id.values())
        for request in requests:
            request.is_removed = True
        self._requests_by_id.clear()
        self._short.clear()
        self._long.clear()
        self._short_waiting = 0
        return requests

    def first_short(self, skipped_entry_ids: set[str]) -> WaitingRequest | None:
        """Returns the short request that has waited longest.

        Args:
            skipped_entry_ids: Entry hosts whose requests are left to wait.
        """
        return _first(self._short, skipped_entry_ids)

    def first_long(self, skipped_entry_ids: set[str]) -> WaitingRequest | None:
        """Returns the long request that has waited longest.

        Args:
            skipped_entry_ids: Entry hosts whose requests are left to wait.
        """
        return _first(self._long, skipped_entry_ids)

    def short_count(self) -> int:
        """Returns how many short requests wait."""
        return self._short_waiting


def _first(
    queue: "deque[WaitingRequest]", skipped_entry_ids: set[str]
) -> WaitingRequest | None:
    while queue and queue[0].is_removed:
        queue.popleft()
    for request in queue:
        if not request.is_removed and request.entry_id not in skipped_entry_ids:
            return request
    return None


def _without_removed(
    queue: "deque[WaitingRequest]",
) -> "deque[WaitingRequest]":
    return deque(request for request in queue if not request.is_removed)
