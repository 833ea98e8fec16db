"""The stream from this entry host to one dispatcher."""

import asyncio
import math
from collections.abc import Callable

from coltsfootseam.peers import (
    Acquire,
    DispatchReply,
    DispatchUpdate,
    Outbox,
    PeerClients,
    Release,
)
from coltsfootseam.state import Member
from coltsfootseam.timers import TimerService

_RECONNECT_DELAY_S = 0.3
_PING_AFTER_S = 0.4
_NEW_STREAM_AFTER_S = 0.7
_UNRESPONSIVE_AFTER_S = 1.2


class DispatchLink:
    """Sends requests for slots to one dispatcher and receives its replies.

    Each new stream opens with all held slots and waiting requests, so messages
    that were lost with an earlier stream do not matter.
    """

    __slots__ = (
        "_build_opening",
        "_exchange",
        "_member",
        "_on_failed",
        "_on_reply",
        "_outbox",
        "_own_id",
        "_peers",
        "_pinged",
        "_reopened",
        "_task",
        "_timers",
        "_unanswered_since_s",
    )

    def __init__(
        self,
        own_id: str,
        member: Member,
        peers: PeerClients,
        timers: TimerService,
        build_opening: Callable[[str], DispatchUpdate],
        on_reply: Callable[[str, DispatchReply], None],
        on_failed: Callable[[str], None],
    ) -> None:
        self._own_id = own_id
        self._member = member
        self._peers = peers
        self._timers = timers
        self._build_opening = build_opening
        self._on_reply = on_reply
        self._on_failed = on_failed
        self._unanswered_since_s = math.inf
        self._pinged = False
        self._reopened = False
        self._exchange: asyncio.Future[None] | None = None
        self._outbox = self._make_outbox()
        self._task = asyncio.ensure_future(self._run())

    def targets(self, member: Member) -> bool:
        """Returns whether the link goes to this incarnation of a member."""
        return self._member.incarnation == member.incarnation

    def acquire(self, acquire: Acquire) -> None:
        """Requests a slot."""
        self._outbox.batch.acquires.append(acquire)
        self._outbox.mark_changed()
        self._expect_reply()

    def release(self, release: Release) -> None:
        """Returns a slot, or withdraws a request for one."""
        self._outbox.batch.releases.append(release)
        self._outbox.mark_changed()

    def check(self, has_waiters: bool) -> bool:
        """Checks that the dispatcher answers while requests wait.

        An unresponsive dispatcher is pinged first. Then a new stream is opened
        on a new connection, since one connection can hang while new ones work.

        Returns:
            False if the dispatcher has been unresponsive for too long.
        """
        if not has_waiters:
            self._unanswered_since_s = math.inf
            return True
        self._expect_reply()
        unanswered_s = self._timers.now_s() - self._unanswered_since_s
        if unanswered_s >= _UNRESPONSIVE_AFTER_S:
            self._unanswered_since_s = math.inf
            return False
        if unanswered_s >= _NEW_STREAM_AFTER_S and not self._reopened:
            self._reopened = True
            self._reopen()
        if unanswered_s >= _PING_AFTER_S and not self._pinged:
            self._pinged = True
            self._outbox.batch.ping = True
            self._outbox.mark_changed()
        return True

    def close(self) -> None:
        """Closes the stream."""
        self._task.cancel()
        if self._exchange is not None:
            self._exchange.cancel()

    def _reopen(self) -> None:
        if self._exchange is not None:
            self._exchange.cancel()

    def _expect_reply(self) -> None:
        if math.isinf(self._unanswered_since_s):
            self._unanswered_since_s = self._timers.now_s()
            self._pinged = False
            self._reopened = False

    async def _run(self) -> None:
        while True:
            self._outbox = self._make_outbox()
            self._outbox.batch = self._build_opening(self._member.member_id)
            self._outbox.mark_changed()
            exchange = asyncio.ensure_future(
                self._peers.exchange(
                    self._member.peers, self._outbox, self._handle_reply
                )
            )
            self._exchange = exchange
            await asyncio.wait((exchange,))
            if exchange.cancelled():
                continue
            self._on_failed(self._member.member_id)
            await self._timers.sleep(_RECONNECT_DELAY_S)

    def _handle_reply(self, reply: DispatchReply) -> None:
        self._unanswered_since_s = math.inf
        self._on_reply(self._member.member_id, reply)

    def _make_outbox(self) -> Outbox[DispatchUpdate]:
        return Outbox(lambda: DispatchUpdate(self._own_id))
