"""Idempotency keys: a request with a key runs at most once in the fleet."""

import asyncio

from coltsfootseam.peers import (
    Answer,
    KeyCopy,
    KeyReservation,
    KeyVerdict,
)
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.routing.background import BackgroundTasks
from coltsfootseam.routing.key_context import KeyContext
from coltsfootseam.routing.key_placement import key_holders
from coltsfootseam.routing.outcome_reporter import OutcomeReporter
from coltsfootseam.routing.request import RequestHead
from coltsfootseam.state import Member

_RETRY_DELAY_S = 0.2


class KeyGuard:
    """Reserves keys at the two entry hosts that hold them.

    The holders of a key are the first two members by rendezvous hashing. Both
    have to reserve the key, in this order, before its request is dispatched, so
    that only one of two requests with the same key runs.
    """

    __slots__ = (
        "_context",
        "_outcome_reporter",
        "_reserved_by_request_id",
        "_tasks",
    )

    def __init__(self, context: KeyContext) -> None:
        self._context = context
        self._tasks: BackgroundTasks[None] = BackgroundTasks()
        self._outcome_reporter = OutcomeReporter(
            context.peers, context.timers, context.observer
        )
        self._reserved_by_request_id: dict[str, list[Member]] = {}

    async def reserve(self, request: RequestHead) -> KeyReservation | Refusal:
        """Reserves a request's key; retries until its deadline.

        Returns:
            The reservation, or a refusal with ``NOT_RUN_KEY_UNGUARDED`` if
            the holders could not both be reached.
        """
        while True:
            result = await self._try_reserve(request)
            if not isinstance(result, Refusal):
                return result
            left_s = request.deadline_s - self._context.timers.now_s()
            if left_s <= _RETRY_DELAY_S:
                # The caller does not wait for unresponsive holders.
                self._tasks.start(
                    self.report_outcome(request, KeyVerdict.NOT_RUN, None)
                )
                return result
            await self._context.timers.sleep(_RETRY_DELAY_S)

    async def report_outcome(
        self, request: RequestHead, verdict: KeyVerdict, answer: Answer | None
    ) -> None:
        """Reports the outcome of a request to the holders of its key.

        Members that reserved the key but are no longer its holders also get
        the report, since they may become holders again.
        """
        members_by_id = {
            member.member_id: member
            for member in self.holders(request.scoped_key())
        }
        for member in self._reserved_by_request_id.pop(request.request_id, []):
            members_by_id.setdefault(member.member_id, member)
        await asyncio.gather(
            *(
                self._report_to(member, request, verdict, answer)
                for member in members_by_id.values()
            )
        )

    def holders(self, key: str) -> list[Member]:
        """Returns the members that hold a key, in order of reservation."""
        members_by_id = self._context.state().members_by_id
        return [
            members_by_id[member_id]
            for member_id in key_holders(members_by_id, key)
        ]

    async def _try_reserve(
        self, request: RequestHead
    ) -> KeyReservation | Refusal:
        holders = self.holders(request.scoped_key())
        reserved: list[Member] = []
        if not holders:
            return Refusal(
                ResultCode.NOT_RUN_KEY_UNGUARDED, "no entry host is a member"
            )
        for member in holders:
            result = await self._reserve_at(member, request)
            if isinstance(result, Refusal):
                self._context.observer.count("keys.holder_unreachable")
                return Refusal(ResultCode.NOT_RUN_KEY_UNGUARDED, result.reason)
            if result.verdict is KeyVerdict.FULL:
                return Refusal(
                    ResultCode.NOT_RUN_KEY_UNGUARDED,
                    f"the key store of {member.member_id} is full",
                )
            if result.verdict is not KeyVerdict.NEW:
                self._tasks.start(self._cancel_reservations(reserved, request))
                return result
            reserved.append(member)
        self._reserved_by_request_id[request.request_id] = reserved
        return KeyReservation(KeyVerdict.NEW)

    async def _cancel_reservations(
        self, members: list[Member], request: RequestHead
    ) -> None:
        # A holder that joined late reserved the key, which the other holder
        # knows already.
        for member in members:
            await self._report_to(member, request, KeyVerdict.NOT_RUN, None)

    async def _reserve_at(
        self, member: Member, request: RequestHead
    ) -> KeyReservation | Refusal:
        key = request.scoped_key()
        if member.member_id == self._context.own_id:
            return self._context.store.reserve(
                key, request.request_id, self._context.state()
            )
        return await self._context.peers.reserve_key(
            member.peers, key, request.request_id
        )

    async def _report_to(
        self,
        member: Member,
        request: RequestHead,
        verdict: KeyVerdict,
        answer: Answer | None,
    ) -> None:
        key = request.scoped_key()
        if member.member_id == self._context.own_id:
            self._context.store.record_outcome(
                key, request.request_id, verdict, answer
            )
            return
        copy = KeyCopy(key, request.request_id, verdict, answer)
        await self._outcome_reporter.report(member.peers, copy)
