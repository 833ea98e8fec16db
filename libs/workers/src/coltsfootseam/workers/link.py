"""The pool owner's link to one incarnation of a worker."""

import asyncio
from collections.abc import Callable

from coltsfootseam.jobs import RunKey
from coltsfootseam.timers import TimerService
from coltsfootseam.workers.lease import WorkerLease
from coltsfootseam.workers.messages import (
    HeartbeatReply,
    HeartbeatRequest,
    OrderOutcome,
    OrderReply,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from coltsfootseam.workers.port import WorkerCalls
from coltsfootseam.workers.repeated_heartbeats import (
    HeartbeatAnswer,
    send_until_answered,
)

_MS_PER_S = 1000
_RETRY_DELAY_S = 0.15
MAX_CALL_DELAY_S = 12.5
"""How long after it was sent a call may still be carried out. The platform's
workers carry out unanswered calls up to 12 s after these have arrived."""

_ACKNOWLEDGEMENT_WAIT_S = 0.3
_WATCHED_WAIT_S = 0.2
_REPLY_TIME_S = 0.05
"""Time that a reply takes besides the wait that was asked for."""

OnHeartbeatReply = Callable[["WorkerLink", HeartbeatReply, float], None]
"""Called with the link, a reply and when the heartbeat was sent."""


class WorkerLink:
    """Renews a worker's lease by heartbeats and passes on the replies.

    Attributes:
        entry: What the worker reports about itself, as last read.
        token: Fencing token of all calls to this incarnation.
        lease: The lease of all runs on the worker.
        listed: The runs that its last reply lists as active, ``None`` before
            the first reply or if that reply doesn't list all ends.
        acknowledged: Sequence number of the latest end that is stored, which
            the worker may forget.
        is_reachable: Whether the last heartbeat was answered.
        heartbeat_outcome: Outcome of the last heartbeat that failed.
        is_gone: Whether this incarnation has ended for certain.
        is_replaced: Whether it has ended and another instance has replaced it.
        is_fenced: Whether the worker has seen a newer owner.
        is_watched: Whether heartbeats follow each other at short intervals.
        last_reply_s: When the worker last replied to a heartbeat, monotonic
            seconds, or ``None``.
        last_request_s: When the latest heartbeat was sent that the worker
            replied to, monotonic seconds, or ``None``.
        restarted_ms: Start of a later incarnation that has replied in place of
            this one, Unix milliseconds, ``None`` if none has.
        unanswered_start_s: When a start that wasn't answered was last sent to
            this incarnation or a former one, monotonic seconds, or ``None``.
        silent_s: Latest time at which the worker may have stopped replying,
            monotonic seconds, ``None`` while it replies.
    """

    __slots__ = (
        "_all_acknowledged",
        "_calls",
        "_forgotten",
        "_max_listed",
        "_on_reply",
        "_timers",
        "_wait_s",
        "acknowledged",
        "entry",
        "heartbeat_outcome",
        "is_fenced",
        "is_gone",
        "is_reachable",
        "is_replaced",
        "is_watched",
        "last_reply_s",
        "last_request_s",
        "lease",
        "listed",
        "restarted_ms",
        "silent_s",
        "token",
        "unanswered_start_s",
    )

    def __init__(
        self,
        entry: WorkerEntry,
        calls: WorkerCalls,
        timers: TimerService,
        lease: WorkerLease,
        token: int,
        wait_s: float,
        on_reply: OnHeartbeatReply,
    ) -> None:
        self._calls = calls
        self._timers = timers
        self._wait_s = wait_s
        self._on_reply = on_reply
        self._all_acknowledged = asyncio.Event()
        self._forgotten = 0
        self._max_listed = 0
        self.entry = entry
        self.token = token
        self.lease = lease
        self.listed: frozenset[RunKey] | None = None
        self.acknowledged = 0
        self.is_reachable = False
        self.heartbeat_outcome = OrderOutcome.UNKNOWN
        self.is_gone = False
        self.is_replaced = False
        self.is_fenced = False
        self.is_watched = False
        self.last_reply_s: float | None = None
        self.last_request_s: float | None = None
        self.restarted_ms: int | None = None
        self.silent_s: float | None = None
        self.unanswered_start_s: float | None = None

    @property
    def worker_id(self) -> str:
        """Returns the id of this incarnation of the worker."""
        return self.entry.worker_id

    def silent_since_s(self) -> float:
        """Returns by when a worker that is gone had stopped replying."""
        return self._timers.now_s() if self.silent_s is None else self.silent_s

    async def run(self) -> None:
        """Sends heartbeats until the worker is gone or has a newer owner."""
        while not self.is_gone and not self.is_fenced:
            await self.send_heartbeat()

    def record_failure(self) -> None:
        """Records that a heartbeat or its reply could not be handled.

        No lease is granted until a reply was handled again, so that the tasks
        on the worker can be run elsewhere once the lease has ended.
        """
        self.is_reachable = False

    async def send_heartbeat(self) -> None:
        """Extends the lease once and handles the reply."""
        sent_s = self._timers.now_s()
        has_unstored_ends = self._max_listed > self.acknowledged
        is_settled = self.last_reply_s is not None and not has_unstored_ends
        longest_s = _WATCHED_WAIT_S if self.is_watched else self._wait_s
        # A worker that did not answer is asked for its reply at once, so that
        # its lease is extended in time if it is reached again.
        may_wait = is_settled and self.is_reachable
        wait_s = longest_s if may_wait else 0.0
        # A heartbeat may take effect though it isn't answered, so an
        # unresponsive worker gets no new lease: otherwise its lease would
        # never be known to have ended, and its tasks could not run elsewhere.
        lease_end_ms = self.lease.grant() if self.is_reachable else None
        # The worker's next incarnation counts its ends from 1 again, so it
        # must not be told to forget ends of this one. If the last heartbeat
        # wasn't answered, it may be at the address.
        is_news = self.acknowledged > self._forgotten and self.is_reachable
        repeats_until_s = self._repeats_until_s()
        request = HeartbeatRequest(
            token=self.token,
            acknowledged=self.acknowledged if is_news else 0,
            lease_end_ms=lease_end_ms,
            wait_ms=round(wait_s * _MS_PER_S),
        )
        answer = await self._send(request, sent_s, repeats_until_s)
        reply = answer.reply
        if isinstance(reply, HeartbeatReply):
            await self._apply_reply(reply, request, answer.sent_s)
            return
        self._record_silence(sent_s + wait_s + _REPLY_TIME_S)
        self.is_reachable = False
        self.heartbeat_outcome = reply.outcome
        if reply.outcome is OrderOutcome.OTHER_LIFE:
            self._record_replaced()
        elif reply.outcome is OrderOutcome.FENCED:
            self.is_fenced = True
        else:
            await self._timers.sleep(_RETRY_DELAY_S)

    def _repeats_until_s(self) -> float:
        """Returns until when heartbeats without an answer are repeated.

        While a start may be carried out late, the worker's next incarnation
        carries it out unless it was called. It must not get a late copy of a
        heartbeat that has it forget ends, as it counts its own from 1 again.
        """
        if self.is_reachable or self.unanswered_start_s is None:
            return float("-inf")
        return self.unanswered_start_s + MAX_CALL_DELAY_S

    async def _send(
        self, request: HeartbeatRequest, sent_s: float, until_s: float
    ) -> HeartbeatAnswer:
        """Sends a heartbeat, and copies of it if there is time for them."""
        if until_s <= sent_s:
            reply = await self._calls.heartbeat(self.entry, request)
            return HeartbeatAnswer(reply, sent_s)
        self._record_silence(sent_s + _REPLY_TIME_S)
        return await send_until_answered(
            self._calls, self._timers, self.entry, request, until_s
        )

    def acknowledge(self, sequence: int) -> None:
        """Records that the ends up to ``sequence`` are stored."""
        self.acknowledged = max(self.acknowledged, sequence)
        if self.acknowledged >= self._max_listed:
            self._all_acknowledged.set()

    async def start(self, order: StartOrder) -> OrderReply:
        """Orders the start of a run and returns the reply to the order."""
        self.lease.record_repeat()
        sent_s = self._timers.now_s()
        earlier_s = self.unanswered_start_s
        latest_s = sent_s if earlier_s is None else max(earlier_s, sent_s)
        self.unanswered_start_s = latest_s
        reply = await self._calls.start(self.entry, order)
        is_latest = self.unanswered_start_s == latest_s
        if reply.outcome is not OrderOutcome.UNKNOWN and is_latest:
            self.unanswered_start_s = earlier_s
        is_confirmed = (
            reply.clock_ms is not None
            and self.lease.shows_own_clock(reply.clock_ms, sent_s)
        )
        self._apply_outcome(reply.outcome, reply.clock_ms)
        return OrderReply(reply.outcome, reply.clock_ms, is_confirmed)

    async def stop(self, order: StopOrder) -> OrderOutcome:
        """Orders the stop of a run and returns the outcome of the order."""
        reply = await self._calls.stop(self.entry, order)
        return self._apply_outcome(reply.outcome, reply.clock_ms)

    async def pace(self, order: PaceOrder) -> OrderOutcome:
        """Orders the pace of a run and returns the outcome of the order."""
        reply = await self._calls.pace(self.entry, order)
        return self._apply_outcome(reply.outcome, reply.clock_ms)

    def close(self) -> None:
        """Closes the connections to the worker."""
        self._calls.forget(self.entry)

    def _apply_outcome(
        self, outcome: OrderOutcome, clock_ms: int | None
    ) -> OrderOutcome:
        if clock_ms is not None:
            self.lease.read_clock(clock_ms)
        if outcome is OrderOutcome.FENCED:
            self.is_fenced = True
        if outcome is OrderOutcome.OTHER_LIFE:
            self._record_replaced()
        return outcome

    def _record_replaced(self) -> None:
        self.is_gone = True
        self.is_replaced = True

    async def _apply_reply(
        self, reply: HeartbeatReply, request: HeartbeatRequest, sent_s: float
    ) -> None:
        if reply.started_ms and reply.started_ms != self.entry.started_ms:
            self.is_gone = True
            self.restarted_ms = reply.started_ms
            return
        self.lease.read_clock(reply.clock_ms)
        self.lease.record_fencing()
        self._forgotten = max(self._forgotten, request.acknowledged)
        self.listed = None
        if not reply.has_more_ends:
            self.listed = frozenset(
                (run.task, run.number) for run in reply.running
            )
        self.last_reply_s = self._timers.now_s()
        self.last_request_s = sent_s
        self.silent_s = None
        self.is_reachable = True
        for run in reply.ended:
            self._max_listed = max(self._max_listed, run.sequence)
        if self._max_listed > self.acknowledged:
            self._all_acknowledged.clear()
        self._on_reply(self, reply, sent_s)
        if self._max_listed > self.acknowledged:
            await self._wait_for_acknowledgement()

    def _record_silence(self, due_s: float) -> None:
        """Records that the reply that was due by then did not come."""
        if self.silent_s is None:
            self.silent_s = min(due_s, self._timers.now_s())

    async def _wait_for_acknowledgement(self) -> None:
        """Waits for the ends to be stored, for a limited time."""
        timeout = self._timers.call_after(
            _ACKNOWLEDGEMENT_WAIT_S, self._all_acknowledged.set
        )
        await self._all_acknowledged.wait()
        timeout.cancel()
