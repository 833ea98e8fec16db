"""Client of the platform's list of live and leaving hosts."""

import enum
from typing import Protocol

import aiohttp
import msgspec

from coltsfootseam.results import (
    Address,
    Amount,
    MalformedJsonError,
    Refusal,
    ResultCode,
    decode_json,
    split_array,
)


class HostState(enum.Enum):
    """State of a host in the platform's list, which may lag behind."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedHost(msgspec.Struct, frozen=True):
    """A host in the list.

    Attributes:
        host_id: Name of the host.
        zone: Its availability zone.
        rack: Its rack.
        address: IP and port of its endpoint.
        slots: Number of requests that its endpoint runs concurrently.
        connections: Number of connections that its endpoint accepts.
        state: Whether it is live or leaving.
    """

    host_id: str
    zone: str
    rack: str
    address: Address
    slots: Amount
    connections: Amount
    state: HostState


class HostList(Protocol):
    """Interface of the host list.

    Attributes:
        unreadable: Why entries of the last list were left out.
    """

    unreadable: list[str]

    async def read(self) -> list[ListedHost] | Refusal:
        """Returns the listed hosts, or a refusal if the list is down."""


class HostListClient:
    """Reads the host list, and reuses the last one while it is unchanged.

    Attributes:
        unreadable: Why entries of the last list were left out, one reason for
            each.
    """

    __slots__ = (
        "_etag",
        "_hosts",
        "_session",
        "_timeout_s",
        "_url",
        "unreadable",
    )

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = f"{url}/hosts"
        self._timeout_s = timeout_s
        self._etag = ""
        self._hosts: list[ListedHost] = []
        self.unreadable: list[str] = []

    async def read(self) -> list[ListedHost] | Refusal:
        """Returns the listed hosts, or a refusal if the list is down."""
        headers = {"If-None-Match": self._etag} if self._etag else {}
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._session.get(
                self._url, headers=headers, timeout=timeout
            ) as response:
                if response.status == 304:
                    return self._hosts
                if response.status != 200:
                    return _unavailable_refusal(f"status {response.status}")
                self._decode(await response.read())
                self._etag = response.headers.get("ETag", "")
                return self._hosts
        except (aiohttp.ClientError, TimeoutError) as error:
            return _unavailable_refusal(repr(error))
        except MalformedJsonError as error:
            return _unavailable_refusal(f"malformed list: {error}")

    def _decode(self, payload: bytes) -> None:
        """Decodes a list; an entry that is odd doesn't affect the others."""
        hosts = []
        unreadable = []
        for element in split_array(payload):
            try:
                hosts.append(decode_json(element, ListedHost))
            except MalformedJsonError as error:
                unreadable.append(str(error))
        self._hosts = hosts
        self.unreadable = unreadable


def _unavailable_refusal(reason: str) -> Refusal:
    return Refusal(ResultCode.UNREACHABLE, f"host list: {reason}")
