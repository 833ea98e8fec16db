"""The dispatcher of one service, which grants its slots to requests."""

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
from coltsfootseam.routing.internal.dispatch_queue import (
    DispatchQueue,
    WaitingRequest,
)
from coltsfootseam.routing.internal.run_times import RunTimeEstimator
from coltsfootseam.routing.internal.slot_table import (
    SlotTable,
    max_slots_per_entry,
)

_LONG_MIN_SLOTS_DIVISOR = 8
_LONG_MAX_SLOTS_DIVISOR = 4
_MIN_LEFT_SHARE_OF_RUN = 0.8
_GRANT_INFEASIBLE_EVERY = 16


class ServiceDispatcher:
    """Grants the slots of one service, to short requests before long ones.

    Long requests get at least an eighth of the slots, so that they are not
    starved, and at most a quarter, so that a burst of short requests finds
    free slots.

    Attributes:
        slot_table: The slots that each entry host holds.
        active: Whether enough entry hosts have reported to grant slots.
    """

    __slots__ = (
        "_awaiting_report",
        "_context",
        "_infeasible_count",
        "_long_running",
        "_queue",
        "_run_times",
        "_service",
        "active",
        "slot_table",
    )

    def __init__(
        self, service: str, term: Term, context: DispatchContext
    ) -> None:
        self._service = service
        self._context = context
        self._queue = DispatchQueue()
        self._run_times = RunTimeEstimator()
        self._long_running: set[str] = set()
        self._infeasible_count = 0
        self._awaiting_report: dict[str, WaitingRequest] = {}
        self.slot_table = SlotTable(term)
        self.active = False

    def start_term(self, term: Term) -> None:
        """Discards the held slots until the entry hosts report them again."""
        self.slot_table = SlotTable(term)
        self.active = False
        self._long_running.clear()

    def apply_report(self, entry_id: str, held_slots: list[HeldSlot]) -> None:
        """Records the slots that an entry host holds."""
        self.slot_table.apply_report(entry_id, held_slots)
        for request in list(self._awaiting_report.values()):
            if request.entry_id == entry_id:
                del self._awaiting_report[request.request_id]
                self._queue.add(request)
        self._activate_if_majority()
        self.grant_free_slots()

    def request_slot(
        self, entry_id: str, session: DispatchSession, acquire: Acquire
    ) -> None:
        """Queues, refuses or answers a request for a slot."""
        held = self.slot_table.held_host(entry_id, acquire.request_id)
        if held is not None:
            self._resend_grant(session, acquire, held)
            return
        now_s = self._context.timers.now_s()
        request = WaitingRequest(
            entry_id=entry_id,
            session=session,
            request_id=acquire.request_id,
            kind=acquire.kind,
            is_long=self._run_times.is_long(acquire.kind),
            arrived_s=now_s - acquire.waited_s,
            deadline_s=now_s + acquire.remaining_s,
        )
        refusal = self._overload_reason(request)
        if refusal:
            self._refuse(request, ResultCode.NOT_RUN_OVERLOADED, refusal)
            return
        # A slot that is granted before the entry host's report arrives would
        # be missing from the report.
        if entry_id in self.slot_table.reported:
            self._queue.add(request)
        else:
            self._awaiting_report[request.request_id] = request

    def handle_release(self, entry_id: str, release: Release) -> None:
        """Frees the slot of a request, or removes a request that waits."""
        self._queue.remove(release.request_id)
        self._awaiting_report.pop(release.request_id, None)
        self._long_running.discard(release.request_id)
        self.slot_table.release(entry_id, release.request_id)
        if release.ran_s >= 0:
            self._run_times.record_run(release.kind, release.ran_s)

    def drop_session(self, session: DispatchSession) -> None:
        """Removes the requests that came by a stream that has ended."""
        self._queue.remove_session(session)
        for request in list(self._awaiting_report.values()):
            if request.session is session:
                del self._awaiting_report[request.request_id]

    def drop_waiting(self) -> list[WaitingRequest]:
        """Removes and returns all requests that wait."""
        early = list(self._awaiting_report.values())
        self._awaiting_report.clear()
        return [*self._queue.remove_all(), *early]

    def grant_free_slots(self) -> None:
        """Grants slots while there are both free slots and requests."""
        if not self.active:
            return
        # Requests of an entry host at its limit wait until it releases a slot.
        entries_at_limit: set[str] = set()
        while self._has_free_slot():
            request = self._next_request(entries_at_limit)
            if request is None:
                return
            endpoint = self._pick_endpoint(request.entry_id)
            if endpoint is None:
                entries_at_limit.add(request.entry_id)
                continue
            self._queue.remove(request.request_id)
            if not self._refuse_if_infeasible(request):
                self._grant(request, endpoint)

    def _next_request(
        self, entries_at_limit: set[str]
    ) -> WaitingRequest | None:
        short = self._queue.first_short(entries_at_limit)
        long = self._queue.first_long(entries_at_limit)
        if long is None:
            return short
        slots = self._slot_count()
        running = len(self._long_running)
        if running < max(1, slots // _LONG_MIN_SLOTS_DIVISOR):
            return long
        if short is None and running < max(1, slots // _LONG_MAX_SLOTS_DIVISOR):
            return long
        return short

    def _slot_count(self) -> int:
        endpoints = self._context.endpoints.endpoints_of(self._service) or []
        return sum(endpoint.slots for endpoint in endpoints)

    def _has_free_slot(self) -> bool:
        endpoints = self._context.endpoints.endpoints_of(self._service) or []
        return any(
            self.slot_table.in_use(endpoint.host_id) < endpoint.slots
            for endpoint in endpoints
        )

    def _pick_endpoint(self, entry_id: str) -> Endpoint | None:
        endpoints = self._context.endpoints.endpoints_of(self._service) or []
        members = self._context.state().members_by_id
        unreported = sum(
            1 for each in members if each not in self.slot_table.reported
        )
        best: Endpoint | None = None
        best_share = 1.0
        for endpoint in endpoints:
            limit = max_slots_per_entry(endpoint.slots, len(members))
            if self.slot_table.held_by(entry_id, endpoint.host_id) >= limit:
                continue
            in_use = (
                self.slot_table.in_use(endpoint.host_id) + unreported * limit
            )
            share = in_use / endpoint.slots
            if share < best_share:
                best = endpoint
                best_share = share
        return best

    def _grant(self, request: WaitingRequest, endpoint: Endpoint) -> None:
        self.slot_table.reserve(
            request.entry_id, request.request_id, endpoint.host_id
        )
        if request.is_long:
            self._long_running.add(request.request_id)
        request.session.send_grant(
            SlotGrant(
                self._service,
                self.slot_table.term,
                request.request_id,
                endpoint.host_id,
                endpoint.host_version,
            )
        )

    def _resend_grant(
        self, session: DispatchSession, acquire: Acquire, host_id: str
    ) -> None:
        endpoint = self._context.endpoints.find(host_id)
        version = 0 if endpoint is None else endpoint.host_version
        session.send_grant(
            SlotGrant(
                self._service,
                self.slot_table.term,
                acquire.request_id,
                host_id,
                version,
            )
        )

    def _overload_reason(self, request: WaitingRequest) -> str:
        """Returns why a request cannot be served in time, empty if it can."""
        if len(self._queue) >= self._context.queue_limit:
            return f"{len(self._queue)} requests wait for {self._service!r}"
        if request.is_long or not self._run_times.is_reliable(request.kind):
            return ""
        expected_s = self._run_times.expected_s(request.kind)
        slots = max(1, self._slot_count())
        ahead = self._queue.short_count()
        wait_s = ahead * expected_s / slots
        left_s = request.deadline_s - self._context.timers.now_s()
        if wait_s + _MIN_LEFT_SHARE_OF_RUN * expected_s <= left_s:
            return ""
        return (
            f"expected wait of {wait_s:.1f} s is too long for the deadline: "
            f"{ahead} requests ahead, {expected_s:.2f} s each, {slots} slots, "
            f"{left_s:.2f} s left"
        )

    def _refuse_if_infeasible(self, request: WaitingRequest) -> bool:
        """Refuses a request whose run would not end before its deadline.

        Every sixteenth such request is granted all the same, so that an
        estimate that has become too long is corrected.
        """
        left_s = request.deadline_s - self._context.timers.now_s()
        expected_s = self._run_times.expected_s(request.kind)
        if left_s > 0 and (
            not self._run_times.is_reliable(request.kind)
            or left_s >= _MIN_LEFT_SHARE_OF_RUN * expected_s
        ):
            return False
        self._infeasible_count += 1
        if left_s > 0 and self._infeasible_count % _GRANT_INFEASIBLE_EVERY == 0:
            return False
        self._refuse(
            request,
            ResultCode.NOT_RUN_DEADLINE,
            f"{left_s:.2f} s left for an expected run of {expected_s:.2f} s",
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
        reported = sum(
            1 for each in self.slot_table.reported if each in members
        )
        if self.active or 2 * reported <= len(members):
            return
        self.active = True
        self._context.observer.record_change(
            "dispatch.granting",
            self._service,
            f"members {self.slot_table.term.members_offset}, "
            f"takeovers {self.slot_table.term.takeovers}, "
            f"{reported} of {len(members)} reported, "
            f"{self.slot_table.total_in_use()} slots held, "
            f"{len(self._queue)} requests wait",
        )
