"""Running requests on endpoints, with retries."""

import asyncio
from collections.abc import Callable

from aiohttp import web

from coltsfootseam.observe import Observer
from coltsfootseam.peers import EndpointFinding
from coltsfootseam.results import OK, Refusal, ResultCode
from coltsfootseam.routing.background import BackgroundTasks
from coltsfootseam.routing.body import RequestBody
from coltsfootseam.routing.budget import RetryBudget
from coltsfootseam.routing.dispatch import Dispatcher, Grant, SlotUse
from coltsfootseam.routing.prober import Prober
from coltsfootseam.routing.relay import (
    AttemptOutcome,
    AttemptResult,
    Readiness,
    Relay,
)
from coltsfootseam.routing.request import RequestHead
from coltsfootseam.routing.response_sink import ResponseSink, SinkState
from coltsfootseam.timers import TimerService

_READINESS_VALID_S = 2.0
_MAX_RUN_PAST_DEADLINE_S = 30.0
_MIN_BACKOFF_S = 0.05
_MAX_BACKOFF_S = 1.0
_UPLOADS_CHECK_PERIOD_S = 0.5
_MAX_UPLOAD_LAG_S = 1.0
"""How long an upload may keep its slot from others beyond what it may take."""

NOT_SENT_IN_TIME = Refusal(
    ResultCode.NOT_RUN_DEADLINE, "no endpoint was ready before the deadline"
)
"""The result of a request that was never sent to an endpoint."""


class AttemptRunner:
    """Runs requests on endpoints, each in a task of its own.

    A request keeps running after its caller's deadline, so that its slot
    stays counted and its response can be stored under its key.
    """

    __slots__ = (
        "_budgets_by_service",
        "_check_sending",
        "_dispatcher",
        "_observer",
        "_prober",
        "_relay",
        "_retry_ratio",
        "_tasks",
        "_timers",
        "_uploads_by_service",
    )

    def __init__(
        self,
        dispatcher: Dispatcher,
        relay: Relay,
        prober: Prober,
        timers: TimerService,
        observer: Observer,
        retry_ratio: float,
        check_sending: Callable[[], Refusal | None],
    ) -> None:
        """Initializes the runner.

        Args:
            dispatcher: Grants the slots of endpoints.
            relay: Sends requests to endpoints, and probes them.
            prober: Handles the findings about endpoints.
            timers: The timers.
            observer: The observer of events and counters.
            retry_ratio: Share of a service's requests that may be retried.
            check_sending: Returns why nothing may be sent to endpoints at
                present, ``None`` if it may.
        """
        self._dispatcher = dispatcher
        self._relay = relay
        self._prober = prober
        self._timers = timers
        self._observer = observer
        self._retry_ratio = retry_ratio
        self._check_sending = check_sending
        self._budgets_by_service: dict[str, RetryBudget] = {}
        self._tasks: BackgroundTasks[Refusal] = BackgroundTasks()
        self._uploads_by_service: dict[str, set[RequestBody]] = {}

    def running(self) -> int:
        """Returns how many requests run, with or without a waiting caller."""
        return len(self._tasks)

    def start(
        self,
        head: RequestHead,
        caller: web.BaseRequest,
        body: RequestBody,
        sink: ResponseSink,
    ) -> "asyncio.Task[Refusal]":
        """Starts a request.

        Returns:
            A task whose result is ``OK`` or the reason for the failure.
        """
        return self._tasks.start(self._run(head, caller, body, sink))

    async def _run(
        self,
        head: RequestHead,
        caller: web.BaseRequest,
        body: RequestBody,
        sink: ResponseSink,
    ) -> Refusal:
        budget = self._budget_for(head.service)
        budget.record_request()
        may_have_run = False
        not_ready_count = 0
        while True:
            grant = await self._acquire(head)
            if isinstance(grant, Refusal):
                return _final_refusal(grant, may_have_run)
            if not await self._is_ready(grant):
                self._dispatcher.release(grant, SlotUse())
                remaining_s = head.deadline_s - self._timers.now_s()
                await self._timers.sleep(
                    min(_backoff_s(not_ready_count), remaining_s)
                )
                not_ready_count += 1
                continue
            refusal = self._find_reason_not_to_send(sink)
            if refusal is not None:
                self._dispatcher.release(grant, SlotUse())
                return _final_refusal(refusal, may_have_run)
            sink.request_sent = True
            attempt = await self._attempt(grant, caller, body, sink)
            may_have_run |= attempt.outcome is AttemptOutcome.UNKNOWN
            if not self._may_retry(head, attempt, body, sink, budget):
                return _final_result(attempt, may_have_run)
            self._observer.count("requests.retried")

    async def _acquire(self, head: RequestHead) -> Grant | Refusal:
        """Waits for a slot; slow uploads give theirs up meanwhile."""
        check = self._timers.subscribe(
            _UPLOADS_CHECK_PERIOD_S, lambda: self._break_off_slowest(head)
        )
        try:
            return await self._dispatcher.acquire(head)
        finally:
            check.cancel()

    def _break_off_slowest(self, head: RequestHead) -> None:
        """Breaks off the upload that holds a slot of a service for longest."""
        uploads = self._uploads_by_service.get(head.service, ())
        slowest = max(uploads, key=RequestBody.lag_s, default=None)
        if slowest is None or slowest.lag_s() < _MAX_UPLOAD_LAG_S:
            return
        slowest.break_off()
        self._observer.count("requests.uploads_broken_off")

    def _find_reason_not_to_send(self, sink: ResponseSink) -> Refusal | None:
        if sink.state is SinkState.DETACHED:
            return NOT_SENT_IN_TIME
        return self._check_sending()

    async def _attempt(
        self,
        grant: Grant,
        caller: web.BaseRequest,
        body: RequestBody,
        sink: ResponseSink,
    ) -> AttemptResult:
        started_s = self._timers.now_s()
        remaining_s = (
            grant.request.deadline_s - started_s + _MAX_RUN_PAST_DEADLINE_S
        )
        # The result if this task is cancelled during the attempt.
        attempt = AttemptResult(AttemptOutcome.UNKNOWN, "cancelled")
        uploads = self._uploads_by_service.setdefault(
            grant.request.service, set()
        )
        uploads.add(body)
        try:
            async with asyncio.timeout(remaining_s):
                attempt = await self._relay.attempt(grant, caller, body, sink)
        except TimeoutError:
            attempt = AttemptResult(
                AttemptOutcome.UNKNOWN,
                "no response in time",
                endpoint_failing=True,
            )
        finally:
            uploads.discard(body)
            use = _slot_use(attempt, self._timers.now_s() - started_s)
            self._dispatcher.release(grant, use)
        self._observer.count(f"attempts.{attempt.outcome.name}")
        if attempt.outcome is AttemptOutcome.ANSWERED:
            grant.endpoint.ready_s = self._timers.now_s()
        if attempt.outcome is AttemptOutcome.CUT:
            sink.detach()
        self._prober.handle_attempt(grant.endpoint, attempt)
        return attempt

    async def _is_ready(self, grant: Grant) -> bool:
        """Returns whether the endpoint of a grant is ready.

        Probes the endpoint unless it was found ready recently, since it may
        have started to leave and the host list shows this only later.
        """
        endpoint = grant.endpoint
        if self._timers.now_s() - endpoint.ready_s <= _READINESS_VALID_S:
            return True
        readiness = await self._relay.probe(grant.address)
        if readiness is Readiness.READY:
            endpoint.ready_s = self._timers.now_s()
            return True
        self._observer.count("requests.probed_not_ready")
        self._prober.handle_not_ready(endpoint, readiness)
        return False

    def _may_retry(
        self,
        head: RequestHead,
        attempt: AttemptResult,
        body: RequestBody,
        sink: ResponseSink,
        budget: RetryBudget,
    ) -> bool:
        if attempt.outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.CUT):
            return False
        if (
            attempt.outcome is AttemptOutcome.UNKNOWN
            and not head.is_repeatable()
        ):
            return False
        if sink.state is not SinkState.EMPTY or not body.is_sendable():
            return False
        if self._timers.now_s() >= head.deadline_s:
            return False
        return budget.try_spend()

    def _budget_for(self, service: str) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self._retry_ratio)
            self._budgets_by_service[service] = budget
        return budget


