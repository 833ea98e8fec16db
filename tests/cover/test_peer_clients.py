"""A call whose connection is closed by another call returns a refusal."""

import asyncio
from typing import Any

from coltsfootseam.observe import HybridClock
from coltsfootseam.peers import PeerClients
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.timers import VirtualTimers


class _CancellingStub:
    """Ends a call as gRPC does when its channel is closed."""

    async def Status(self, request: Any, timeout: float) -> None:  # noqa: N802
        del request, timeout
        raise asyncio.CancelledError


class _ClosedConnection:
    stub = _CancellingStub()


async def test_closing_a_connection_does_not_cancel_its_callers() -> None:
    clients = PeerClients(HybridClock(VirtualTimers()), 1.0)
    connections: Any = clients._connections_by_address
    connections["127.0.0.1:1"] = _ClosedConnection()
    reply = await clients.status("127.0.0.1:1")
    assert isinstance(reply, Refusal)
    assert reply.code is ResultCode.UNREACHABLE
