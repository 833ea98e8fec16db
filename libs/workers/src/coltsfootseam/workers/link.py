"""The owner's link to one life of a worker."""

import asyncio
from collections.abc import Callable

from coltsfootseam.timers import TimerService
from coltsfootseam.workers.lease import LeaseTimes, WorkerLease
from coltsfootseam.workers.messages import (
    HeartbeatReply,
    HeartbeatRequest,
    OrderOutcome,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerEntry,
)
from coltsfootseam.workers.port import WorkerCalls

_MS_PER_S = 1000
_RETRY_S = 0.15
_ACKNOWLEDGEMENT_WAIT_S = 0.3

OnHeartbeatReply = Callable[["WorkerLink", HeartbeatReply, float], None]
"""Called with the link, a report and when the hold was sent."""


class WorkerLink:
    """Keeps a worker's lease alive and brings its reports.

    Attributes:
        entry: What the worker says of itself, as last read.
        lease: The lease of all that runs there.
        acknowledged: Newest end that is stored and may be forgotten there.
        is_reachable: Whether its last hold was answered.
        heartbeat_outcome: What came of the last hold without a report.
        is_gone: Whether this life has ended for certain.
        is_fenced: Whether it has seen a newer owner.
        last_reply_s: When it last reported, monotonic, or ``None``.
    """

    __slots__ = (
        "_all_acknowledged",
        "_calls",
        "_max_listed",
        "_on_reply",
        "_timers",
        "_token",
        "_wait_s",
        "acknowledged",
        "entry",
        "heartbeat_outcome",
        "is_fenced",
        "is_gone",
        "is_reachable",
        "last_reply_s",
        "lease",
    )

    def __init__(
        self,
        entry: WorkerEntry,
        calls: WorkerCalls,
        timers: TimerService,
        times: LeaseTimes,
        token: int,
        wait_s: float,
        on_reply: OnHeartbeatReply,
    ) -> None:
        self._calls = calls
        self._timers = timers
        self._token = token
        self._wait_s = wait_s
        self._on_reply = on_reply
        self._all_acknowledged = asyncio.Event()
        self._max_listed = 0
        self.entry = entry
        self.lease = WorkerLease(timers, times)
        self.acknowledged = 0
        self.is_reachable = False
        self.heartbeat_outcome = OrderOutcome.UNKNOWN
        self.is_gone = False
        self.is_fenced = False
        self.last_reply_s: float | None = None

    @property
    def worker_id(self) -> str:
        """Returns the name of this life of the worker."""
        return self.entry.worker_id

    async def run(self) -> None:
        """Holds the worker until this life ends or a newer owner is seen."""
        while not self.is_gone and not self.is_fenced:
            await self.send_heartbeat()

    def record_failure(self) -> None:
        """Takes note that a hold or its report could not be dealt with.

        No lease is given until a report was taken in again: what runs there
        must be free to run elsewhere in time.
        """
        self.is_reachable = False

    async def send_heartbeat(self) -> None:
        """Extends the lease once and waits for the answer."""
        sent_s = self._timers.now_s()
        has_open_ends = self._max_listed > self.acknowledged
        is_settled = self.last_reply_s is not None and not has_open_ends
        wait_s = self._wait_s if is_settled else 0.0
        # An order without an answer may be carried out, so a silent worker
        # gets no new lease: its tasks must be free to run elsewhere in time.
        lease_end_ms = self.lease.grant() if self.is_reachable else None
        order = HeartbeatRequest(
            token=self._token,
            acknowledged=self.acknowledged,
            lease_end_ms=lease_end_ms,
            wait_ms=round(wait_s * _MS_PER_S),
        )
        answer = await self._calls.heartbeat(self.entry, order)
        if isinstance(answer, HeartbeatReply):
            await self._apply_reply(answer, sent_s)
            return
        self.is_reachable = False
        self.heartbeat_outcome = answer.outcome
        if answer.outcome is OrderOutcome.OTHER_LIFE:
            self.is_gone = True
        elif answer.outcome is OrderOutcome.FENCED:
            self.is_fenced = True
        else:
            await self._timers.sleep(_RETRY_S)

    def acknowledge(self, sequence: int) -> None:
        """Takes note that ends up to ``sequence`` are stored."""
        self.acknowledged = max(self.acknowledged, sequence)
        if self.acknowledged >= self._max_listed:
            self._all_acknowledged.set()

    async def start(self, order: StartOrder) -> OrderOutcome:
        """Orders a run."""
        answer = await self._calls.start(self.entry, order)
        return self._apply_outcome(answer.outcome, answer.clock_ms)

    async def stop(self, order: StopOrder) -> OrderOutcome:
        """Orders the end of a run."""
        answer = await self._calls.stop(self.entry, order)
        return self._apply_outcome(answer.outcome, answer.clock_ms)

    async def pace(self, order: PaceOrder) -> OrderOutcome:
        """Orders the speed of a run."""
        answer = await self._calls.pace(self.entry, order)
        return self._apply_outcome(answer.outcome, answer.clock_ms)

    def close(self) -> None:
        """Gives the connections to the worker up."""
        self._calls.forget(self.entry)

    def _apply_outcome(
        self, outcome: OrderOutcome, clock_ms: int | None
    ) -> OrderOutcome:
        if clock_ms is not None:
            self.lease.read_clock(clock_ms)
        if outcome is OrderOutcome.FENCED:
            self.is_fenced = True
        if outcome is OrderOutcome.OTHER_LIFE:
            self.is_gone = True
        return outcome

    async def _apply_reply(self, report: HeartbeatReply, sent_s: float) -> None:
        if report.started_ms and report.started_ms != self.entry.started_ms:
            self.is_gone = True
            return
        self.lease.read_clock(report.clock_ms)
        self.last_reply_s = self._timers.now_s()
        self.is_reachable = True
        for row in report.ended:
            self._max_listed = max(self._max_listed, row.sequence)
        if self._max_listed > self.acknowledged:
            self._all_acknowledged.clear()
        self._on_reply(self, report, sent_s)
        if self._max_listed > self.acknowledged:
            await self._wait_for_acknowledgement()

    async def _wait_for_acknowledgement(self) -> None:
        """Waits a moment for the ends to be stored, not for longer."""
        pause = self._timers.call_after(
            _ACKNOWLEDGEMENT_WAIT_S, self._all_acknowledged.set
        )
        await self._all_acknowledged.wait()
        pause.cancel()
