"""The HTTP front end: callers' requests from arrival to response."""

import asyncio
import math
from collections.abc import Callable

import aiohttp
import msgspec
from aiohttp import web
from multidict import CIMultiDict

from coltsfootseam.observe import Observer
from coltsfootseam.peers import Answer, KeyReservation, KeyVerdict
from coltsfootseam.results import (
    Refusal,
    ResultCode,
    http_status_for_code,
    is_not_run,
)
from coltsfootseam.routing.attempts import NOT_SENT_IN_TIME, AttemptRunner
from coltsfootseam.routing.background import BackgroundTasks
from coltsfootseam.routing.body import RequestBody, read_request_body
from coltsfootseam.routing.keys import KeyGuard
from coltsfootseam.routing.request import (
    CODE_HEADER,
    REASON_HEADER,
    REQUEST_ID_HEADER,
    DeadlineLimits,
    RequestHead,
    parse_request_head,
)
from coltsfootseam.routing.response_sink import ResponseSink
from coltsfootseam.timers import TimerService

_MAX_REASON_CHARS = 200
_DEADLINE_GRACE_S = 0.05
_DEADLINE_PASSED = Refusal(
    ResultCode.OUTCOME_UNKNOWN, "no response before the deadline"
)


class RoutingSettings(msgspec.Struct, frozen=True):
    """Limits of the request path.

    Attributes:
        entry_id: Name of this entry host.
        deadlines: Deadlines that callers may request.
        buffered_body_bytes: Largest request body that is kept for a retry.
        kept_answer_bytes: Largest response body that is kept under its key.
    """

    entry_id: str
    deadlines: DeadlineLimits
    buffered_body_bytes: int
    kept_answer_bytes: int


