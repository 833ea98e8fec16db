"""Client of the control interfaces of stand-ins and entry hosts."""

from typing import Any, TypeVar

import aiohttp
import msgspec

T = TypeVar("T")
_TIMEOUT_S = 10.0
_COMMAND_TIMEOUT_S = 30.0


class Control:
    """Reads and writes JSON documents over HTTP."""

    __slots__ = ("_session",)

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self._session = session

    async def get(self, address: str, path: str, kind: type[T]) -> T:
        """Reads a document.

        Raises:
            aiohttp.ClientError: If the process doesn't respond.
        """
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        url = f"http://{address}{path}"
        async with self._session.get(url, timeout=timeout) as response:
            return msgspec.json.decode(await response.read(), type=kind)

    async def post(self, address: str, path: str, value: Any) -> None:
        """Sends a document.

        Raises:
            aiohttp.ClientError: If the process doesn't respond or refuses.
        """
        timeout = aiohttp.ClientTimeout(total=_TIMEOUT_S)
        url = f"http://{address}{path}"
        body = msgspec.json.encode(value)
        async with self._session.post(
            url, data=body, timeout=timeout
        ) as response:
            response.raise_for_status()

    async def post_for_reply(
        self, address: str, path: str, value: Any, kind: type[T]
    ) -> T:
        """Sends a document and returns the reply, whatever its status.

        Raises:
            aiohttp.ClientError: If the process doesn't respond.
        """
        timeout = aiohttp.ClientTimeout(total=_COMMAND_TIMEOUT_S)
        url = f"http://{address}{path}"
        body = msgspec.json.encode(value)
        async with self._session.post(
            url, data=body, timeout=timeout
        ) as response:
            return msgspec.json.decode(await response.read(), type=kind)

    async def responds(self, address: str, path: str) -> bool:
        """Returns whether a process responds with status 200."""
        timeout = aiohttp.ClientTimeout(total=1.0)
        url = f"http://{address}{path}"
        try:
            async with self._session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False
