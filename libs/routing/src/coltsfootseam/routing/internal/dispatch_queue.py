"""The queue of requests that wait at a dispatcher."""

from collections import deque

import msgspec

from coltsfootseam.peers import DispatchSession

_COMPACTION_SLACK = 32


class WaitingRequest(msgspec.Struct, eq=False):
    """A request that waits for a slot.

    Attributes:
        entry_id: Entry host that requests the slot.
        session: Session on which the grant is sent.
        request_id: Id of the request.
        kind: Kind of request, whose run times are learned together.
        is_long: Whether its kind runs much longer than the median run.
        arrived_s: When it arrived at its entry host.
        deadline_s: When its caller stops waiting.
        is_removed: Whether it was granted, abandoned or refused.
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
    """Queues of short and long requests, each in order of arrival.

    Removed requests stay in their queue until they reach its head or the queue
    is compacted.
    """

    __slots__ = ("_long", "_requests_by_id", "_short", "_short_count")

    def __init__(self) -> None:
        self._requests_by_id: dict[str, WaitingRequest] = {}
        self._short: deque[WaitingRequest] = deque()
        self._long: deque[WaitingRequest] = deque()
        self._short_count = 0

    def __len__(self) -> int:
        return len(self._requests_by_id)

    def add(self, request: WaitingRequest) -> None:
        """Adds a request; one that waits already keeps its position."""
        known = self._requests_by_id.get(request.request_id)
        if known is not None:
            known.session = request.session
            return
        self._requests_by_id[request.request_id] = request
        self._short_count += not request.is_long
        queue = self._long if request.is_long else self._short
        # Requests that are sent again after a change of dispatcher keep their
        # order of arrival.
        position = len(queue)
        while position and queue[position - 1].arrived_s > request.arrived_s:
            position -= 1
        queue.insert(position, request)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Removes and returns a request, ``None`` if it does not wait."""
        request = self._requests_by_id.pop(request_id, None)
        if request is not None:
            request.is_removed = True
            self._short_count -= not request.is_long
            self._compact()
        return request

    def remove_session(self, session: DispatchSession) -> None:
        """Removes all requests of a session."""
        for request in list(self._requests_by_id.values()):
            if request.session is session:
                self.remove(request.request_id)

    def stored_count(self) -> int:
        """Returns how many requests are stored, removed ones included."""
        return len(self._short) + len(self._long)

    def _compact(self) -> None:
        """Drops removed requests once they outnumber those that wait."""
        if (
            self.stored_count()
            > 2 * len(self._requests_by_id) + _COMPACTION_SLACK
        ):
            self._short = _without_removed(self._short)
            self._long = _without_removed(self._long)

    def remove_all(self) -> list[WaitingRequest]:
        """Removes and returns all requests that wait."""
        requests = list(self._requests_by_id.values())
        for request in requests:
            request.is_removed = True
        self._requests_by_id.clear()
        self._short.clear()
        self._long.clear()
        self._short_count = 0
        return requests

    def first_short(self, skipped_entry_ids: set[str]) -> WaitingRequest | None:
        """Returns the short request that has waited longest.

        Args:
            skipped_entry_ids: Entry hosts whose requests are passed over.
        """
        return _first(self._short, skipped_entry_ids)

    def first_long(self, skipped_entry_ids: set[str]) -> WaitingRequest | None:
        """Returns the long request that has waited longest.

        Args:
            skipped_entry_ids: Entry hosts whose requests are passed over.
        """
        return _first(self._long, skipped_entry_ids)

    def short_count(self) -> int:
        """Returns how many short requests wait."""
        return self._short_count


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
