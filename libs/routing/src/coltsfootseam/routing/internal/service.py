"""The dispatcher of one service: decides which request runs where and when."""

from coltsfootseam.peers import (
    Acquire,
    DispatchSession,
    HeldSlot,
    Release,
    SlotGrant,
    SlotRefusal,
    Term,
)
from coltsfootseam.results import ResultCode
from coltsfootseam.routing.dispatch import DispatchContext
from coltsfootseam.routing.endpoints import Endpoint
from coltsfootseam.routing.internal.book import (
    SlotBook,
    most_slots_of_one_entry,
)
from coltsfootseam.routing.internal.sizes import SizeBook
from coltsfootseam.routing.internal.waiting import WaitingLine, WaitingRequest

_LONG_FLOOR_SHARE = 8
_LONG_CAP_SHARE = 4
_HOPELESS_SHARE = 0.8
_LET_THROUGH_EVERY = 16


class ServiceDispatcher:
    """Grants the slots of one service, short work before long work.

    Long work has a floor of an eighth of the slots, so that it is not
    starved, and a cap of a quarter of them, so that short work that comes in
    a burst finds slots.

    Attributes:
        book: Who holds which slots.
        active: Whether enough entry hosts have reported to grant slots.
    """

    __slots__ = (
        "_context",
        "_early",
        "_hopeless",
        "_line",
        "_long_running",
        "_service",
        "_sizes",
        "active",
        "book",
    )

    def __init__(
        self, service: str, term: Term, context: DispatchContext
    ) -> None:
        self._service = service
        self._context = context
        self._line = WaitingLine()
        self._sizes = SizeBook()
        self._long_running: set[str] = set()
        self._hopeless = 0
        self._early: dict[str, WaitingRequest] = {}
        self.book = SlotBook(term)
        self.active = False

    def begin_term(self, term: Term) -> None:
        """Forgets who holds what, until the entry hosts report again."""
        self.book = SlotBook(term)
        self.active = False
        self._long_running.clear()

    def take_report(self, entry_id: str, held_slots: list[HeldSlot]) -> None:
        """Takes over what an entry host holds."""
        self.book.take_report(entry_id, held_slots)
        for request in list(self._early.values()):
            if request.entry_id == entry_id:
                del self._early[request.request_id]
                self._line.add(request)
        self._activate_if_majority()
        self.serve()

    def ask(
        self, entry_id: str, session: DispatchSession, acquire: Acquire
    ) -> None:
        """Takes a request for a slot."""
        held = self.book.held_host(entry_id, acquire.request_id)
        if held is not None:
            self._send_again(session, acquire, held)
            return
        now_s = self._context.timers.now_s()
        request = WaitingRequest(
            entry_id=entry_id,
            session=session,
            request_id=acquire.request_id,
            kind=acquire.kind,
            is_long=self._sizes.is_long(acquire.kind),
            arrived_s=now_s - acquire.waited_s,
            deadline_s=now_s + acquire.remaining_s,
        )
        refusal = self._find_overload(request)
        if refusal:
            self._refuse(request, ResultCode.NOT_RUN_OVERLOADED, refusal)
            return
        # A grant that is made before the entry host's report arrives would
        # not be in the report.
        if entry_id in self.book.reported:
            self._line.add(request)
        else:
            self._early[request.request_id] = request

    def give_back(self, entry_id: str, release: Release) -> None:
        """Takes a slot back, or lets a request give up."""
        self._line.remove(release.request_id)
        self._early.pop(release.request_id, None)
        self._long_running.discard(release.request_id)
        self.book.give_back(entry_id, release.request_id)
        if release.ran_s >= 0:
            self._sizes.note_run(release.kind, release.ran_s)

    def drop_session(self, session: DispatchSession) -> None:
        """Lets go of what waits behind a stream that has ended."""
        self._line.remove_session(session)
        for request in list(self._early.values()):
            if request.session is session:
                del self._early[request.request_id]

    def drop_waiting(self) -> list[WaitingRequest]:
        """Lets go of everything that waits and returns it."""
        early = list(self._early.values())
        self._early.clear()
        return [*self._line.take_all(), *early]

    def serve(self) -> None:
        """Grants slots while there are both free ones and requests."""
        if not self.active:
            return
        # Entry hosts that hold their full share wait for slots of their own.
        full: set[str] = set()
        while self._has_free_slot():
            request = self._next_request(full)
            if request is None:
                return
            endpoint = self._pick(request.entry_id)
            if endpoint is None:
                full.add(request.entry_id)
                continue
            self._line.remove(request.request_id)
            if not self._refuse_if_hopeless(request):
                self._grant(request, endpoint)

    def _next_request(self, full: set[str]) -> WaitingRequest | None:
        short = self._line.first_short(full)
        long = self._line.first_long(full)
        if long is None:
            return short
        slots = self._slot_count()
        running = len(self._long_running)
        if running < max(1, slots // _LONG_FLOOR_SHARE):
            return long
        if short is None and running < max(1, slots // _LONG_CAP_SHARE):
            return long
        return short

    def _slot_count(self) -> int:
        endpoints = self._context.endpoints.endpoints_of(self._service) or []
        return sum(endpoint.slots for endpoint in endpoints)

    def _has_free_slot(self) -> bool:
        endpoints = self._context.endpoints.endpoints_of(self._service) or []
        return any(
            self.book.in_use(endpoint.host_id) < endpoint.slots
            for endpoint in endpoints
        )

    def _pick(self, entry_id: str) -> Endpoint | None:
        endpoints = self._context.endpoints.endpoints_of(self._service) or []
        members = self._context.state().members_by_id
        silent = sum(1 for each in members if each not in self.book.reported)
        best: Endpoint | None = None
        best_share = 1.0
        for endpoint in endpoints:
            most = most_slots_of_one_entry(endpoint.slots, len(members))
            if self.book.held_by(entry_id, endpoint.host_id) >= most:
                continue
            in_use = self.book.in_use(endpoint.host_id) + silent * most
            share = in_use / endpoint.slots
            if share < best_share:
                best = endpoint
                best_share = share
        return best

    def _grant(self, request: WaitingRequest, endpoint: Endpoint) -> None:
        self.book.hold(request.entry_id, request.request_id, endpoint.host_id)
        if request.is_long:
            self._long_running.add(request.request_id)
        request.session.send_grant(
            SlotGrant(
                self._service,
                self.book.term,
                request.request_id,
                endpoint.host_id,
                endpoint.host_version,
            )
        )

    def _send_again(
        self, session: DispatchSession, acquire: Acquire, host_id: str
    ) -> None:
        endpoint = self._context.endpoints.find(host_id)
        version = 0 if endpoint is None else endpoint.host_version
        session.send_grant(
            SlotGrant(
                self._service,
                self.book.term,
                acquire.request_id,
                host_id,
                version,
            )
        )

    def _find_overload(self, request: WaitingRequest) -> str:
        """Returns why a request could not be served in time, or nothing."""
        if len(self._line) >= self._context.queue_limit:
            return f"{len(self._line)} requests wait for {self._service!r}"
        if request.is_long or not self._sizes.is_known(request.kind):
            return ""
        expected_s = self._sizes.expected_s(request.kind)
        slots = max(1, self._slot_count())
        ahead = self._line.short_count()
        wait_s = ahead * expected_s / slots
        left_s = request.deadline_s - self._context.timers.now_s()
        if wait_s + _HOPELESS_SHARE * expected_s <= left_s:
            return ""
        return (
            f"a wait of {wait_s:.1f} s is longer than the deadline allows: "
            f"{ahead} ahead, {expected_s:.2f} s each, {slots} slots, "
            f"{left_s:.2f} s left"
        )

    def _refuse_if_hopeless(self, request: WaitingRequest) -> bool:
        """Refuses a request whose deadline its run would not meet.

        Now and then one is let through, so that a figure that has become too
        large is corrected.
        """
        left_s = request.deadline_s - self._context.timers.now_s()
        expected_s = self._sizes.expected_s(request.kind)
        if left_s > 0 and (
            not self._sizes.is_known(request.kind)
            or left_s >= _HOPELESS_SHARE * expected_s
        ):
            return False
        self._hopeless += 1
        if left_s > 0 and self._hopeless % _LET_THROUGH_EVERY == 0:
            return False
        self._refuse(
            request,
            ResultCode.NOT_RUN_DEADLINE,
            f"{left_s:.2f} s are left for a run of about {expected_s:.2f} s",
        )
        return True

    def _refuse(
        self, request: WaitingRequest, code: ResultCode, reason: str
    ) -> None:
        request.session.send_refusal(
            SlotRefusal(self._service, request.request_id, int(code), reason)
        )

    def _activate_if_majority(self) -> None:
        members = self._context.state().members_by_id
        reported = sum(1 for each in self.book.reported if each in members)
        if self.active or 2 * reported <= len(members):
            return
        self.active = True
        self._context.observer.record_change(
            "dispatch.granting",
            self._service,
            f"members {self.book.term.members_offset}, "
            f"takeovers {self.book.term.takeovers}, "
            f"{reported} of {len(members)} reported, "
            f"{self.book.slots_held()} slots held, {len(self._line)} wait",
        )
