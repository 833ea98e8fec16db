"""Stand-in of the platform's list of live and leaving hosts."""

import argparse
import time

import msgspec
from aiohttp import web

from coltsfootseam.standins.serving import json_response, serve_forever


class Host(msgspec.Struct):
    """A host as the platform lists it."""

    host_id: str
    zone: str
    rack: str
    address: str
    slots: int
    connections: int
    state: str = "live"


class HostListChange(msgspec.Struct):
    """Adds, replaces or removes hosts after a lag.

    Attributes:
        hosts: Hosts to add, or to replace by their id.
        removed: Ids of hosts to remove.
        lag_s: Delay until the list shows the change.
        down: Whether reads fail from now on, without the lag.
    """

    hosts: list[Host] = []
    removed: list[str] = []
    lag_s: float = 0.0
    down: bool = False


class _Pending(msgspec.Struct):
    due_s: float
    change: HostListChange


class HostListStandIn:
    """Keeps hosts in memory and shows changes after their lag."""

    def __init__(self) -> None:
        self._hosts_by_id: dict[str, Host] = {}
        self._pending: list[_Pending] = []
        self._version = 0
        self._down = False

    async def change(self, request: web.Request) -> web.Response:
        """Accepts a change."""
        change = msgspec.json.decode(await request.read(), type=HostListChange)
        self._down = change.down
        due_s = time.monotonic() + change.lag_s
        self._pending.append(_Pending(due_s, change))
        return json_response(change)

    async def read(self, request: web.Request) -> web.Response:
        """Responds with the list, without changes that aren't due yet."""
        if self._down:
            return web.Response(status=503)
        self._apply_due_changes()
        etag = f'"{self._version}"'
        if request.headers.get("If-None-Match") == etag:
            return web.Response(status=304)
        response = json_response(list(self._hosts_by_id.values()))
        response.headers["ETag"] = etag
        return response

    def _apply_due_changes(self) -> None:
        now_s = time.monotonic()
        due = [each for each in self._pending if each.due_s <= now_s]
        self._pending = [each for each in self._pending if each.due_s > now_s]
        for each in due:
            self._version += 1
            for host in each.change.hosts:
                self._hosts_by_id[host.host_id] = host
            for host_id in each.change.removed:
                self._hosts_by_id.pop(host_id, None)


async def serve_host_list(arguments: argparse.Namespace) -> None:
    """Serves the host list until cancelled."""
    host_list = HostListStandIn()
    app = web.Application(client_max_size=16 * 1024 * 1024)
    app.add_routes(
        [
            web.get("/hosts", host_list.read),
            web.post("/hosts", host_list.change),
        ]
    )
    await serve_forever(app, arguments.listen)
