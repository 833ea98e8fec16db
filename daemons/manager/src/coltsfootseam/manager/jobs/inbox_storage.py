"""Stores callers' records in the pools' inboxes, by whichever host can.

The store carries out the appends to a partition one after the other, so a slow
store takes only a few a second. All hosts therefore send their records to one
host, the owner of the pool as far as they know, which appends them together. A
host that finds the owner not working appends by itself, and one that can't
reach the store asks its peers.
"""

import msgspec

from coltsfootseam.calls import (
    FORWARD_APPEND,
    ForwardAppendReply,
    ForwardAppendRequest,
)
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.jobs.admissions import Admissions
from coltsfootseam.manager.jobs.inbox_appender import (
    NOT_ADMITTED,
    Condition,
    InboxAppender,
)
from coltsfootseam.manager.jobs.owned_jobs import OwnedJobs
from coltsfootseam.manager.jobs.owner_forwarding import OwnerForwarder
from coltsfootseam.manager.membership.duties import DutyDirectory
from coltsfootseam.results import OK, Refusal, ResultCode
from coltsfootseam.store import KeyedRecord, Membership

MIN_TIME_LEFT_S = 0.3
"""Time before a caller's deadline from which nothing more is tried."""

_RETRY_DELAY_S = 0.1
_FORWARD_TIMEOUT_S = 0.8
_MIN_FORWARD_TIMEOUT_S = 0.5
_MAX_UNKNOWN_PEERS = 2
"""How many peers that may have stored a record, or may yet, are tried."""

_UNCONFIRMED = Refusal(
    ResultCode.OUTCOME_UNKNOWN, "the store has not confirmed the append"
)
_UNSTORED = Refusal(ResultCode.NOT_RUN_OVERLOADED, "the store can't be reached")
_QUEUE_UNKNOWN = Refusal(
    ResultCode.NOT_RUN_NOT_READY, "the queue isn't in the configuration here"
)
_OF_OTHER_TEAM = Refusal(
    ResultCode.JOB_OF_OTHER_TEAM, "another team has a job of this id"
)


