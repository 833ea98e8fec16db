"""Tracks the current term of each service, and the term's dispatcher.

A term is a period in which one dispatcher grants the slots of a service.
"""

from collections.abc import Callable

import msgspec

from coltsfootseam.peers import NewerTerm, Term
from coltsfootseam.state import FleetState, Member, rank_members


class _Promise(msgspec.Struct, frozen=True):
    # The dispatcher is empty until one is known for the term.
    term: Term
    dispatcher_id: str


class TermTracker:
    """Tracks the current term of each service on this entry host.

    A term starts with every change of membership and whenever an entry host
    suspects the dispatcher. Terms only increase. Within a term, this entry
    host accepts grants from a single dispatcher.
    """

    __slots__ = ("_promises_by_service", "_state")

    def __init__(self, state: Callable[[], FleetState]) -> None:
        self._state = state
        self._promises_by_service: dict[str, _Promise] = {}

    def current(self, service: str) -> Term:
        """Returns the current term of a service."""
        base = Term(self._state().members_offset, 0)
        promise = self._promises_by_service.get(service)
        return base if promise is None else max(base, promise.term)

    def dispatcher_of(self, service: str) -> Member | None:
        """Returns the dispatcher of the current term."""
        state = self._state()
        term = self.current(service)
        promise = self._promises_by_service.get(service)
        if promise is not None and promise.term == term:
            member = state.members_by_id.get(promise.dispatcher_id)
            if member is not None:
                return member
        if not state.members_by_id:
            return None
        ranked = rank_members(state.members_by_id, f"dispatch/{service}")
        return state.members_by_id[ranked[term.takeovers % len(ranked)]]

    def promise(self, service: str, term: Term, dispatcher_id: str) -> bool:
        """Promises a term to a dispatcher.

        The term isn't promised if it is outdated, or promised to another
        dispatcher.

        Returns:
            Whether the term is now the current one and promised to the
            dispatcher.
        """
        current = self.current(service)
        if term < current:
            return False
        known = self._promises_by_service.get(service)
        if known is not None and known.term == term and known.dispatcher_id:
            return known.dispatcher_id == dispatcher_id
        self._promises_by_service[service] = _Promise(term, dispatcher_id)
        return True

    def advance_to(self, service: str, term: Term) -> bool:
        """Moves to a later term whose dispatcher is not known yet.

        Returns:
            Whether the term was later than the current one.
        """
        if term <= self.current(service):
            return False
        self._promises_by_service[service] = _Promise(term, "")
        return True

    def apply_newer(self, newer: NewerTerm) -> None:
        """Moves to a term that a peer announced and records its dispatcher.

        Never starts a term beyond the announced one, even if that is not later
        than this host's term: announcements often arrive late, and one that
        repeats the current term doesn't contradict it.
        """
        service = newer.service
        self.advance_to(service, newer.term)
        if newer.dispatcher_id:
            self.promise(service, newer.term, newer.dispatcher_id)

    def term_notice(self, service: str) -> NewerTerm:
        """Returns the message for peers that sent a request in another term."""
        term = self.current(service)
        return NewerTerm(service, term, self._known_dispatcher_id(service))

    def take_over(self, service: str) -> Term:
        """Starts and returns the next term, to replace the dispatcher."""
        current = self.current(service)
        term = Term(current.members_offset, current.takeovers + 1)
        self.advance_to(service, term)
        return term

    def _known_dispatcher_id(self, service: str) -> str:
        term = self.current(service)
        promise = self._promises_by_service.get(service)
        if (
            promise is not None
            and promise.term == term
            and promise.dispatcher_id
        ):
            return promise.dispatcher_id
        # The ranking is valid only for the members of the term.
        if self._state().members_offset != term.members_offset:
            return ""
        member = self.dispatcher_of(service)
        return "" if member is None else member.member_id
