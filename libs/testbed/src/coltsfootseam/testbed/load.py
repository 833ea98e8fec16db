"""Load generator: callers behind a balancer that record their results."""

import asyncio
import enum
import time
from collections.abc import Iterable

import aiohttp
import msgspec

from coltsfootseam.standins.endpoint import make_response_body
from coltsfootseam.testbed.cluster import Cluster

_READINESS_POLL_INTERVAL_S = 0.5
_MS_PER_S = 1000
_TIMEOUT_MARGIN_S = 10.0
_NOT_RUN_CODES = range(50, 60)
_OUTCOME_UNKNOWN_CODES = (60, 62)
_IN_PROGRESS_CODE = 61
_RETRY_DELAY_S = 0.2


class ResultKind(enum.Enum):
    """Result of one attempt of a caller."""

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
        operation: Unique id of the operation.
        service: Name of the service.
        at_s: When to send it, in seconds after the start.
        run_ms: How long the endpoint runs it.
        repeatable: Whether it is sent as GET, otherwise as POST.
        keyed: Whether a POST carries an idempotency key.
        deadline_ms: Deadline that it carries, after it is sent.
        answer_bytes: Size of the response.
        body_bytes: Size of the request body of a POST.
        attempt_limit: Maximum number of attempts while its outcome is unknown.
        path: Path below the service, which identifies the kind of request.
        chunked: Whether the response has no content length.
        method: HTTP method if it is neither GET nor POST.
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
    attempt_limit: int = 1
    path: str = "work"
    chunked: bool = False
    method: str = ""

    def http_method(self) -> str:
        """Returns the method that the request is sent with."""
        if self.method:
            return self.method
        return "GET" if self.repeatable else "POST"


class CallerResult(msgspec.Struct, frozen=True):
    """Result of one attempt of a request.

    Attributes:
        request: The request.
        attempt: Number of the attempt, from 0.
        kind: How the attempt ended.
        code: Result code of a refusal; 0 for none.
        sent_s: When it was sent, in seconds after the start.
        took_s: Duration in seconds.
        entry_id: Entry host that it was sent to.
        detail: Reason or error if it failed.
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
        """Returns the id under which the endpoint tallies this attempt."""
        return attempt_id(self.request.operation, self.attempt)


def attempt_id(operation: str, attempt: int) -> str:
    """Returns the id of one attempt of an operation."""
    return f"{operation}#{attempt}"


class _Outcome(msgspec.Struct, frozen=True):
    kind: ResultKind
    code: int = 0
    detail: str = ""


class Callers:
    """Sends requests through a balancer that polls readiness."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster = cluster
        self._session: aiohttp.ClientSession
        self._ready: list[str] = list(cluster.entries_by_id)
        self._balancer_position = 0
        self._started_s = time.monotonic()

    async def run(self, requests: Iterable[LoadRequest]) -> list[CallerResult]:
        """Sends requests at their times and returns all results."""
        polling = asyncio.ensure_future(self._follow_readiness())
        connector = aiohttp.TCPConnector(limit=0)
        try:
            async with aiohttp.ClientSession(connector=connector) as session:
                # A resend by the client library would run as the same attempt.
                session._retry_connection = False
                self._session = session
                self._started_s = time.monotonic()
                groups = await asyncio.gather(
                    *(self._send_at_its_time(each) for each in requests)
                )
        finally:
            polling.cancel()
        return [result for group in groups for result in group]

    async def _follow_readiness(self) -> None:
        while True:
            entry_ids = list(self._cluster.entries_by_id)
            readiness = await asyncio.gather(
                *(self._is_ready(entry_id) for entry_id in entry_ids)
            )
            self._ready = [
                entry_id
                for entry_id, is_ready in zip(entry_ids, readiness, strict=True)
                if is_ready
            ]
            await asyncio.sleep(_READINESS_POLL_INTERVAL_S)

    async def _is_ready(self, entry_id: str) -> bool:
        address = self._cluster.admin_address(entry_id)
        return await self._cluster.control.responds(address, "/readyz")

    async def _send_at_its_time(
        self, request: LoadRequest
    ) -> list[CallerResult]:
        due_s = self._started_s + request.at_s
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))
        results: list[CallerResult] = []
        while len(results) < request.attempt_limit:
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
        outcome = _Outcome(ResultKind.UNSENT)
        entry_id = ""
        for entry_id in self._next_entries():
            address = self._cluster.callers_address(entry_id)
            try:
                outcome = await self._send(address, request, attempt)
                break
            except aiohttp.ClientConnectorError:
                continue
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                outcome = _Outcome(ResultKind.BROKEN, detail=repr(error))
                break
        return CallerResult(
            request=request,
            attempt=attempt,
            kind=outcome.kind,
            code=outcome.code,
            sent_s=started_s - self._started_s,
            took_s=time.monotonic() - started_s,
            entry_id=entry_id,
            detail=outcome.detail,
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
        timeout_s = request.deadline_ms / _MS_PER_S + _TIMEOUT_MARGIN_S
        async with self._session.request(
            request.http_method(),
            f"http://{address}/{request.service}/{request.path}",
            headers=headers,
            data=body or None,
            timeout=aiohttp.ClientTimeout(total=timeout_s),
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
    # The entry host may return the stored response of an earlier attempt.
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