class InboxStorage:
    """Stores records in the inboxes of pools."""

    __slots__ = (
        "_admissions",
        "_appender",
        "_context",
        "_directory",
        "_forwarder",
        "_membership",
        "_owned_jobs",
    )

    def __init__(
        self,
        context: Context,
        directory: DutyDirectory,
        forwarder: OwnerForwarder,
        membership: Membership,
        appender: InboxAppender,
        owned_jobs: OwnedJobs,
        admissions: Admissions,
    ) -> None:
        self._context = context
        self._directory = directory
        self._forwarder = forwarder
        self._membership = membership
        self._appender = appender
        self._owned_jobs = owned_jobs
        self._admissions = admissions

    async def store(
        self,
        pool: str,
        key: str,
        value: bytes,
        deadline_s: float,
        team: str | None = None,
        queue: str = "",
        admission: int | None = None,
    ) -> Refusal:
        """Stores a record.

        It has its own key, so a repeated append has no effect.

        Args:
            pool: Pool whose inbox it belongs to.
            key: Its key.
            value: Its value.
            deadline_s: When the caller stops waiting, monotonic.
            team: Team of a request, ``None`` if no team is checked.
            queue: Queue of a request, empty for other records.
            admission: Offset of the record that admits the queue in the pool,
                ``None`` if this host can't tell.

        Returns:
            ``OK`` once it is stored, ``NOT_RUN_OVERLOADED`` if it is not and
            never will be, ``OUTCOME_UNKNOWN`` if it may still be,
            ``JOB_OF_OTHER_TEAM`` if another team has a job of this id,
            ``NOT_ADMITTED`` if the pool no longer takes jobs of the queue. What
            was stored before then stays, and nothing is stored later.
        """
        is_unknown = False
        request = ForwardAppendRequest(pool, key, value, team, queue, admission)
        while True:
            reply = await self._attempt(request, is_unknown, deadline_s)
            if reply.is_stored:
                return OK
            if reply.is_of_other_team:
                return _OF_OTHER_TEAM
            if reply.is_not_admitted:
                return NOT_ADMITTED
            is_unknown = reply.is_unknown
            if not self._is_retry_useful(is_unknown, deadline_s):
                return _UNCONFIRMED if is_unknown else _UNSTORED
            await self._context.timers.sleep(_RETRY_DELAY_S)

    def _is_retry_useful(self, is_unknown: bool, deadline_s: float) -> bool:
        """Returns whether the caller gains by waiting for another attempt.

        It doesn't if no attempt can have taken effect or the store is
        unresponsive: the caller is told at once, and may come back.
        """
        if not is_unknown or self._membership.is_store_unresponsive():
            return False
        time_left_s = deadline_s - self._context.timers.now_s()
        return time_left_s > MIN_TIME_LEFT_S

    async def _attempt(
        self,
        request: ForwardAppendRequest,
        is_unknown: bool,
        deadline_s: float,
    ) -> ForwardAppendReply:
        """Tries each way to store a record once.

        Args:
            request: The record.
            is_unknown: Whether an earlier attempt may have stored it.
            deadline_s: When the caller stops waiting, monotonic.
        """
        is_unresponsive = self._membership.is_store_unresponsive()
        if not is_unresponsive:
            reply = await self._append(request, is_unknown, deadline_s)
            if _is_final(reply):
                return reply
            is_unknown = is_unknown or reply.is_unknown
            # Copies of an append that is in progress would only delay it.
            if reply.is_stored or is_unknown:
                return ForwardAppendReply(reply.is_stored, is_unknown)
        reply = await self._forward_to_peers(request)
        return msgspec.structs.replace(
            reply, is_unknown=is_unknown or reply.is_unknown
        )

    async def handle_forward(
        self, request: ForwardAppendRequest
    ) -> ForwardAppendReply:
        """Appends a record that a peer forwards to this host."""
        if self._membership.is_store_unresponsive():
            return ForwardAppendReply(is_stored=False)
        reply = await self._append_here(request)
        return msgspec.structs.replace(
            reply, is_from_owner=self._owned_jobs.owns(request.pool)
        )

    async def _append(
        self,
        request: ForwardAppendRequest,
        is_unknown: bool,
        deadline_s: float,
    ) -> ForwardAppendReply:
        """Has the pool's owner append, else appends here.

        An owner that got no answer from the store isn't asked again: the reason
        may be its own.
        """
        owner = None
        if not is_unknown:
            owner = await self._forwarder.find_owner(request.pool)
        if owner is None:
            return await self._append_here(request)
        time_left_s = deadline_s - self._context.timers.now_s()
        timeout_s = max(_MIN_FORWARD_TIMEOUT_S, time_left_s - MIN_TIME_LEFT_S)
        reply = await self._forwarder.forward(owner, request, timeout_s)
        if reply is None:
            # The owner may have stored the record, or may yet store it.
            appended = await self._append_here(request)
            return msgspec.structs.replace(appended, is_unknown=True)
        if not reply.is_from_owner:
            self._forwarder.record_moved(request.pool)
        if reply.is_stored or reply.is_unknown or _is_final(reply):
            return reply
        return await self._append_here(request)

    async def _append_here(
        self, request: ForwardAppendRequest
    ) -> ForwardAppendReply:
        if self._owned_jobs.is_of_other_team(request):
            return ForwardAppendReply(is_stored=False, is_of_other_team=True)
        condition = None
        if request.queue:
            admission: int | Refusal | None = request.admission
            if admission is None:
                admission = await self._find_admission(request)
            if isinstance(admission, Refusal):
                return ForwardAppendReply(
                    is_stored=False,
                    is_not_admitted=admission is NOT_ADMITTED,
                )
            condition = Condition(request.queue, admission)
        result = await self._appender.append(
            request.pool, KeyedRecord(request.key, request.value), condition
        )
        return ForwardAppendReply(
            is_stored=result is OK,
            is_unknown=result.code is ResultCode.OUTCOME_PENDING,
            is_not_admitted=result is NOT_ADMITTED,
        )

    async def _find_admission(
        self, request: ForwardAppendRequest
    ) -> int | Refusal:
        """Returns what admits a job that no other pool may have.

        Returns:
            ``NOT_ADMITTED`` if the pool doesn't admit it, or another one may
            have it, which the caller has to look for.
        """
        queue = self._admissions.queue_named(request.queue)
        if queue is None:
            return _QUEUE_UNKNOWN
        home = await self._admissions.find_home(queue)
        if isinstance(home, Refusal):
            return home
        if home.pool != request.pool or home.others or home.admission is None:
            return NOT_ADMITTED
        return home.admission

    async def _forward_to_peers(
        self, request: ForwardAppendRequest
    ) -> ForwardAppendReply:
        unknown_count = 0
        for address in self._directory.peer_addresses():
            if unknown_count >= _MAX_UNKNOWN_PEERS:
                break
            reply = await self._context.peers.call(
                address, FORWARD_APPEND, request, _FORWARD_TIMEOUT_S
            )
            if isinstance(reply, ForwardAppendReply) and (
                reply.is_stored or _is_final(reply)
            ):
                return reply
            if isinstance(reply, Refusal) or reply.is_unknown:
                unknown_count += 1
        return ForwardAppendReply(
            is_stored=False, is_unknown=bool(unknown_count)
        )


def _is_final(reply: ForwardAppendReply) -> bool:
    """Returns whether a record was refused for good."""
    return reply.is_of_other_team or reply.is_not_admitted
