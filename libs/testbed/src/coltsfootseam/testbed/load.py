"""Callers behind a balancer: they send requests and note what they get."""

import asyncio
import enum
import time
from collections.abc import Iterable

import aiohttp
import msgspec

from coltsfootseam.standins.endpoint import make_response_body
from coltsfootseam.testbed.cluster import Cluster

_READINESS_PERIOD_S = 0.5
_MS_PER_S = 1000
_TIMEOUT_MARGIN_S = 10.0
_NOT_RUN_CODES = range(50, 60)
_OUTCOME_UNKNOWN_CODES = (60, 62)
_IN_PROGRESS_CODE = 61
_RETRY_DELAY_S = 0.2


class ResultKind(enum.Enum):
    """What a caller got for one try."""

    ANSWERED = "answered"
    WRONG = "wrong"
    NOT_RUN = "not run"
    UNKNOWN = "outcome unknown"
    IN_PROGRESS = "in progress"
    BROKEN = "connection broken"
    UNSENT = "no entry host accepted"


class LoadRequest(msgspec.Struct, frozen=True):
    """One request of a caller.

    Attributes:
        operation: Names what it does, unique.
        service: The service.
        at_s: When to send it, seconds after the start.
        run_ms: How long the endpoint works on it.
        repeatable: Whether it is sent as GET; otherwise as POST.
        keyed: Whether it carries an idempotency key.
        deadline_ms: When its caller stops waiting.
        answer_bytes: Size of its answer.
        body_bytes: Size of its body, for POST.
        max_attempts: How often the caller tries while the end is not known.
        path: Path below the service; names the kind of request.
        chunked: Whether the answer comes without a length.
        method: HTTP method, if it is not GET or POST.
    """

    operation: str
    service: str
    at_s: float
    run_ms: int
    repeatable: bool = False
    keyed: bool = True
    deadline_ms: int = 10_000
    answer_bytes: int = 256
    body_bytes: int = 128
    max_attempts: int = 1
    path: str = "work"
    chunked: bool = False
    method: str = ""

    def http_method(self) -> str:
        """Returns the method that the request is sent with."""
        if self.method:
            return self.method
        return "GET" if self.repeatable else "POST"


class CallerResult(msgspec.Struct, frozen=True):
    """What a caller got for one try of a request.

    Attributes:
        request: The request.
        attempt: Which try, from 0.
        kind: What the caller got.
        code: Result code of a refusal, 0 for none.
        sent_s: When it was sent, seconds after the start.
        took_s: How long it took.
        entry_id: Entry host that it was sent to.
        detail: What went wrong.
    """

    request: LoadRequest
    attempt: int
    kind: ResultKind
    code: int
    sent_s: float
    took_s: float
    entry_id: str
    detail: str = ""

    def attempt_id(self) -> str:
        """Returns the name under which the endpoint tallies this try."""
        return attempt_id(self.request.operation, self.attempt)


def attempt_id(operation: str, attempt: int) -> str:
    """Returns the name of one try of an operation."""
    return f"{operation}#{attempt}"


class _Outcome(msgspec.Struct, frozen=True):
    kind: ResultKind
    code: int = 0
    detail: str = ""


