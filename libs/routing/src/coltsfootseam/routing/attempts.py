"""Running a request: attempts, retries and what they lead to."""

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
from coltsfootseam.routing.relay import Attempt, Ending, Readiness, Relay
from coltsfootseam.routing.request import RequestHead
from coltsfootseam.routing.sink import AnswerSink, SinkState
from coltsfootseam.timers import TimerService

_READY_FOR_S = 2.0
_ABANDONED_S = 30.0
_FIRST_PAUSE_S = 0.05
_LONGEST_PAUSE_S = 1.0

NOT_SENT_IN_TIME = Refusal(
    ResultCode.NOT_RUN_DEADLINE, "no endpoint was ready before the deadline"
)
"""The outcome of a request that was never sent to an endpoint."""


class AttemptRunner:
    """Runs requests on endpoints, each in a task of its own.

    A request goes on after its caller's deadline, so that its slot stays
    counted and its answer can be kept under its key.
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
        self._dispatcher = dispatcher
        self._relay = relay
        self._prober = prober
        self._timers = timers
        self._observer = observer
        self._retry_ratio = retry_ratio
        self._check_sending = check_sending
        self._budgets_by_service: dict[str, RetryBudget] = {}
        self._tasks: BackgroundTasks[Refusal] = BackgroundTasks()

    def running(self) -> int:
        """Returns the requests that run, those given up by callers too."""
        return len(self._tasks)

    def start(
        self,
        head: RequestHead,
        caller: web.BaseRequest,
        body: RequestBody,
        sink: AnswerSink,
    ) -> "asyncio.Task[Refusal]":
        """Starts a request; the task's result is ``OK`` or says why not."""
        return self._tasks.start(self._run(head, caller, body, sink))

    async def _run(
        self,
        head: RequestHead,
        caller: web.BaseRequest,
        body: RequestBody,
        sink: AnswerSink,
    ) -> Refusal:
        budget = self._budget_for(head.service)
        budget.note_request()
        may_have_run = False
        not_ready = 0
        while True:
            grant = await self._dispatcher.acquire(head)
            if isinstance(grant, Refusal):
                return _conclude_refused(grant, may_have_run)
            if not await self._is_ready(grant):
                self._dispatcher.release(grant, SlotUse())
                left_s = head.deadline_s - self._timers.now_s()
                await self._timers.sleep(min(_pause_s(not_ready), left_s))
                not_ready += 1
                continue
            refusal = self._find_reason_not_to_send(sink)
            if refusal is not None:
                self._dispatcher.release(grant, SlotUse())
                return _conclude_refused(refusal, may_have_run)
            sink.request_sent = True
            attempt = await self._attempt(grant, caller, body, sink)
            may_have_run |= attempt.ending is Ending.UNKNOWN
            if not self._may_retry(head, attempt, body, sink, budget):
                return _conclude(attempt, may_have_run)
            self._observer.count("requests.retried")

    def _find_reason_not_to_send(self, sink: AnswerSink) -> Refusal | None:
        if sink.state is SinkState.DETACHED:
            return NOT_SENT_IN_TIME
        return self._check_sending()

    async def _attempt(
        self,
        grant: Grant,
        caller: web.BaseRequest,
        body: RequestBody,
        sink: AnswerSink,
    ) -> Attempt:
        began_s = self._timers.now_s()
        left_s = grant.request.deadline_s - began_s + _ABANDONED_S
        attempt = Attempt(Ending.UNKNOWN, "cancelled")
        try:
            async with asyncio.timeout(left_s):
                attempt = await self._relay.attempt(grant, caller, body, sink)
        except TimeoutError:
            attempt = Attempt(Ending.UNKNOWN, "no answer", failing=True)
        finally:
            use = _judge_use(attempt, self._timers.now_s() - began_s)
            self._dispatcher.release(grant, use)
        self._observer.count(f"attempts.{attempt.ending.name}")
        if attempt.ending is Ending.ANSWERED:
            grant.endpoint.ready_s = self._timers.now_s()
        if attempt.ending is Ending.CUT:
            sink.detach()
        self._prober.judge(grant.endpoint, attempt)
        return attempt

    async def _is_ready(self, grant: Grant) -> bool:
        """Probes an endpoint that has not been heard of for a while.

        It may have begun to leave meanwhile, and the host list lags.
        """
        endpoint = grant.endpoint
        if self._timers.now_s() - endpoint.ready_s <= _READY_FOR_S:
            return True
        readiness = await self._relay.probe(grant.address)
        if readiness is Readiness.READY:
            endpoint.ready_s = self._timers.now_s()
            return True
        self._observer.count("requests.probed_not_ready")
        self._prober.note_not_ready(endpoint, readiness)
        return False

    def _may_retry(
        self,
        head: RequestHead,
        attempt: Attempt,
        body: RequestBody,
        sink: AnswerSink,
        budget: RetryBudget,
    ) -> bool:
        if attempt.ending in (Ending.ANSWERED, Ending.CUT):
            return False
        if attempt.ending is Ending.UNKNOWN and not head.is_repeatable():
            return False
        if sink.state is not SinkState.EMPTY or not body.can_be_sent():
            return False
        if self._timers.now_s() >= head.deadline_s:
            return False
        return budget.take()

    def _budget_for(self, service: str) -> RetryBudget:
        budget = self._budgets_by_service.get(service)
        if budget is None:
            budget = RetryBudget(self._retry_ratio)
            self._budgets_by_service[service] = budget
        return budget


def _pause_s(not_ready: int) -> float:
    """Returns how long to wait after some endpoints were not ready.

    Another endpoint is tried at once; a whole pool that is not ready is not
    asked again and again.
    """
    if not_ready == 0:
        return 0.0
    return min(_LONGEST_PAUSE_S, _FIRST_PAUSE_S * (1 << min(not_ready - 1, 10)))


def _judge_use(attempt: Attempt, took_s: float) -> SlotUse:
    finding = (
        EndpointFinding.FAILING if attempt.failing else EndpointFinding.NONE
    )
    ran = attempt.ending is not Ending.NOT_RUN
    return SlotUse(took_s if ran else None, finding)


def _conclude(attempt: Attempt, may_have_run: bool) -> Refusal:
    if attempt.ending is Ending.ANSWERED:
        return OK
    if attempt.ending is Ending.CUT:
        return Refusal(ResultCode.ANSWER_CUT, attempt.reason)
    refusal = Refusal(ResultCode.NOT_RUN_REFUSED, attempt.reason)
    return _conclude_refused(refusal, may_have_run)


def _conclude_refused(refusal: Refusal, may_have_run: bool) -> Refusal:
    # Only a request none of whose attempts may have run was not run.
    if may_have_run:
        return Refusal(ResultCode.OUTCOME_UNKNOWN, refusal.reason)
    return refusal
