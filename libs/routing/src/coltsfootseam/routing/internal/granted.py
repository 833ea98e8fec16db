"""Dispatch by one dispatcher for each service, which grants slots.

The entry host that holds the caller's connection asks the dispatcher for a
slot and then calls the endpoint itself.
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
    dispatcher,
    refuse_late,
)
from coltsfootseam.routing.endpoints import SetAsideCause
from coltsfootseam.routing.internal.granting import DispatchServer
from coltsfootseam.routing.internal.link import DispatchLink
from coltsfootseam.routing.internal.terms import TermKeeper
from coltsfootseam.routing.request import RequestHead
from coltsfootseam.state import Member

_ASK_AGAIN_S = 0.05


class _Asked(msgspec.Struct, frozen=True):
    term: Term
    dispatcher_id: str


class _Waiter(msgspec.Struct, eq=False):
    head: RequestHead
    future: "asyncio.Future[Grant | Refusal]"
    asked: _Asked | None = None


class _LocalSession(DispatchSession):
    """Carries replies of this host's own dispatching to its own requests."""

    __slots__ = ("_own_id", "_owner")

    def __init__(self, owner: "GrantedDispatcher", own_id: str) -> None:
        self._owner = owner
        self._own_id = own_id

    def send_grant(self, grant: SlotGrant) -> None:
        self._owner.take_reply(self._own_id, DispatchReply(grants=[grant]))

    def send_refusal(self, refusal: SlotRefusal) -> None:
        reply = DispatchReply(refusals=[refusal])
        self._owner.take_reply(self._own_id, reply)

    def send_term(self, newer: NewerTerm) -> None:
        self._owner.take_reply(self._own_id, DispatchReply(terms=[newer]))

    def send_pong(self) -> None:
        pass


