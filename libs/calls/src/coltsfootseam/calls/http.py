"""HTTP calls with a time limit that never wait on a silent connection."""

import asyncio
from collections.abc import Mapping

import aiohttp
import msgspec

_CLOSE_AFTER_S = 4.0
_CONNECT_S = 0.5


class Reply(msgspec.Struct, frozen=True):
    """An answer, whatever its status."""

    status: int
    body: bytes


class NoReply(msgspec.Struct, frozen=True):
    """No answer came.

    Attributes:
        reason: What happened.
        is_undone: Whether the call certainly never left this host.
    """

    reason: str
    is_undone: bool


class HttpLine:
    """Connections to one address.

    After a call that got no answer in time all idle connections are given up,
    as a connection can go silent for good while new ones work.
    """

    __slots__ = ("_base", "_closing", "_limit", "_session")

    def __init__(self, address: str, limit: int) -> None:
        """Makes a line that opens connections as they are needed.

        Args:
            address: IP and port.
            limit: Most connections at once.
        """
        self._base = f"http://{address}"
        self._limit = limit
        self._session: aiohttp.ClientSession | None = None
        self._closing: set[asyncio.Task[None]] = set()

    async def call(
        self,
        method: str,
        target: str,
        timeout_s: float,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        query: Mapping[str, str] | None = None,
    ) -> Reply | NoReply:
        """Calls and waits for the whole answer."""
        session = self._open()
        timeout = aiohttp.ClientTimeout(
            total=timeout_s, sock_connect=min(_CONNECT_S, timeout_s)
        )
        try:
            async with session.request(
                method,
                self._base + target,
                data=body,
                headers=headers,
                params=query,
                timeout=timeout,
            ) as response:
                return Reply(response.status, await response.read())
        except aiohttp.ClientConnectorError as error:
            return NoReply(str(error), is_undone=True)
        except aiohttp.ConnectionTimeoutError as error:
            return NoReply(repr(error), is_undone=True)
        except TimeoutError as error:
            self.renew(session)
            return NoReply(repr(error), is_undone=False)
        except aiohttp.ClientError as error:
            return NoReply(repr(error), is_undone=False)

    def renew(self, session: aiohttp.ClientSession | None = None) -> None:
        """Gives the connections up; calls under way may still end."""
        if self._session is None or session not in (None, self._session):
            return
        old = self._session
        self._session = None
        task = asyncio.ensure_future(_close_later(old))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def close(self) -> None:
        """Closes all connections at once."""
        if self._session is not None:
            await self._session.close()
            self._session = None

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=self._limit),
                cookie_jar=aiohttp.DummyCookieJar(),
                skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
                auto_decompress=False,
            )
        return self._session


async def _close_later(session: aiohttp.ClientSession) -> None:
    await asyncio.sleep(_CLOSE_AFTER_S)
    await session.close()
