"""The services that this entry host dispatches."""

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
from coltsfootseam.routing.endpoints import QuarantineCause
from coltsfootseam.routing.internal.service import ServiceDispatcher
from coltsfootseam.routing.internal.terms import TermTracker
from coltsfootseam.state import Member

_ADOPT_RETRY_DELAY_S = 0.3


class DispatchServer:
    """Dispatches each service of which this entry host is the dispatcher."""

    __slots__ = (
        "_context",
        "_dispatchers_by_service",
        "_entry_by_session",
        "_on_newer_term",
        "_own_held_slots",
        "_tasks",
        "_terms",
    )

    def __init__(
        self,
        context: DispatchContext,
        terms: TermTracker,
        own_held_slots: Callable[[str], list[HeldSlot]],
        on_newer_term: Callable[[str], None],
    ) -> None:
        self._context = context
        self._terms = terms
        self._own_held_slots = own_held_slots
        self._on_newer_term = on_newer_term
        self._dispatchers_by_service: dict[str, ServiceDispatcher] = {}
        self._entry_by_session: dict[DispatchSession, str] = {}
        self._tasks: BackgroundTasks[None] = BackgroundTasks()

    def handle_update(
        self, session: DispatchSession, update: DispatchUpdate
    ) -> None:
        """Handles a message from an entry host, this one included."""
        self._entry_by_session[session] = update.entry_id
        touched: set[str] = set()
        if update.is_first_message:
            touched.update(self._apply_opening(update))
        for release in update.releases:
            self._handle_release(update.entry_id, release)
            touched.add(release.service)
        for acquire in update.acquires:
            self._handle_acquire(update.entry_id, session, acquire)
            touched.add(acquire.service)
        for service in touched:
            dispatcher = self._dispatchers_by_service.get(service)
            if dispatcher is not None:
                dispatcher.grant_free_slots()
        if update.ping:
            session.send_pong()

    def end_session(self, session: DispatchSession) -> None:
        """Removes the requests of a stream that ended; slots stay held."""
        self._entry_by_session.pop(session, None)
        for dispatcher in self._dispatchers_by_service.values():
            dispatcher.drop_session(session)

    def refresh(self) -> None:
        """Applies changes of endpoints and members."""
        members = self._context.state().members_by_id
        for service, dispatcher in self._dispatchers_by_service.items():
            if dispatcher.slot_table.term < self._terms.current(service):
                self._step_down(service, dispatcher)
                continue
            for entry_id in list(dispatcher.slot_table.reported):
                if entry_id not in members:
                    dispatcher.slot_table.remove_entry(entry_id)
            dispatcher.grant_free_slots()

    def step_down_if_outdated(self, service: str) -> None:
        """Stops dispatching a service if a later term has started."""
        dispatcher = self._dispatchers_by_service.get(service)
        if dispatcher is None:
            return
        if dispatcher.slot_table.term < self._terms.current(service):
            self._step_down(service, dispatcher)

    def close(self) -> None:
        """Cancels the background tasks."""
        self._tasks.cancel_all()

    def _apply_opening(self, update: DispatchUpdate) -> list[str]:
        """Replaces an entry host's slots with those of an opening message.

        Returns:
            The services to which the message applied.
        """
        touched: list[str] = []
        for service, dispatcher in self._dispatchers_by_service.items():
            is_current = (
                NewerTerm(service, dispatcher.slot_table.term) in update.terms
            )
            if is_current and update.entry_id in dispatcher.slot_table.reported:
                held = [
                    each
                    for each in update.held_slots
                    if each.service == service
                ]
                dispatcher.apply_report(update.entry_id, held)
                touched.append(service)
        return touched

    def _handle_release(self, entry_id: str, release: Release) -> None:
        if release.finding is EndpointFinding.FAILING:
            endpoint = self._context.endpoints.find(release.host_id)
            if (
                endpoint is not None
                and endpoint.host_version == release.host_version
                and endpoint.quarantine_cause is None
            ):
                self._context.endpoints.quarantine(
                    endpoint, QuarantineCause.FAILING, f"reported by {entry_id}"
                )
        dispatcher = self._dispatchers_by_service.get(release.service)
        if dispatcher is not None:
            dispatcher.handle_release(entry_id, release)

    def _handle_acquire(
        self, entry_id: str, session: DispatchSession, acquire: Acquire
    ) -> None:
        service = acquire.service
        if self._terms.advance_to(service, acquire.term):
            self._on_newer_term(service)
        term = self._terms.current(service)
        if acquire.term < term:
            session.send_term(self._terms.term_notice(service))
            return
        dispatcher = self._dispatcher_for(service, term)
        if dispatcher is None:
            session.send_term(self._terms.term_notice(service))
            return
        dispatcher.request_slot(entry_id, session, acquire)

    def _dispatcher_for(
        self, service: str, term: Term
    ) -> ServiceDispatcher | None:
        dispatcher = self._dispatchers_by_service.get(service)
        if dispatcher is not None and dispatcher.slot_table.term == term:
            return dispatcher
        if not self._terms.promise(service, term, self._context.own_id):
            return None
        if dispatcher is None:
            dispatcher = ServiceDispatcher(service, term, self._context)
            self._dispatchers_by_service[service] = dispatcher
        else:
            dispatcher.start_term(term)
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
            request.session.send_term(self._terms.term_notice(service))

    def _start_adoption(
        self, service: str, dispatcher: ServiceDispatcher
    ) -> None:
        self._tasks.start(self._adopt_all(service, dispatcher))

    async def _adopt_all(
        self, service: str, dispatcher: ServiceDispatcher
    ) -> None:
        """Asks the members for their held slots until all have reported."""
        term = dispatcher.slot_table.term
        while dispatcher.slot_table.term == term:
            if self._terms.current(service) != term:
                self._step_down(service, dispatcher)
                return
            members = self._context.state().members_by_id
            unreported = [
                member
                for member_id, member in members.items()
                if member_id not in dispatcher.slot_table.reported
            ]
            if not unreported:
                return
            await asyncio.gather(
                *(self._adopt_one(service, term, each) for each in unreported)
            )
            await self._context.timers.sleep(_ADOPT_RETRY_DELAY_S)

    async def _adopt_one(
        self, service: str, term: Term, member: Member
    ) -> None:
        request = AdoptRequest(service, term, self._context.own_id)
        reply: AdoptReply | Refusal
        if member.member_id == self._context.own_id:
            reply = AdoptReply(term, self._own_held_slots(service))
        else:
            reply = await self._context.peers.adopt(member.peers, request)
        if isinstance(reply, Refusal):
            self._context.observer.count("dispatch.adopt_failures")
            return
        dispatcher = self._dispatchers_by_service[service]
        if dispatcher.slot_table.term != term:
            return
        if reply.term > term:
            self._terms.advance_to(service, reply.term)
            self._step_down(service, dispatcher)
            return
        dispatcher.apply_report(member.member_id, reply.held_slots)
