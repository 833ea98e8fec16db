"""Single attempts to run a request on an endpoint."""

import contextlib
import enum
import socket
from collections.abc import AsyncIterator

import aiohttp
import msgspec
from aiohttp import web
from multidict import CIMultiDict
from yarl import URL

from coltsfootseam.routing.body import RequestBody
from coltsfootseam.routing.dispatch import Grant
from coltsfootseam.routing.headers import end_to_end_headers
from coltsfootseam.routing.request import (
    HOST_VERSION_HEADER,
    NOT_RUN_HEADER,
    POOL_HEADER,
    REQUEST_ID_HEADER,
)
from coltsfootseam.routing.response_sink import ResponseSink

_CHUNK_BYTES = 64 * 1024
_REPEATABLE_MAX_IDLE_S = 15.0
_UNREPEATABLE_MAX_IDLE_S = 1.0
_KEEPALIVE_IDLE_S = 5
_KEEPALIVE_INTERVAL_S = 2
_KEEPALIVE_PROBES = 3
_PROBE_PATH = "/readyz"
_MIN_SERVER_ERROR_STATUS = 500


class AttemptOutcome(enum.Enum):
    """How an attempt ended.

    ``ANSWERED``: the whole response went to the sink.
    ``NOT_RUN``: the endpoint did not run the request.
    ``UNKNOWN``: the request may have run; no part of a response arrived.
    ``CUT``: the response started and was cut short.
    """

    ANSWERED = 1
    NOT_RUN = 2
    UNKNOWN = 3
    CUT = 4


class Readiness(enum.Enum):
    """The result of a readiness probe."""

    READY = 1
    NOT_READY = 2
    SILENT = 3


class AttemptResult(msgspec.Struct, frozen=True):
    """The outcome of an attempt and what it shows about the endpoint.

    Attributes:
        outcome: How the attempt ended.
        reason: Why, for outcomes other than ``ANSWERED``.
        closes_connection: Whether the endpoint closes the connection after
            this response.
        endpoint_failing: Whether the endpoint did not accept the connection,
            broke it off or did not respond in time.
    """

    outcome: AttemptOutcome
    reason: str = ""
    closes_connection: bool = False
    endpoint_failing: bool = False


class Relay:
    """Sends requests to endpoints and streams responses back.

    It has two connection pools. Requests that may not be repeated reuse a
    connection only shortly after its last use, since an idle connection may
    have been closed or lost at the other end.
    """

    __slots__ = ("_connect_timeout_s", "_repeatable", "_unrepeatable")

    def __init__(
        self,
        repeatable: aiohttp.ClientSession,
        unrepeatable: aiohttp.ClientSession,
        connect_timeout_s: float,
    ) -> None:
        self._repeatable = repeatable
        self._unrepeatable = unrepeatable
        self._connect_timeout_s = connect_timeout_s

    async def attempt(
        self,
        grant: Grant,
        caller: web.BaseRequest,
        body: RequestBody,
        sink: ResponseSink,
    ) -> AttemptResult:
        """Runs one attempt until it ends."""
        session = self._unrepeatable
        if grant.request.is_repeatable():
            session = self._repeatable
        request = session.request(
            grant.request.method,
            URL(f"http://{grant.address}{grant.request.target}", encoded=True),
            headers=_request_headers(grant, caller),
            data=body.payload(),
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(sock_connect=self._connect_timeout_s),
        )
        started = False
        try:
            async with request as response:
                if response.headers.get(NOT_RUN_HEADER):
                    return _refused_attempt(response)
                started = True
                await _stream_response(response, sink)
                return AttemptResult(
                    AttemptOutcome.ANSWERED,
                    closes_connection=_closes_connection(response),
                )
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as error:
            return AttemptResult(
                AttemptOutcome.NOT_RUN, repr(error), endpoint_failing=True
            )
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            outcome = AttemptOutcome.CUT if started else AttemptOutcome.UNKNOWN
            # What the caller did says nothing about the endpoint.
            is_failing = not body.is_broken_off
            reason = repr(error) if is_failing else "the caller stopped sending"
            return AttemptResult(outcome, reason, endpoint_failing=is_failing)

    async def probe(self, address: str) -> Readiness:
        """Probes whether an endpoint is ready.

        An endpoint without a readiness path counts as ready if it answers.
        """
        timeout = aiohttp.ClientTimeout(total=self._connect_timeout_s)
        url = URL(f"http://{address}{_PROBE_PATH}", encoded=True)
        try:
            async with self._unrepeatable.get(
                url, timeout=timeout, allow_redirects=False
            ) as response:
                await response.read()
                if response.status < _MIN_SERVER_ERROR_STATUS:
                    return Readiness.READY
                return Readiness.NOT_READY
        except (aiohttp.ClientError, TimeoutError, OSError):
            return Readiness.SILENT


@contextlib.asynccontextmanager
async def open_relay(connect_timeout_s: float) -> AsyncIterator[Relay]:
    """Yields a relay; its connections are closed when the context ends."""
    async with (
        _make_session(_REPEATABLE_MAX_IDLE_S) as repeatable,
        _make_session(_UNREPEATABLE_MAX_IDLE_S) as unrepeatable,
    ):
        yield Relay(repeatable, unrepeatable, connect_timeout_s)


def _make_session(idle_s: float) -> aiohttp.ClientSession:
    connector = aiohttp.TCPConnector(
        limit=0,
        keepalive_timeout=idle_s,
        socket_factory=_open_socket,
    )
    session = aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(),
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
    )
    # aiohttp resends PUT and DELETE when a reused connection breaks and has no
    # public option against it. Only AttemptRunner decides on retries.
    session._retry_connection = False
    return session


def _open_socket(addr_info: aiohttp.AddrInfoType) -> socket.socket:
    family, kind, protocol, _, _ = addr_info
    sock = socket.socket(family=family, type=kind, proto=protocol)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S
    )
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    return sock


def _request_headers(grant: Grant, caller: web.BaseRequest) -> CIMultiDict[str]:
    headers = end_to_end_headers(caller.headers)
    headers[REQUEST_ID_HEADER] = grant.request.request_id
    headers[POOL_HEADER] = grant.pool
    headers[HOST_VERSION_HEADER] = str(grant.host_version)
    return headers


async def _stream_response(
    response: aiohttp.ClientResponse, sink: ResponseSink
) -> None:
    await sink.start(response.status, end_to_end_headers(response.headers))
    async for chunk in response.content.iter_chunked(_CHUNK_BYTES):
        await sink.write(chunk)
    await sink.finish()


def _refused_attempt(response: aiohttp.ClientResponse) -> AttemptResult:
    return AttemptResult(
        AttemptOutcome.NOT_RUN,
        f"endpoint refused the request with status {response.status}",
        closes_connection=_closes_connection(response),
    )


def _closes_connection(response: aiohttp.ClientResponse) -> bool:
    return response.headers.get("Connection", "").lower() == "close"