class Frontend:
    """Serves callers over HTTP.

    Attributes:
        in_progress: How many requests have arrived and are not answered yet.
        last_arrival_s: When the latest request arrived, monotonic seconds.
        closing: Whether connections are closed after their next response.
    """

    __slots__ = (
        "_attempts",
        "_check_ready",
        "_keys",
        "_observer",
        "_outcome_reports",
        "_settings",
        "_timers",
        "closing",
        "in_progress",
        "last_arrival_s",
    )

    def __init__(
        self,
        settings: RoutingSettings,
        attempts: AttemptRunner,
        keys: KeyGuard,
        timers: TimerService,
        observer: Observer,
        check_ready: Callable[[], Refusal | None],
    ) -> None:
        self._settings = settings
        self._attempts = attempts
        self._keys = keys
        self._timers = timers
        self._observer = observer
        self._check_ready = check_ready
        self._outcome_reports: BackgroundTasks[None] = BackgroundTasks()
        self.in_progress = 0
        self.last_arrival_s = -math.inf
        self.closing = False

    def outstanding_work(self) -> int:
        """Returns how many tasks a planned stop has to wait for."""
        return (
            self.in_progress
            + self._attempts.running()
            + len(self._outcome_reports)
        )

    async def handle(self, caller: web.BaseRequest) -> web.StreamResponse:
        """Responds to one request."""
        self.in_progress += 1
        self.last_arrival_s = self._timers.now_s()
        self._observer.count("requests.arrived")
        try:
            response = await self._respond(caller)
        finally:
            self.in_progress -= 1
        if self.closing and not response.prepared:
            response.force_close()
        return response

    def _is_closing(self) -> bool:
        return self.closing

    async def _respond(self, caller: web.BaseRequest) -> web.StreamResponse:
        head = parse_request_head(
            self._settings.entry_id,
            caller.method,
            caller.raw_path,
            caller.headers,
            self._timers.now_s(),
            self._settings.deadlines,
        )
        if isinstance(head, Refusal):
            return self._refuse("", head)
        refusal = self._check_ready()
        if refusal is not None:
            return self._refuse(head.request_id, refusal)
        try:
            body = await self._read_body(caller)
        except (aiohttp.ClientError, ConnectionError, OSError) as error:
            return self._refuse(
                head.request_id,
                Refusal(
                    ResultCode.NOT_RUN_BAD_REQUEST, f"request body: {error!r}"
                ),
            )
        if head.key:
            return await self._respond_keyed(head, caller, body)
        sink = ResponseSink(caller, 0, self._is_closing)
        return await self._run(head, caller, body, sink)

    async def _read_body(self, caller: web.BaseRequest) -> RequestBody:
        if caller.headers.get("Expect", "").lower() == "100-continue":
            transport = caller.transport
            if transport is not None:
                transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        return await read_request_body(
            caller.content, self._settings.buffered_body_bytes, self._timers
        )

    async def _respond_keyed(
        self, head: RequestHead, caller: web.BaseRequest, body: RequestBody
    ) -> web.StreamResponse:
        reservation = await self._keys.reserve(head)
        if isinstance(reservation, Refusal):
            return self._refuse(head.request_id, reservation)
        if reservation.verdict is not KeyVerdict.NEW:
            self._observer.count("requests.repeated_key")
            return self._respond_repeated(head, reservation)
        sink = ResponseSink(
            caller, self._settings.kept_answer_bytes, self._is_closing
        )
        return await self._run(head, caller, body, sink)

    async def _run(
        self,
        head: RequestHead,
        caller: web.BaseRequest,
        body: RequestBody,
        sink: ResponseSink,
    ) -> web.StreamResponse:
        outcome = self._attempts.start(head, caller, body, sink)
        if head.key:
            self._report_outcome(head, outcome, sink)
        # A request that still waits for a slot at its deadline is refused by
        # the dispatcher; only one that runs is abandoned here.
        left_s = head.deadline_s - self._timers.now_s() + _DEADLINE_GRACE_S
        limit = asyncio.ensure_future(self._timers.sleep(max(0.0, left_s)))
        try:
            await asyncio.wait(
                (outcome, limit), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            limit.cancel()
        if not outcome.done():
            sink.detach()
            # A request that was not sent yet is not sent once it is detached.
            return self._refuse(
                head.request_id,
                _DEADLINE_PASSED if sink.request_sent else NOT_SENT_IN_TIME,
            )
        result = outcome.result()
        response = sink.response()
        if result.code is ResultCode.OK and response is not None:
            self._observer.count("requests.answered")
            return response
        return self._refuse(head.request_id, result)

    def _report_outcome(
        self,
        head: RequestHead,
        outcome: "asyncio.Task[Refusal]",
        sink: ResponseSink,
    ) -> None:
        async def report() -> None:
            result = await outcome
            verdict = _verdict_of(result.code)
            answer = None
            if verdict is KeyVerdict.DONE:
                answer = sink.kept_response()
            await self._keys.report_outcome(head, verdict, answer)

        self._outcome_reports.start(report())

    def _respond_repeated(
        self, head: RequestHead, reservation: KeyReservation
    ) -> web.StreamResponse:
        answer = reservation.answer
        if reservation.verdict is KeyVerdict.DONE and answer is not None:
            return _replay(head, answer)
        if reservation.verdict is KeyVerdict.RUNNING:
            refusal = Refusal(
                ResultCode.IN_PROGRESS, "the first request is in progress"
            )
        elif reservation.verdict is KeyVerdict.NOT_RUN:
            refusal = Refusal(
                ResultCode.NOT_RUN_DEADLINE, "the request was abandoned"
            )
        else:
            refusal = Refusal(
                ResultCode.OUTCOME_UNKNOWN,
                "an earlier request used this key; its response was not kept",
            )
        return self._refuse(head.request_id, refusal)

    def _refuse(self, request_id: str, refusal: Refusal) -> web.Response:
        self._observer.count(f"requests.refused.{refusal.code.name}")
        if refusal.code >= ResultCode.OUTCOME_UNKNOWN:
            self._observer.record_event(
                "request.failed",
                request_id or "unread",
                refusal.reason,
                refusal.code,
            )
        reason = " ".join(refusal.reason.split())[:_MAX_REASON_CHARS]
        return web.Response(
            status=http_status_for_code(refusal.code),
            headers={
                CODE_HEADER: str(int(refusal.code)),
                REASON_HEADER: reason.encode("ascii", "replace").decode(),
                REQUEST_ID_HEADER: request_id,
            },
            text=f"{refusal.code.name}: {refusal.reason}\n",
        )


def _verdict_of(code: ResultCode) -> KeyVerdict:
    if code is ResultCode.OK:
        return KeyVerdict.DONE
    if is_not_run(code):
        return KeyVerdict.NOT_RUN
    return KeyVerdict.UNKNOWN


def _replay(head: RequestHead, answer: Answer) -> web.Response:
    headers = CIMultiDict(
        (header.name, header.value)
        for header in answer.headers
        if header.name.lower() != "content-length"
    )
    headers[REQUEST_ID_HEADER] = head.request_id
    return web.Response(status=answer.status, headers=headers, body=answer.body)
