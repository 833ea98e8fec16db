"""Dispatch in which one entry host grants all slots of a service.

The entry host that holds the caller's connection requests a slot from the
dispatcher of the service and then calls the endpoint itself.
"""

import asyncio

import msgspec

from coltsfootseam.peers import (
    Acquire,
    AdoptReply,
    AdoptRequest,
    DispatchReply,
    DispatchSession,
    DispatchUpdate,
    HeldSlot,
    NewerTerm,
    Release,
    SlotGrant,
    SlotRefusal,
    Term,
)
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.routing.dispatch import (
    DispatchContext,
    Dispatcher,
    Grant,
    SlotUse,
    deadline_refusal,
    dispatcher,
)
from coltsfootseam.routing.endpoints import QuarantineCause
from coltsfootseam.routing.internal.dispatch_server import DispatchServer
from coltsfootseam.routing.internal.link import DispatchLink
from coltsfootseam.routing.internal.terms import TermTracker
from coltsfootseam.routing.request import RequestHead
from coltsfootseam.state import Member

_UNUSABLE_GRANT_RETRY_DELAY_S = 0.05


class _DispatcherTerm(msgspec.Struct, frozen=True):
    term: Term
    dispatcher_id: str


class _Waiter(msgspec.Struct, eq=False):
    head: RequestHead
    future: "asyncio.Future[Grant | Refusal]"
    requested_from: _DispatcherTerm | None = None


class _LoopbackSession(DispatchSession):
    """Passes replies of the local ``DispatchServer`` to local requests."""

    __slots__ = ("_own_id", "_owner")

    def __init__(self, owner: "GrantedDispatcher", own_id: str) -> None:
        self._owner = owner
        self._own_id = own_id

    def send_grant(self, grant: SlotGrant) -> None:
        self._owner.handle_reply(self._own_id, DispatchReply(grants=[grant]))

    def send_refusal(self, refusal: SlotRefusal) -> None:
        reply = DispatchReply(refusals=[refusal])
        self._owner.handle_reply(self._own_id, reply)

    def send_term(self, newer: NewerTerm) -> None:
        self._owner.handle_reply(self._own_id, DispatchReply(terms=[newer]))

    def send_pong(self) -> None:
        pass


