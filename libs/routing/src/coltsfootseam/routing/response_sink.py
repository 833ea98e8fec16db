"""Where the answer to one request goes."""

import enum
from collections.abc import Callable

from aiohttp import web
from multidict import CIMultiDict

from coltsfootseam.peers import Answer
from coltsfootseam.routing.headers import to_stored_headers


class SinkState(enum.Enum):
    """How far the answer to the caller has come."""

    EMPTY = 1
    BEGUN = 2
    WHOLE = 3
    DETACHED = 4


class ResponseSink:
    """Passes one answer on to its caller and keeps a copy if it is small.

    A sink belongs to one request from beginning to end, so an answer cannot
    reach another caller. After ``detach`` nothing reaches the caller any
    more, while the copy is still completed.

    Attributes:
        state: How far the answer has come.
        caller_disconnected: Whether the caller's connection has ended.
        request_sent: Whether the request was sent to an endpoint at all.
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
        # Closing a connection without having said so in the headers would
        # break the next request that its caller sends on it.
        if self._is_closing():
            self._response.force_close()
        try:
            await self._response.prepare(self._caller)
        except (ConnectionError, OSError):
            self.caller_disconnected = True

    async def write(self, chunk: bytes) -> None:
        """Sends a part of the body; waits while the caller reads slowly."""
        self._keep(chunk)
        if self.state is not SinkState.BEGUN or self.caller_disconnected:
            return
        assert self._response is not None
        try:
            await self._response.write(chunk)
        except (ConnectionError, OSError):
            self.caller_disconnected = True

    async def finish(self) -> None:
        """Ends the body; the caller now has the whole answer."""
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
        """Lets nothing more of the answer reach the caller.

        If a part of it went out, the connection is cut, so that the caller
        does not take the part for the whole.
        """
        if self.state is SinkState.BEGUN and self._caller.transport is not None:
            self._caller.transport.abort()
        self.state = SinkState.DETACHED

    def response(self) -> web.StreamResponse | None:
        """Returns the response that was sent, ``None`` if none began."""
        return self._response

    def kept_response(self) -> Answer | None:
        """Returns the whole answer if it was small enough to keep."""
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
