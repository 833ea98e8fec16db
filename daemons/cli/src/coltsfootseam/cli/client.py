"""Client for the admin interface of entry hosts."""

import asyncio
import os
from collections.abc import Coroutine
from typing import Any, TypeVar

import aiohttp
import msgspec

from coltsfootseam.results import (
    Refusal,
    ResultCode,
    code_for_http_status,
)

ENTRIES_VARIABLE = "COLTSFOOTSEAM_ENTRIES"
_REQUEST_TIMEOUT_S = 30.0

T = TypeVar("T")
Addresses = str | tuple[str, ...] | list[str]
"""Addresses as the command line parser passes them on."""


class _ErrorReply(msgspec.Struct):
    code: int
    reason: str


class AdminClient:
    """Sends requests to entry hosts in turn until one of them answers."""

    __slots__ = ("_addresses",)

    def __init__(self, addresses: list[str]) -> None:
        self._addresses = addresses

    async def get(self, path: str, kind: type[T]) -> T | Refusal:
        """Returns a document from the first entry host that answers."""
        return await self._request("GET", path, None, kind)

    async def post(self, path: str, body: Any, kind: type[T]) -> T | Refusal:
        """Sends a command to the first entry host that answers.

        If the answer of one entry host is lost, the command is sent to the next
        one. Its record id has to make that repetition safe.
        """
        return await self._request(
            "POST", path, msgspec.json.encode(body), kind
        )

    async def _request(
        self, method: str, path: str, payload: bytes | None, kind: type[T]
    ) -> T | Refusal:
        failure = Refusal(
            ResultCode.UNREACHABLE, "no addresses of entry hosts were given"
        )
        response_lost = False
        async with aiohttp.ClientSession() as session:
            for address in self._addresses:
                response = await _request_from(
                    session, address, method, path, payload, kind
                )
                if not isinstance(response, Refusal):
                    return response
                failure = response
                if response.code is ResultCode.OUTCOME_UNKNOWN:
                    response_lost = True
                elif response.code is not ResultCode.UNREACHABLE:
                    return response
        if response_lost and method != "GET":
            return Refusal(ResultCode.OUTCOME_PENDING, failure.reason)
        return Refusal(ResultCode.UNREACHABLE, failure.reason)


def split_addresses(text: Addresses, variable: str = "") -> list[str]:
    """Returns the addresses in a flag; blank ones are left out.

    Args:
        text: Addresses separated by commas; the command line parser may have
            split them already.
        variable: Environment variable to use if the flag has no address.
    """
    if not isinstance(text, str):
        text = ",".join(str(each) for each in text)
    addresses = [part.strip() for part in text.split(",") if part.strip()]
    if not addresses and variable:
        return split_addresses(os.environ.get(variable, ""))
    return addresses


def connect(entries: Addresses) -> AdminClient:
    """Returns a client for the addresses in the flag or the environment."""
    return AdminClient(split_addresses(entries, ENTRIES_VARIABLE))


def run(coroutine: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine to completion."""
    return asyncio.run(coroutine)


async def _request_from(
    session: aiohttp.ClientSession,
    address: str,
    method: str,
    path: str,
    payload: bytes | None,
    kind: type[T],
) -> T | Refusal:
    try:
        async with session.request(
            method,
            f"http://{address}{path}",
            data=payload,
            timeout=aiohttp.ClientTimeout(total=_REQUEST_TIMEOUT_S),
        ) as response:
            return _decode_response(
                response.status, await response.read(), kind
            )
    except (aiohttp.ClientConnectorError, aiohttp.InvalidURL) as error:
        return Refusal(ResultCode.UNREACHABLE, f"{address}: {error}")
    except (aiohttp.ClientError, TimeoutError) as error:
        return Refusal(ResultCode.OUTCOME_UNKNOWN, f"{address}: {error!r}")


def _decode_response(status: int, payload: bytes, kind: type[T]) -> T | Refusal:
    try:
        return msgspec.json.decode(payload, type=kind)
    except msgspec.DecodeError:
        pass
    try:
        refused = msgspec.json.decode(payload, type=_ErrorReply)
        return Refusal(ResultCode(refused.code), refused.reason)
    except (msgspec.DecodeError, ValueError):
        text = payload.decode("utf-8", "replace").strip()
        return Refusal(code_for_http_status(status), f"status {status}: {text}")