@dispatcher("granted")
class GrantedDispatcher(Dispatcher):
    """Asks the dispatcher of each service, and dispatches some itself."""

    __slots__ = (
        "_context",
        "_grants_by_request_id",
        "_links_by_member_id",
        "_local_session",
        "_server",
        "_terms",
        "_waiters_by_request_id",
    )

    def __init__(self, context: DispatchContext) -> None:
        self._context = context
        self._terms = TermKeeper(context.state)
        self._server = DispatchServer(
            context, self._terms, self._holdings_of, self._ask_again_soon
        )
        self._local_session = _LocalSession(self, context.own_id)
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
        self._ask(waiter)
        timers = self._context.timers
        expiry = timers.call_after(
            request.deadline_s - timers.now_s(),
            lambda: self._expire(waiter),
        )
        try:
            return await waiter.future
        except asyncio.CancelledError:
            self._take_back(waiter)
            raise
        finally:
            expiry.cancel()
            self._waiters_by_request_id.pop(request.request_id, None)

    def release(self, grant: Grant, use: SlotUse) -> None:
        """Gives a slot back to the service's present dispatcher."""
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
        """Follows changes of members and endpoints."""
        members = self._context.state().members_by_id
        for member_id in list(self._links_by_member_id):
            member = members.get(member_id)
            link = self._links_by_member_id[member_id]
            if member is None or not link.is_to(member):
                link.close()
                del self._links_by_member_id[member_id]
        self._server.refresh()
        self._ask_again(list(self._waiters_by_request_id.values()))

    def tick(self) -> None:
        """Takes over from dispatchers that do not answer."""
        waiting_by_member_id = self._waiting_by_dispatcher()
        for member_id, link in list(self._links_by_member_id.items()):
            waiters = waiting_by_member_id.get(member_id, [])
            if not link.check(bool(waiters)):
                self._suspect(member_id, "does not answer")

    def handle_dispatch_update(
        self, session: DispatchSession, update: DispatchUpdate
    ) -> None:
        """Takes a message of another entry host."""
        self._server.take_update(session, update)

    def end_dispatch_session(self, session: DispatchSession) -> None:
        """Takes note that the stream of another entry host has ended."""
        self._server.end_session(session)

    def adopt(self, request: AdoptRequest) -> AdoptReply:
        """Moves to a term and tells what this host holds of the service."""
        service = request.service
        moved = self._terms.promise(
            service, request.term, request.dispatcher_id
        )
        self._server.step_down_if_older(service)
        self._ask_again_soon(service)
        if not moved:
            return AdoptReply(self._later_than(request), [])
        return AdoptReply(request.term, self._holdings_of(service))

    async def close(self) -> None:
        """Ends all links."""
        self._server.close()
        for link in self._links_by_member_id.values():
            link.close()

    def take_reply(self, dispatcher_id: str, reply: DispatchReply) -> None:
        """Takes what a dispatcher tells."""
        for newer in reply.terms:
            self._terms.follow(newer)
            self._server.step_down_if_older(newer.service)
            self._ask_again(self._waiters_of(newer.service))
        for refusal in reply.refusals:
            waiter = self._waiters_by_request_id.get(refusal.request_id)
            if waiter is not None and not waiter.future.done():
                code = ResultCode(refusal.code)
                waiter.future.set_result(Refusal(code, refusal.reason))
        for grant in reply.grants:
            self._take_grant(dispatcher_id, grant)

    def _take_grant(self, dispatcher_id: str, grant: SlotGrant) -> None:
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
        made = self._make_grant(waiter.head, grant)
        if made is None:
            self._send_release(Release(grant.service, grant.request_id))
            self._context.timers.call_after(
                _ASK_AGAIN_S, lambda: self._ask(waiter)
            )
            return
        made.endpoint.in_use += 1
        self._grants_by_request_id[grant.request_id] = made
        waiter.future.set_result(made)

    def _make_grant(self, head: RequestHead, grant: SlotGrant) -> Grant | None:
        """Returns the grant if this host too may give the endpoint work.

        The dispatcher may not have folded a drain yet that is in force here.
        """
        claim = self._context.state().claims_by_host_id.get(grant.host_id)
        endpoint = self._context.endpoints.find(grant.host_id)
        if claim is None or endpoint is None or not claim.is_available():
            return None
        if claim.version != grant.host_version:
            return None
        if endpoint.set_aside is SetAsideCause.LEAVING:
            return None
        return Grant(
            request=head,
            endpoint=endpoint,
            address=endpoint.address,
            pool=endpoint.pool,
            host_version=endpoint.host_version,
        )

    def _ask_all(self, waiters: list[_Waiter]) -> None:
        for waiter in waiters:
            self._ask(waiter)

    def _ask_again_soon(self, service: str) -> None:
        asyncio.get_running_loop().call_soon(
            lambda: self._ask_again(self._waiters_of(service))
        )

    def _ask_again(self, waiters: list[_Waiter]) -> None:
        """Asks for what was last asked in another term than now."""
        for waiter in waiters:
            if waiter.asked != self._whom_to_ask(waiter.head.service):
                self._ask(waiter)

    def _whom_to_ask(self, service: str) -> _Asked | None:
        member = self._terms.dispatcher_of(service)
        if member is None:
            return None
        return _Asked(self._terms.current(service), member.member_id)

    def _ask(self, waiter: _Waiter) -> None:
        if waiter.future.done():
            return
        service = waiter.head.service
        member = self._terms.dispatcher_of(service)
        if member is None:
            return
        term = self._terms.current(service)
        waiter.asked = _Asked(term, member.member_id)
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
            self._server.take_update(self._local_session, update)
        else:
            self._link_to(member).acquire(acquire)

    def _send_release(self, release: Release) -> None:
        member = self._terms.dispatcher_of(release.service)
        if member is None:
            return
        if member.member_id == self._context.own_id:
            update = DispatchUpdate(self._context.own_id, releases=[release])
            self._server.take_update(self._local_session, update)
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
                self._describe_opening,
                self.take_reply,
                lambda member_id: self._suspect(member_id, "is unreachable"),
            )
            self._links_by_member_id[member.member_id] = link
        return link

    def _describe_opening(self, member_id: str) -> DispatchUpdate:
        """Returns the first message of a stream: all that this host holds."""
        update = DispatchUpdate(self._context.own_id, is_first_message=True)
        update.held_slots = [
            HeldSlot(grant.request.service, request_id, grant.endpoint.host_id)
            for request_id, grant in self._grants_by_request_id.items()
        ]
        # Holdings count for services that this member dispatches now; for
        # others it asks when it becomes their dispatcher.
        for service in self._context.endpoints.services():
            member = self._terms.dispatcher_of(service)
            if member is not None and member.member_id == member_id:
                update.terms.append(
                    NewerTerm(service, self._terms.current(service))
                )
        waiters = self._waiting_by_dispatcher().get(member_id, [])
        asyncio.get_running_loop().call_soon(self._ask_all, waiters)
        return update

    def _suspect(self, member_id: str, cause: str) -> None:
        """Begins the next term of every service that waits for a member."""
        waiters = self._waiting_by_dispatcher().get(member_id, [])
        for service in sorted({waiter.head.service for waiter in waiters}):
            term = self._terms.take_over(service)
            self._context.observer.record_change(
                "dispatch.suspected",
                service,
                f"{member_id} {cause}, takeovers {term.takeovers}",
            )
        self._ask_again(waiters)

    def _waiting_by_dispatcher(self) -> dict[str, list[_Waiter]]:
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

    def _holdings_of(self, service: str) -> list[HeldSlot]:
        return [
            HeldSlot(service, request_id, grant.endpoint.host_id)
            for request_id, grant in self._grants_by_request_id.items()
            if grant.request.service == service
        ]

    def _later_than(self, request: AdoptRequest) -> Term:
        current = self._terms.current(request.service)
        if current > request.term:
            return current
        # The same term was promised to another dispatcher; the next decides.
        return self._terms.take_over(request.service)

    def _expire(self, waiter: _Waiter) -> None:
        if waiter.future.done():
            return
        head = waiter.head
        waiter.future.set_result(refuse_late(head, self._context.endpoints))
        self._send_release(Release(head.service, head.request_id))

    def _take_back(self, waiter: _Waiter) -> None:
        head = waiter.head
        grant = self._grants_by_request_id.get(head.request_id)
        if grant is not None:
            self.release(grant, SlotUse())
        else:
            self._send_release(Release(head.service, head.request_id))