class Callers:
    """Sends requests through a balancer that follows readiness late."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._session: aiohttp.ClientSession
        self._ready: list[str] = list(cluster.entries_by_id)
        self._balancer_position = 0
        self._started_s = time.monotonic()

    async def run(self, requests: Iterable[LoadRequest]) -> list[CallerResult]:
        """Sends requests at their times and returns all results."""
        balancing = asyncio.ensure_future(self._follow_readiness())
        connector = aiohttp.TCPConnector(limit=0)
        try:
            async with aiohttp.ClientSession(connector=connector) as session:
                # Each try is sent once, so that what it leads to is known.
                session._retry_connection = False
                self._session = session
                self._started_s = time.monotonic()
                groups = await asyncio.gather(
                    *(self._send_at_its_time(each) for each in requests)
                )
        finally:
            balancing.cancel()
        return [result for group in groups for result in group]

    async def _follow_readiness(self) -> None:
        while True:
            entry_ids = list(self._cluster.entries_by_id)
            answers = await asyncio.gather(
                *(self._is_ready(entry_id) for entry_id in entry_ids)
            )
            self._ready = [
                entry_id
                for entry_id, ready in zip(entry_ids, answers, strict=True)
                if ready
            ]
            await asyncio.sleep(_READINESS_PERIOD_S)

    async def _is_ready(self, entry_id: str) -> bool:
        address = self._cluster.admin_address(entry_id)
        return await self._cluster.control.answers(address, "/readyz")

    async def _send_at_its_time(
        self, request: LoadRequest
    ) -> list[CallerResult]:
        due_s = self._started_s + request.at_s
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        results: list[CallerResult] = []
        while len(results) < request.max_attempts:
            result = await self._attempt(request, len(results))
            results.append(result)
            if result.kind in (
                ResultKind.ANSWERED,
                ResultKind.WRONG,
                ResultKind.NOT_RUN,
            ):
                break
            await asyncio.sleep(_RETRY_DELAY_S)
        return results

    async def _attempt(
        self, request: LoadRequest, attempt: int
    ) -> CallerResult:
        started_s = time.monotonic()
        got = _Outcome(ResultKind.UNSENT)
        entry_id = ""
        for entry_id in self._next_entries():
            address = self._cluster.callers_address(entry_id)
            try:
                got = await self._send(address, request, attempt)
                break
            except aiohttp.ClientConnectorError:
                continue
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                got = _Outcome(ResultKind.BROKEN, detail=repr(error))
                break
        return CallerResult(
            request=request,
            attempt=attempt,
            kind=got.kind,
            code=got.code,
            sent_s=started_s - self._started_s,
            took_s=time.monotonic() - started_s,
            entry_id=entry_id,
            detail=got.detail,
        )

    def _next_entries(self) -> list[str]:
        self._balancer_position += 1
        ready = self._ready
        if not ready:
            return []
        start = self._balancer_position % len(ready)
        return ready[start:] + ready[:start]

    async def _send(
        self, address: str, request: LoadRequest, attempt: int
    ) -> _Outcome:
        operation = attempt_id(request.operation, attempt)
        headers = {
            "X-Operation": operation,
            "X-Run-Ms": str(request.run_ms),
            "X-Answer-Bytes": str(request.answer_bytes),
            "X-Deadline-Ms": str(request.deadline_ms),
        }
        if request.chunked:
            headers["X-Chunked"] = "1"
        if request.keyed and not request.repeatable:
            headers["Idempotency-Key"] = request.operation
        body = b""
        if not request.repeatable:
            body = (request.operation.encode() * request.body_bytes)[
                : request.body_bytes
            ]
        limit_s = request.deadline_ms / _MS_PER_S + _TIMEOUT_MARGIN_S
        async with self._session.request(
            request.http_method(),
            f"http://{address}/{request.service}/{request.path}",
            headers=headers,
            data=body or None,
            timeout=aiohttp.ClientTimeout(total=limit_s),
        ) as response:
            content = await response.read()
            code = int(response.headers.get("X-Result-Code", "0"))
            detail = response.headers.get("X-Result-Reason", "")
            if code:
                return _Outcome(_kind_of(code), code, detail)
            if _is_correct(request, attempt, body, content):
                return _Outcome(ResultKind.ANSWERED)
            detail = f"status {response.status}"
            return _Outcome(ResultKind.WRONG, detail=detail)


def _is_correct(
    request: LoadRequest, attempt: int, body: bytes, content: bytes
) -> bool:
    # An answer kept from an earlier try is right for a later one.
    return any(
        content
        == make_response_body(
            attempt_id(request.operation, earlier), body, request.answer_bytes
        )
        for earlier in range(attempt + 1)
    )


def _kind_of(code: int) -> ResultKind:
    if code in _NOT_RUN_CODES:
        return ResultKind.NOT_RUN
    if code == _IN_PROGRESS_CODE:
        return ResultKind.IN_PROGRESS
    assert code in _OUTCOME_UNKNOWN_CODES, code
    return ResultKind.UNKNOWN
