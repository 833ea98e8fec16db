"""HTTP calls that time out on unresponsive connections."""

import asyncio
import contextlib
from collections.abc import Iterator, Mapping

import aiohttp
import msgspec

_CONNECT_TIMEOUT_S = 0.5


class Reply(msgspec.Struct, frozen=True):
    """A response, whatever its status."""

    status: int
    body: bytes


class NoReply(msgspec.Struct, frozen=True):
    """A call without a response.

    Attributes:
        reason: The error.
        is_unsent: Whether the request was certainly never sent.
    """

    reason: str
    is_unsent: bool


class _Session:
    """An HTTP session that counts its calls, to be closed when idle."""

    __slots__ = ("_active_calls", "_idle", "client")

    def __init__(self, client: aiohttp.ClientSession) -> None:
        self.client = client
        self._active_calls = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @contextlib.contextmanager
    def counting_call(self) -> Iterator[aiohttp.ClientSession]:
        """Counts a call as active while the context is open."""
        self._active_calls += 1
        self._idle.clear()
        try:
            yield self.client
        finally:
            self._active_calls -= 1
            if not self._active_calls:
                self._idle.set()

    async def close_when_idle(self) -> None:
        """Closes the connections once no call is active."""
        await self._idle.wait()
        await self.client.close()


class HttpClient:
    """Calls one address over a pool of connections.

    After a call that timed out no connection is reused, as an established
    connection can stop delivering data for good while new ones work.
    """

    __slots__ = ("_base_url", "_closing_tasks", "_max_connections", "_session")

    def __init__(self, address: str, max_connections: int) -> None:
        """Makes a client that opens connections as needed.

        Args:
            address: IP and port.
            max_connections: Maximum number of concurrent connections.
        """
        self._base_url = f"http://{address}"
        self._max_connections = max_connections
        self._session: _Session | None = None
        self._closing_tasks: set[asyncio.Task[None]] = set()

    async def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        query: Mapping[str, str] | None = None,
        idle_s: float | None = None,
        connect_s: float | None = None,
    ) -> Reply | NoReply:
        """Sends a request and reads the whole response.

        Args:
            method: HTTP method.
            target: Path of the request.
            timeout_s: Time limit of the whole call.
            body: Body of the request.
            headers: Additional headers.
            query: Query parameters.
            idle_s: Time limit of each wait for more data. With it, a large
                response may take long over a slow link, and an unresponsive
                connection is still detected soon.
            connect_s: Time limit of the wait for a connection. A request that
                has none by then is not sent.
        """
        session = self._open_session()
        timeout = aiohttp.ClientTimeout(
            total=timeout_s,
            connect=connect_s,
            sock_connect=min(_CONNECT_TIMEOUT_S, timeout_s),
            sock_read=idle_s,
        )
        try:
            with session.counting_call() as client:
                async with client.request(
                    method,
                    self._base_url + target,
                    data=body,
                    headers=headers,
                    params=query,
                    timeout=timeout,
                ) as response:
                    return Reply(response.status, await response.read())
        except aiohttp.ClientConnectorError as error:
            return NoReply(str(error), is_unsent=True)
        except aiohttp.ConnectionTimeoutError as error:
            return NoReply(repr(error), is_unsent=True)
        except TimeoutError as error:
            if session is self._session:
                self.drop_connections()
            return NoReply(repr(error), is_unsent=False)
        except aiohttp.ClientError as error:
            return NoReply(repr(error), is_unsent=False)

    async def post_json(
        self,
        target: str,
        body: object,
        timeout_s: float,
        headers: Mapping[str, str] | None = None,
        connect_s: float | None = None,
    ) -> Reply | NoReply:
        """Posts a value as JSON; see ``call`` for the arguments."""
        return await self.call(
            "POST",
            target,
            timeout_s,
            body=msgspec.json.encode(body),
            headers={"Content-Type": "application/json", **(headers or {})},
            connect_s=connect_s,
        )

    def drop_connections(self) -> None:
        """Abandons the connections; active calls may still complete."""
        if self._session is None:
            return
        task = asyncio.ensure_future(self._session.close_when_idle())
        self._session = None
        self._closing_tasks.add(task)
        task.add_done_callback(self._closing_tasks.discard)

    async def close(self) -> None:
        """Closes all connections immediately."""
        if self._session is not None:
            await self._session.client.close()
            self._session = None

    def _open_session(self) -> _Session:
        if self._session is None:
            client = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=self._max_connections),
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
                auto_decompress=False,
            )
            self._session = _Session(client)
        return self._session
