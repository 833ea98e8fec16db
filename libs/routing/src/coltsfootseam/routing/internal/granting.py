"""The dispatching side: this entry host as dispatcher of some services."""

import asyncio
from collections.abc import Callable

from coltsfootseam.peers import (
    Acquire,
    AdoptReply,
    AdoptRequest,
    DispatchSession,
    DispatchUpdate,
    EndpointFinding,
    HeldSlot,
    NewerTerm,
    Release,
    Term,
)
from coltsfootseam.results import Refusal
from coltsfootseam.routing.background import BackgroundTasks
from coltsfootseam.routing.dispatch import DispatchContext
from coltsfootseam.routing.endpoints import SetAsideCause
from coltsfootseam.routing.internal.service import ServiceDispatcher
from coltsfootseam.routing.internal.terms import TermKeeper
from coltsfootseam.state import Member

_ADOPT_RETRY_S = 0.3


class DispatchServer:
    """Dispatches the services for which other entry hosts ask this one."""

    __slots__ = (
        "_context",
        "_dispatchers_by_service",
        "_entry_by_session",
        "_on_moved",
        "_own_holdings",
        "_tasks",
        "_terms",
    )

    def __init__(
        self,
        context: DispatchContext,
        terms: TermKeeper,
        own_holdings: Callable[[str], list[HeldSlot]],
        on_moved: Callable[[str], None],
    ) -> None:
        self._context = context
        self._terms = terms
        self._own_holdings = own_holdings
        self._on_moved = on_moved
        self._dispatchers_by_service: dict[str, ServiceDispatcher] = {}
        self._entry_by_session: dict[DispatchSession, str] = {}
        self._tasks: BackgroundTasks[None] = BackgroundTasks()

    def take_update(
        self, session: DispatchSession, update: DispatchUpdate
    ) -> None:
        """Takes what an entry host tells."""
        self._entry_by_session[session] = update.entry_id
        touched: set[str] = set()
        if update.is_first_message:
            touched.update(self._take_opening(update))
        for release in update.releases:
            self._take_release(update.entry_id, release)
            touched.add(release.service)
        for acquire in update.acquires:
            self._take_acquire(update.entry_id, session, acquire)
            touched.add(acquire.service)
        for service in touched:
            dispatcher = self._dispatchers_by_service.get(service)
            if dispatcher is not None:
                dispatcher.serve()
        if update.ping:
            session.send_pong()

    def end_session(self, session: DispatchSession) -> None:
        """Lets go of what waited behind a stream; slots stay held."""
        self._entry_by_session.pop(session, None)
        for dispatcher in self._dispatchers_by_service.values():
            dispatcher.drop_session(session)

    def refresh(self) -> None:
        """Follows changes of endpoints and members."""
        members = self._context.state().members_by_id
        for service, dispatcher in self._dispatchers_by_service.items():
            if dispatcher.book.term < self._terms.current(service):
                self._step_down(service, dispatcher)
                continue
            for entry_id in list(dispatcher.book.reported):
                if entry_id not in members:
                    dispatcher.book.forget_entry(entry_id)
            dispatcher.serve()

    def step_down_if_older(self, service: str) -> None:
        """Stops dispatching a service whose later term has begun."""
        dispatcher = self._dispatchers_by_service.get(service)
        if dispatcher is None:
            return
        if dispatcher.book.term < self._terms.current(service):
            self._step_down(service, dispatcher)

    def close(self) -> None:
        """Ends what runs in the background."""
        self._tasks.cancel_all()

    def _take_opening(self, update: DispatchUpdate) -> list[str]:
        """Replaces what an entry host was known to hold."""
        touched: list[str] = []
        for service, dispatcher in self._dispatchers_by_service.items():
            is_current = (
                NewerTerm(service, dispatcher.book.term) in update.terms
            )
            if is_current and update.entry_id in dispatcher.book.reported:
                held = [
                    each
                    for each in update.held_slots
                    if each.service == service
                ]
                dispatcher.take_report(update.entry_id, held)
                touched.append(service)
        return touched

    def _take_release(self, entry_id: str, release: Release) -> None:
        if release.finding is EndpointFinding.FAILING:
            endpoint = self._context.endpoints.find(release.host_id)
            if (
                endpoint is not None
                and endpoint.host_version == release.host_version
                and endpoint.set_aside is None
            ):
                self._context.endpoints.set_aside(
                    endpoint, SetAsideCause.FAILING, f"reported by {entry_id}"
                )
        dispatcher = self._dispatchers_by_service.get(release.service)
        if dispatcher is not None:
            dispatcher.give_back(entry_id, release)

    def _take_acquire(
        self, entry_id: str, session: DispatchSession, acquire: Acquire
    ) -> None:
        service = acquire.service
        if self._terms.note_later(service, acquire.term):
            self._on_moved(service)
        term = self._terms.current(service)
        if acquire.term < term:
            session.send_term(self._terms.announce(service))
            return
        dispatcher = self._dispatcher_for(service, term)
        if dispatcher is None:
            session.send_term(self._terms.announce(service))
            return
        dispatcher.ask(entry_id, session, acquire)

    def _dispatcher_for(
        self, service: str, term: Term
    ) -> ServiceDispatcher | None:
        dispatcher = self._dispatchers_by_service.get(service)
        if dispatcher is not None and dispatcher.book.term == term:
            return dispatcher
        if not self._terms.promise(service, term, self._context.own_id):
            return None
        if dispatcher is None:
            dispatcher = ServiceDispatcher(service, term, self._context)
            self._dispatchers_by_service[service] = dispatcher
        else:
            dispatcher.begin_term(term)
        self._context.observer.record_change(
            "dispatch.term_begun",
            service,
            f"members {term.members_offset}, takeovers {term.takeovers}",
        )
        self._start_adoption(service, dispatcher)
        return dispatcher

    def _step_down(self, service: str, dispatcher: ServiceDispatcher) -> None:
        dispatcher.active = False
        for request in dispatcher.drop_waiting():
            request.session.send_term(self._terms.announce(service))

    def _start_adoption(
        self, service: str, dispatcher: ServiceDispatcher
    ) -> None:
        self._tasks.start(self._adopt_all(service, dispatcher))

    async def _adopt_all(
        self, service: str, dispatcher: ServiceDispatcher
    ) -> None:
        """Asks every member for its holdings until all have reported."""
        term = dispatcher.book.term
        while dispatcher.book.term == term:
            if self._terms.current(service) != term:
                self._step_down(service, dispatcher)
                return
            members = self._context.state().members_by_id
            silent = [
                member
                for member_id, member in members.items()
                if member_id not in dispatcher.book.reported
            ]
            if not silent:
                return
            await asyncio.gather(
                *(self._adopt_one(service, term, each) for each in silent)
            )
            await self._context.timers.sleep(_ADOPT_RETRY_S)

    async def _adopt_one(
        self, service: str, term: Term, member: Member
    ) -> None:
        request = AdoptRequest(service, term, self._context.own_id)
        reply: AdoptReply | Refusal
        if member.member_id == self._context.own_id:
            reply = AdoptReply(term, self._own_holdings(service))
        else:
            reply = await self._context.peers.adopt(member.peers, request)
        if isinstance(reply, Refusal):
            self._context.observer.count("dispatch.adopt_failures")
            return
        dispatcher = self._dispatchers_by_service[service]
        if dispatcher.book.term != term:
            return
        if reply.term > term:
            self._terms.note_later(service, reply.term)
            self._step_down(service, dispatcher)
            return
        dispatcher.take_report(member.member_id, reply.held_slots)
