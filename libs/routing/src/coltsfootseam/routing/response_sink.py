"""The destination of the response to one request."""

import enum
from collections.abc import Callable

from aiohttp import web
from multidict import CIMultiDict

from coltsfootseam.peers import Answer
from coltsfootseam.routing.headers import to_stored_headers


class SinkState(enum.Enum):
    """How much of the response was sent to the caller."""

    EMPTY = 1
    BEGUN = 2
    WHOLE = 3
    DETACHED = 4


class ResponseSink:
    """Streams one response to its caller and keeps a copy if it is small.

    A sink belongs to a single request, so a response cannot reach another
    caller. After ``detach`` nothing more reaches the caller, but the copy is
    still completed.

    Attributes:
        state: How much of the response was sent.
        caller_disconnected: Whether the caller's connection has ended.
        request_sent: Whether the request was sent to any endpoint.
    """

    __slots__ = (
        "_caller",
        "_is_closing",
        "_kept_body",
        "_kept_headers",
        "_kept_limit",
        "_kept_status",
        "_response",
        "caller_disconnected",
        "request_sent",
        "state",
    )

    def __init__(
        self,
        caller: web.BaseRequest,
        kept_limit: int,
        is_closing: Callable[[], bool],
    ) -> None:
        self._caller = caller
        self._is_closing = is_closing
        self._response: web.StreamResponse | None = None
        self._kept_body: bytearray | None = bytearray() if kept_limit else None
        self._kept_limit = kept_limit
        self._kept_status = 0
        self._kept_headers: CIMultiDict[str] = CIMultiDict()
        self.state = SinkState.EMPTY
        self.caller_disconnected = False
        self.request_sent = False

    async def start(self, status: int, headers: CIMultiDict[str]) -> None:
        """Sends status and headers."""
        self._kept_status = status
        self._kept_headers = headers
        if self.state is not SinkState.EMPTY:
            return
        self.state = SinkState.BEGUN
        self._response = web.StreamResponse(status=status, headers=headers)
        # Closing a connection without announcing it in the headers breaks the
        # next request that the caller sends on it.
        if self._is_closing():
            self._response.force_close()
        try:
            await self._response.prepare(self._caller)
        except (ConnectionError, OSError):
            self.caller_disconnected = True

    async def write(self, chunk: bytes) -> None:
        """Sends a chunk of the body; waits while the caller reads slowly."""
        self._keep(chunk)
        if self.state is not SinkState.BEGUN or self.caller_disconnected:
            return
        assert self._response is not None
        try:
            await self._response.write(chunk)
        except (ConnectionError, OSError):
            self.caller_disconnected = True

    async def finish(self) -> None:
        """Ends the body; the whole response was sent."""
        if self.state is not SinkState.BEGUN:
            return
        self.state = SinkState.WHOLE
        assert self._response is not None
        if self.caller_disconnected:
            return
        try:
            await self._response.write_eof()
        except (ConnectionError, OSError):
            self.caller_disconnected = True

    def detach(self) -> None:
        """Stops sending the response to the caller.

        If a part of it was sent, the connection is aborted, so that the caller
        does not mistake the part for the whole response.
        """
        if self.state is SinkState.BEGUN and self._caller.transport is not None:
            self._caller.transport.abort()
        self.state = SinkState.DETACHED

    def response(self) -> web.StreamResponse | None:
        """Returns the response to the caller, ``None`` if none was started."""
        return self._response

    def kept_response(self) -> Answer | None:
        """Returns the copy of the response, ``None`` if none was kept."""
        if self._kept_body is None:
            return None
        return Answer(
            self._kept_status,
            to_stored_headers(self._kept_headers),
            bytes(self._kept_body),
        )

    def _keep(self, chunk: bytes) -> None:
        if self._kept_body is None:
            return
        if len(self._kept_body) + len(chunk) > self._kept_limit:
            self._kept_body = None
            return
        self._kept_body += chunk
