"""Client of the platform's append-only log."""

from typing import Protocol

import aiohttp
import msgspec

from coltsfootseam.results import Refusal, ResultCode

_MAX_PAGE_RECORDS = 1000
_MS_PER_S = 1000


class Appended(msgspec.Struct, frozen=True):
    """The log's reply to an append."""

    offset: int


class LogEntry(msgspec.Struct, frozen=True):
    """A record of the log, not yet decoded."""

    offset: int
    text: str


class LogPage(msgspec.Struct, frozen=True):
    """Records read from an offset on.

    Attributes:
        first_offset: Offset of the oldest record that the log still keeps.
        next_offset: Offset of the next record to be appended.
        entries: Records from the requested offset on, oldest first. Empty if
            that offset is older than ``first_offset``.
    """

    first_offset: int
    next_offset: int
    entries: list[LogEntry]


class _AppendBody(msgspec.Struct):
    text: str


class Log(Protocol):
    """Interface of the log."""

    async def append(self, text: str) -> Appended | Refusal:
        """Appends one record."""

    async def read(self, from_offset: int, wait_s: float) -> LogPage | Refusal:
        """Reads records from an offset on."""


class LogClient:
    """Appends to and reads from the platform's log.

    A refusal with ``LOG_UNAVAILABLE`` means that nothing was appended. One
    with ``OUTCOME_PENDING`` means that the record may have been appended.
    """

    __slots__ = ("_session", "_timeout_s", "_url")

    def __init__(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float
    ) -> None:
        self._session = session
        self._url = f"{url}/records"
        self._timeout_s = timeout_s

    async def append(self, text: str) -> Appended | Refusal:
        """Appends one record."""
        body = msgspec.json.encode(_AppendBody(text))
        timeout = aiohttp.ClientTimeout(total=self._timeout_s)
        try:
            async with self._session.post(
                self._url, data=body, timeout=timeout
            ) as response:
                payload = await response.read()
                return _parse_append_reply(response.status, payload)
        except aiohttp.ClientConnectorError as error:
            return _unavailable_refusal(str(error))
        except (aiohttp.ClientError, TimeoutError) as error:
            return _pending_refusal(repr(error))

    async def read(self, from_offset: int, wait_s: float) -> LogPage | Refusal:
        """Reads records, and waits for the first one if there is none yet.

        Args:
            from_offset: Offset of the first record to read.
            wait_s: How long the log may hold the read open.
        """
        parameters = {
            "from": str(from_offset),
            "limit": str(_MAX_PAGE_RECORDS),
            "wait_ms": str(round(wait_s * _MS_PER_S)),
        }
        timeout = aiohttp.ClientTimeout(total=self._timeout_s + wait_s)
        try:
            async with self._session.get(
                self._url, params=parameters, timeout=timeout
            ) as response:
                payload = await response.read()
                if response.status != 200:
                    return _unavailable_refusal(f"status {response.status}")
                return msgspec.json.decode(payload, type=LogPage)
        except (aiohttp.ClientError, TimeoutError) as err:
            return _unavailable_refusal(repr(err))
        except msgspec.DecodeError as error:
            return _unavailable_refusal(f"malformed page: {error}")


def _parse_append_reply(status: int, payload: bytes) -> Appended | Refusal:
    # The platform guarantees that the append had no effect for these two.
    if status in (429, 503):
        return _unavailable_refusal(f"status {status}")
    if status != 200:
        return _pending_refusal(f"status {status}")
    try:
        return msgspec.json.decode(payload, type=Appended)
    except msgspec.DecodeError as error:
        return _pending_refusal(f"malformed reply: {error}")


def _unavailable_refusal(reason: str) -> Refusal:
    return Refusal(ResultCode.LOG_UNAVAILABLE, f"log: {reason}")


def _pending_refusal(reason: str) -> Refusal:
    return Refusal(ResultCode.OUTCOME_PENDING, f"log: {reason}")