@dispatcher("granted")
class GrantedDispatcher(Dispatcher):
    """Requests slots from the dispatcher of each service.

    This entry host may itself be the dispatcher of some services.
    """

    __slots__ = (
        "_context",
        "_grants_by_request_id",
        "_links_by_member_id",
        "_loopback_session",
        "_server",
        "_terms",
        "_waiters_by_request_id",
    )

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._terms = TermTracker(context.state)
        self._server = DispatchServer(
            context, self._terms, self._held_slots, self._schedule_resend
        )
        self._loopback_session = _LoopbackSession(self, context.own_id)
        self._links_by_member_id: dict[str, DispatchLink] = {}
        self._waiters_by_request_id: dict[str, _Waiter] = {}
        self._grants_by_request_id: dict[str, Grant] = {}

    async def acquire(self, request: RequestHead) -> Grant | Refusal:
        """Waits for a slot until the request's deadline."""
        if self._context.endpoints.endpoints_of(request.service) is None:
            return Refusal(
                ResultCode.NOT_RUN_UNKNOWN_SERVICE,
                f"no contract names service {request.service!r}",
            )
        waiter = _Waiter(request, asyncio.get_running_loop().create_future())
        self._waiters_by_request_id[request.request_id] = waiter
        self._request_slot(waiter)
        timers = self._context.timers
        expiry = timers.call_after(
            request.deadline_s - timers.now_s(),
            lambda: self._expire(waiter),
        )
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._cancel_waiter(waiter)
            raise
        finally:
            expiry.cancel()
            self._waiters_by_request_id.pop(request.request_id, None)

    def release(self, grant: Grant, use: SlotUse) -> None:
        """Returns a slot to the current dispatcher of the service."""
        grant.endpoint.in_use -= 1
        assert grant.endpoint.in_use >= 0, grant
        del self._grants_by_request_id[grant.request.request_id]
        self._send_release(
            Release(
                service=grant.request.service,
                request_id=grant.request.request_id,
                kind=grant.request.kind(),
                host_id=grant.endpoint.host_id,
                host_version=grant.host_version,
                ran_s=-1.0 if use.ran_s is None else use.ran_s,
                finding=use.finding,
            )
        )

    def refresh(self) -> None:
        """Applies changes of members and endpoints."""
        members = self._context.state().members_by_id
        for member_id in list(self._links_by_member_id):
            member = members.get(member_id)
            link = self._links_by_member_id[member_id]
            if member is None or not link.targets(member):
                link.close()
                del self._links_by_member_id[member_id]
        self._server.refresh()
        self._resend_outdated(list(self._waiters_by_request_id.values()))

    def tick(self) -> None:
        """Replaces dispatchers that do not answer."""
        waiting_by_member_id = self._waiters_by_dispatcher_id()
        for member_id, link in list(self._links_by_member_id.items()):
            waiters = waiting_by_member_id.get(member_id, [])
            if not link.check(bool(waiters)):
                self._suspect(member_id, "does not answer")

    def handle_dispatch_update(
        self, session: DispatchSession, update: DispatchUpdate
    ) -> None:
        """Handles a message from another entry host."""
        self._server.handle_update(session, update)

    def end_dispatch_session(self, session: DispatchSession) -> None:
        """Drops what waits on a stream of another entry host that ended."""
        self._server.end_session(session)

    def adopt(self, request: AdoptRequest) -> AdoptReply:
        """Moves to a term and returns this host's slots of the service."""
        service = request.service
        moved = self._terms.promise(
            service, request.term, request.dispatcher_id
        )
        self._server.step_down_if_outdated(service)
        self._schedule_resend(service)
        if not moved:
            return AdoptReply(self._term_after(request), [])
        return AdoptReply(request.term, self._held_slots(service))

    async def close(self) -> None:
        """Closes all links and stops dispatching."""
        self._server.close()
        for link in self._links_by_member_id.values():
            link.close()

    def handle_reply(self, dispatcher_id: str, reply: DispatchReply) -> None:
        """Handles newer terms, refusals and grants from a dispatcher."""
        for newer in reply.terms:
            self._terms.apply_newer(newer)
            self._server.step_down_if_outdated(newer.service)
            self._resend_outdated(self._waiters_of(newer.service))
        for refusal in reply.refusals:
            waiter = self._waiters_by_request_id.get(refusal.request_id)
            if waiter is not None and not waiter.future.done():
                code = ResultCode(refusal.code)
                waiter.future.set_result(Refusal(code, refusal.reason))
        for grant in reply.grants:
            self._handle_grant(dispatcher_id, grant)

    def _handle_grant(self, dispatcher_id: str, grant: SlotGrant) -> None:
        member = self._terms.dispatcher_of(grant.service)
        if grant.term != self._terms.current(grant.service):
            self._context.observer.count("dispatch.stale_grants")
            return
        if member is None or member.member_id != dispatcher_id:
            self._context.observer.count("dispatch.stale_grants")
            return
        if grant.request_id in self._grants_by_request_id:
            return
        waiter = self._waiters_by_request_id.get(grant.request_id)
        if waiter is None or waiter.future.done():
            self._send_release(Release(grant.service, grant.request_id))
            return
        local_grant = self._make_grant(waiter.head, grant)
        if local_grant is None:
            self._send_release(Release(grant.service, grant.request_id))
            self._context.timers.call_after(
                _UNUSABLE_GRANT_RETRY_DELAY_S,
                lambda: self._request_slot(waiter),
            )
            return
        local_grant.endpoint.in_use += 1
        self._grants_by_request_id[grant.request_id] = local_grant
        waiter.future.set_result(local_grant)

    def _make_grant(self, head: RequestHead, grant: SlotGrant) -> Grant | None:
        """Returns a grant if the endpoint accepts work in this host's state.

        The dispatcher may not have applied a drain yet that this host has.
        """
        claim = self._context.state().claims_by_host_id.get(grant.host_id)
        endpoint = self._context.endpoints.find(grant.host_id)
        if claim is None or endpoint is None or not claim.is_available():
            return None
        if claim.version != grant.host_version:
            return None
        if endpoint.quarantine_cause is QuarantineCause.LEAVING:
            return None
        return Grant(
            request=head,
            endpoint=endpoint,
            address=endpoint.address,
            pool=endpoint.pool,
            host_version=endpoint.host_version,
        )

    def _request_slots(self, waiters: list[_Waiter]) -> None:
        for waiter in waiters:
            self._request_slot(waiter)

    def _schedule_resend(self, service: str) -> None:
        asyncio.get_running_loop().call_soon(
            lambda: self._resend_outdated(self._waiters_of(service))
        )

    def _resend_outdated(self, waiters: list[_Waiter]) -> None:
        """Requests slots again that were requested in an earlier term."""
        for waiter in waiters:
            if waiter.requested_from != self._current_dispatcher(
                waiter.head.service
            ):
                self._request_slot(waiter)

    def _current_dispatcher(self, service: str) -> _DispatcherTerm | None:
        member = self._terms.dispatcher_of(service)
        if member is None:
            return None
        return _DispatcherTerm(self._terms.current(service), member.member_id)

    def _request_slot(self, waiter: _Waiter) -> None:
        if waiter.future.done():
            return
        service = waiter.head.service
        member = self._terms.dispatcher_of(service)
        if member is None:
            return
        term = self._terms.current(service)
        waiter.requested_from = _DispatcherTerm(term, member.member_id)
        now_s = self._context.timers.now_s()
        acquire = Acquire(
            service=service,
            term=term,
            request_id=waiter.head.request_id,
            kind=waiter.head.kind(),
            waited_s=now_s - waiter.head.arrived_s,
            remaining_s=waiter.head.deadline_s - now_s,
        )
        if member.member_id == self._context.own_id:
            update = DispatchUpdate(self._context.own_id, acquires=[acquire])
            self._server.handle_update(self._loopback_session, update)
        else:
            self._link_to(member).acquire(acquire)

    def _send_release(self, release: Release) -> None:
        member = self._terms.dispatcher_of(release.service)
        if member is None:
            return
        if member.member_id == self._context.own_id:
            update = DispatchUpdate(self._context.own_id, releases=[release])
            self._server.handle_update(self._loopback_session, update)
        else:
            self._link_to(member).release(release)

    def _link_to(self, member: Member) -> DispatchLink:
        link = self._links_by_member_id.get(member.member_id)
        if link is None:
            link = DispatchLink(
                self._context.own_id,
                member,
                self._context.peers,
                self._context.timers,
                self._build_opening,
                self.handle_reply,
                lambda member_id: self._suspect(member_id, "is unreachable"),
            )
            self._links_by_member_id[member.member_id] = link
        return link

    def _build_opening(self, member_id: str) -> DispatchUpdate:
        """Returns the first message of a stream, with all held slots."""
        update = DispatchUpdate(self._context.own_id, is_first_message=True)
        update.held_slots = [
            HeldSlot(grant.request.service, request_id, grant.endpoint.host_id)
            for request_id, grant in self._grants_by_request_id.items()
        ]
        # The member uses the slots of services that it dispatches now. When it
        # becomes the dispatcher of another service, it asks for its slots.
        for service in self._context.endpoints.services():
            member = self._terms.dispatcher_of(service)
            if member is not None and member.member_id == member_id:
                update.terms.append(
                    NewerTerm(service, self._terms.current(service))
                )
        waiters = self._waiters_by_dispatcher_id().get(member_id, [])
        asyncio.get_running_loop().call_soon(self._request_slots, waiters)
        return update

    def _suspect(self, member_id: str, cause: str) -> None:
        """Starts the next term of each service with requests at a member."""
        waiters = self._waiters_by_dispatcher_id().get(member_id, [])
        for service in sorted({waiter.head.service for waiter in waiters}):
            term = self._terms.take_over(service)
            self._context.observer.record_change(
                "dispatch.suspected",
                service,
                f"{member_id} {cause}, takeovers {term.takeovers}",
            )
        self._resend_outdated(waiters)

    def _waiters_by_dispatcher_id(self) -> dict[str, list[_Waiter]]:
        waiting: dict[str, list[_Waiter]] = {}
        ids_by_service: dict[str, str] = {}
        for waiter in self._waiters_by_request_id.values():
            service = waiter.head.service
            if service not in ids_by_service:
                member = self._terms.dispatcher_of(service)
                member_id = "" if member is None else member.member_id
                ids_by_service[service] = member_id
            waiting.setdefault(ids_by_service[service], []).append(waiter)
        return waiting

    def _waiters_of(self, service: str) -> list[_Waiter]:
        return [
            waiter
            for waiter in self._waiters_by_request_id.values()
            if waiter.head.service == service
        ]

    def _held_slots(self, service: str) -> list[HeldSlot]:
        return [
            HeldSlot(service, request_id, grant.endpoint.host_id)
            for request_id, grant in self._grants_by_request_id.items()
            if grant.request.service == service
        ]

    def _term_after(self, request: AdoptRequest) -> Term:
        current = self._terms.current(request.service)
        if current > request.term:
            return current
        # The term was promised to another dispatcher; the next term resolves
        # the conflict.
        return self._terms.take_over(request.service)

    def _expire(self, waiter: _Waiter) -> None:
        if waiter.future.done():
            return
        head = waiter.head
        waiter.future.set_result(
            deadline_refusal(head, self._context.endpoints)
        )
        self._send_release(Release(head.service, head.request_id))

    def _cancel_waiter(self, waiter: _Waiter) -> None:
        head = waiter.head
        grant = self._grants_by_request_id.get(head.request_id)
        if grant is not None:
            self.release(grant, SlotUse())
        else:
            self._send_release(Release(head.service, head.request_id))
