"""The client side of RPCs: a channel per address, and a timeout per call."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import grpc
import msgspec

from coltsfootseam.calls.service import CHANNEL_OPTIONS, SERVICE_NAME, Method
from coltsfootseam.results import Refusal, ResultCode


class CallClients:
    """Calls other processes, over one channel per address.

    A call that times out closes its channel, as an established connection can
    stop delivering data while new ones work.
    """

    __slots__ = ("_channels_by_address",)

    def __init__(self) -> None:
        self._channels_by_address: dict[str, grpc.aio.Channel] = {}

    async def call(
        self, address: str, method: Method, request: Any, timeout_s: float
    ) -> Any:
        """Calls a method of the process at an address.

        Returns:
            The method's reply, or a refusal with ``UNREACHABLE``.
        """
        channel = self._channel(address)
        send = channel.unary_unary(
            f"/{SERVICE_NAME}/{method.name}",
            request_serializer=msgspec.msgpack.encode,
            response_deserializer=msgspec.msgpack.Decoder(method.reply).decode,
        )
        try:
            return await send(request, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
                await self._close_channel(address, channel, timeout_s)
            return _unreachable(address, method, error.code().name)
        except asyncio.CancelledError:
            # gRPC cancels the other calls of a channel that is closed. They
            # are refused; only a cancellation of the task itself propagates.
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            return _unreachable(address, method, "channel closed")

    async def close(self) -> None:
        """Closes every channel."""
        channels = list(self._channels_by_address.values())
        self._channels_by_address.clear()
        for channel in channels:
            await channel.close()

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channels_by_address.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(
                address, options=CHANNEL_OPTIONS
            )
            self._channels_by_address[address] = channel
        return channel

    async def _close_channel(
        self, address: str, channel: grpc.aio.Channel, grace_s: float
    ) -> None:
        if self._channels_by_address.get(address) is channel:
            del self._channels_by_address[address]
        await channel.close(grace=grace_s)


def _unreachable(address: str, method: Method, reason: str) -> Refusal:
    return Refusal(
        ResultCode.UNREACHABLE, f"{address}: {method.name}: {reason}"
    )


@contextlib.asynccontextmanager
async def calling() -> AsyncIterator[CallClients]:
    """Yields clients that are closed when the context ends."""
    clients = CallClients()
    try:
        yield clients
    finally:
        await clients.close()
