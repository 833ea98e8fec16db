"""Accepts the connections of a port."""

import asyncio
import errno
import socket

from aiohttp import web

from coltsfootseam.connections.internal.connection import (
    RECEIVE_BYTES,
    Connection,
)
from coltsfootseam.connections.internal.table import ConnectionTable
from coltsfootseam.connections.port import Port

_LISTEN_BACKLOG = 512
_SEND_BUFFER_BYTES = 32 * 1024
_ACCEPTS_AT_ONCE = 16
_ACCEPT_RETRY_S = 0.1


class Listener:
    """Accepts connections of a port.

    Attributes:
        table: The open connections.
    """

    def __init__(self, server: web.Server, port: Port) -> None:
        self._server = server
        self._port = port
        self.table = ConnectionTable(port.limits, port.report)
        self._socket = _listening_socket(port.address)
        self._connecting: set[asyncio.Task[None]] = set()
        self._task = asyncio.ensure_future(self._accept_all())

    async def stop(self) -> None:
        """Accepts no more connections; those that are open stay."""
        self._task.cancel()
        await asyncio.wait((self._task,))
        self._socket.close()

    async def _accept_all(self) -> None:
        loop = asyncio.get_running_loop()
        accepted = 0
        while True:
            try:
                client, _ = await loop.sock_accept(self._socket)
            except OSError as error:
                if error.errno != errno.ECONNABORTED:
                    self.table.count_closed("accept_failed")
                    await asyncio.sleep(_ACCEPT_RETRY_S)
                continue
            try:
                await self.table.wait_for_slot()
            except BaseException:
                client.close()
                raise
            task = asyncio.ensure_future(self._connect(client))
            self._connecting.add(task)
            task.add_done_callback(self._connecting.discard)
            accepted += 1
            if accepted % _ACCEPTS_AT_ONCE == 0:
                await asyncio.sleep(0)

    async def _connect(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with self.table.connecting():
            try:
                await loop.connect_accepted_socket(self._make, client)
            except OSError:
                client.close()

    def _make(self) -> Connection:
        return Connection(
            self._server,
            self._port.request_limits,
            self.table,
            self._port.share,
        )


def _listening_socket(address: str) -> socket.socket:
    """Returns a listening socket; connections inherit its buffer sizes."""
    host, _, port = address.partition(":")
    listening = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
        )
        listening.setblocking(False)
        listening.bind((host, int(port)))
        listening.listen(_LISTEN_BACKLOG)
    except BaseException:
        listening.close()
        raise
    return listening
