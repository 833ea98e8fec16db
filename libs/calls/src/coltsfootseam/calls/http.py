"""HTTP calls with a time limit that never wait on a silent connection."""

import asyncio
import contextlib
from collections.abc import Iterator, Mapping

import aiohttp
import msgspec

_CONNECT_TIMEOUT_S = 0.5


class Reply(msgspec.Struct, frozen=True):
    """An answer, whatever its status."""

    status: int
    body: bytes


class NoReply(msgspec.Struct, frozen=True):
    """No answer came.

    Attributes:
        reason: What happened.
        is_unsent: Whether the call certainly never left this host.
    """

    reason: str
    is_unsent: bool


class _Session:
    """An HTTP session that counts its calls, to be closed after the last."""

    __slots__ = ("_active_calls", "_idle", "client")

    def __init__(self, client: aiohttp.ClientSession) -> None:
        self.client = client
        self._active_calls = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @contextlib.contextmanager
    def counting_call(self) -> Iterator[aiohttp.ClientSession]:
        """Counts a call while the context is open."""
        self._active_calls += 1
        self._idle.clear()
        try:
            yield self.client
        finally:
            self._active_calls -= 1
            if not self._active_calls:
                self._idle.set()

    async def close_when_idle(self) -> None:
        """Closes the connections once no call uses them."""
        await self._idle.wait()
        await self.client.close()


class HttpClient:
    """Connections to one address.

    After a call that got no answer in time all idle connections are given up,
    as a connection can go silent for good while new ones work.
    """

    __slots__ = ("_base", "_closing", "_max_connections", "_session")

    def __init__(self, address: str, max_connections: int) -> None:
        """Makes a line that opens connections as they are needed.

        Args:
            address: IP and port.
            max_connections: Most connections at once.
        """
        self._base = f"http://{address}"
        self._max_connections = max_connections
        self._session: _Session | None = None
        self._closing: set[asyncio.Task[None]] = set()

    async def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        query: Mapping[str, str] | None = None,
        idle_s: float | None = None,
    ) -> Reply | NoReply:
        """Calls and waits for the whole answer.

        Args:
            method: HTTP method.
            target: Path.
            timeout_s: Time limit of the whole call.
            body: Body of the request.
            headers: Headers besides the usual ones.
            query: Query of the request.
            idle_s: Time limit of each wait for more data. With it, a large
                reply may take long over a slow link, and an unresponsive
                connection is still noticed soon.
        """
        session = self._open()
        timeout = aiohttp.ClientTimeout(
            total=timeout_s,
            sock_connect=min(_CONNECT_TIMEOUT_S, timeout_s),
            sock_read=idle_s,
        )
        try:
            with session.counting_call() as client:
                async with client.request(
                    method,
                    self._base + target,
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

    def drop_connections(self) -> None:
        """Gives the connections up; calls under way may still end."""
        if self._session is None:
            return
        task = asyncio.ensure_future(self._session.close_when_idle())
        self._session = None
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Closes all connections at once."""
        if self._session is not None:
            await self._session.client.close()
            self._session = None

    def _open(self) -> _Session:
        if self._session is None:
            client = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=self._max_connections),
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
                auto_decompress=False,
            )
            self._session = _Session(client)
        return self._session