def _backoff_s(not_ready_count: int) -> float:
    """Returns how long to wait after endpoints that were not ready.

    The first retry is immediate, at another endpoint. Later ones back off
    exponentially, since the whole pool may not be ready.
    """
    if not_ready_count == 0:
        return 0.0
    return min(
        _MAX_BACKOFF_S, _MIN_BACKOFF_S * (1 << min(not_ready_count - 1, 10))
    )


def _slot_use(attempt: AttemptResult, took_s: float) -> SlotUse:
    """Returns how a slot was used; without a time if nothing was run."""
    finding = (
        EndpointFinding.FAILING
        if attempt.endpoint_failing
        else EndpointFinding.NONE
    )
    ran = attempt.outcome is not AttemptOutcome.NOT_RUN
    return SlotUse(took_s if ran else None, finding)


def _final_result(attempt: AttemptResult, may_have_run: bool) -> Refusal:
    if attempt.outcome is AttemptOutcome.ANSWERED:
        return OK
    if attempt.outcome is AttemptOutcome.CUT:
        return Refusal(ResultCode.ANSWER_CUT, attempt.reason)
    refusal = Refusal(ResultCode.NOT_RUN_REFUSED, attempt.reason)
    return _final_refusal(refusal, may_have_run)


def _final_refusal(refusal: Refusal, may_have_run: bool) -> Refusal:
    # If an earlier attempt may have run, the refusal does not mean that the
    # request was not run.
    if may_have_run:
        return Refusal(ResultCode.OUTCOME_UNKNOWN, refusal.reason)
    return refusal
