"""Stand-in of an endpoint that runs requests in slots and keeps a tally.

The headers of a request set how long it runs (``X-Run-Ms``) and the size of
its response (``X-Answer-Bytes``). ``X-Chunked`` requests a response without a
content length. ``X-Operation`` identifies the operation, so that the tally
shows whether it ran twice.
"""

import argparse
import asyncio
import hashlib
import time
from collections import Counter

import msgspec
from aiohttp import web

from coltsfootseam.standins.serving import json_response, serve_forever

_MS_PER_S = 1000
_CHUNK_BYTES = 16 * 1024
_LEAVING_GRACE_S = 3.0


class EndpointFaults(msgspec.Struct):
    """Faults of the endpoint.

    Attributes:
        leaving: It isn't ready and closes connections after each response,
            but still runs requests that arrive.
        refusing: It refuses every request without running it.
        failing: It aborts the connection after it ran the request.
        cutting: It aborts the connection in the middle of the response.
        hanging: It doesn't respond until the fault is cleared.
    """

    leaving: bool = False
    refusing: bool = False
    failing: bool = False
    cutting: bool = False
    hanging: bool = False


class EndpointTally(msgspec.Struct):
    """What the endpoint observed.

    Attributes:
        name: Name of the endpoint.
        runs_by_operation: How often each operation ran.
        most_at_once: Maximum number of requests in progress at once.
        over_slots: Requests that arrived while all slots were in use.
        over_connections: Requests that arrived while the maximum number of
            connections was in use.
        work_after_leaving: Requests that arrived after the grace period since
            the endpoint started to leave.
        version_went_back: Requests with a lower host version than an earlier
            request.
        two_pools: Requests that arrived while those of another pool were in
            progress.
        interrupted: Requests whose connection broke before the response.
        busy_s: Seconds of work, summed over all slots.
    """

    name: str
    runs_by_operation: dict[str, int] = {}
    most_at_once: int = 0
    over_slots: int = 0
    over_connections: int = 0
    work_after_leaving: int = 0
    version_went_back: int = 0
    two_pools: int = 0
    interrupted: int = 0
    busy_s: float = 0.0


class EndpointStandIn:
    """Runs requests and counts violations of what the system guarantees."""

    def __init__(self, name: str, slots: int, connections: int) -> None:
        self.faults = EndpointFaults()
        self.tally = EndpointTally(name)
        self._slots = asyncio.Semaphore(slots)
        self._slot_count = slots
        self._connection_count = connections
        self._in_progress_by_pool: Counter[str] = Counter()
        self._highest_version = 0
        self._leaving_since_s = 0.0
        self._not_hanging = asyncio.Event()
        self._not_hanging.set()

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the faults."""
        was_leaving = self.faults.leaving
        self.faults = msgspec.json.decode(
            await request.read(), type=EndpointFaults
        )
        if self.faults.leaving and not was_leaving:
            self._leaving_since_s = time.monotonic()
        if self.faults.hanging:
            self._not_hanging.clear()
        else:
            self._not_hanging.set()
        return json_response(self.faults)

    async def show_tally(self, request: web.Request) -> web.Response:
        """Responds with the tally."""
        del request
        return json_response(self.tally)

    async def show_readiness(self, request: web.Request) -> web.Response:
        """Responds with status 200 if the endpoint accepts new requests."""
        del request
        await self._not_hanging.wait()
        is_ready = not (self.faults.leaving or self.faults.refusing)
        return web.Response(status=200 if is_ready else 503)

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Runs one request."""
        if self.faults.refusing:
            return web.Response(status=503, headers={"X-Not-Run": "1"})
        pool = request.headers.get("X-Pool", "")
        self._check_arrival(request, pool)
        self._in_progress_by_pool[pool] += 1
        try:
            body = await request.read()
            async with self._slots:
                await self._simulate_run(request)
            await self._not_hanging.wait()
            return await self._respond(request, body)
        except ConnectionError:
            self.tally.interrupted += 1
            raise
        finally:
            self._in_progress_by_pool[pool] -= 1

    def _check_arrival(self, request: web.Request, pool: str) -> None:
        in_progress = self._in_progress_by_pool.total()
        tally = self.tally
        tally.most_at_once = max(tally.most_at_once, in_progress + 1)
        tally.over_slots += in_progress >= self._slot_count
        tally.over_connections += in_progress >= self._connection_count
        tally.two_pools += self._in_progress_by_pool[pool] != in_progress
        version = int(request.headers.get("X-Host-Version", "0"))
        tally.version_went_back += version < self._highest_version
        self._highest_version = max(self._highest_version, version)
        if self.faults.leaving:
            is_late = (
                time.monotonic() - self._leaving_since_s > _LEAVING_GRACE_S
            )
            tally.work_after_leaving += is_late

    async def _simulate_run(self, request: web.Request) -> None:
        operation = request.headers.get("X-Operation", "")
        if operation:
            runs = self.tally.runs_by_operation
            runs[operation] = runs.get(operation, 0) + 1
        run_s = int(request.headers.get("X-Run-Ms", "0")) / _MS_PER_S
        await asyncio.sleep(run_s)
        self.tally.busy_s += run_s

    async def _respond(
        self, request: web.Request, body: bytes
    ) -> web.StreamResponse:
        if self.faults.failing:
            assert request.transport is not None
            request.transport.abort()
        size = int(request.headers.get("X-Answer-Bytes", "64"))
        operation = request.headers.get("X-Operation", "")
        content = make_response_body(operation, body, size)
        headers = {}
        if "X-Chunked" not in request.headers:
            headers["Content-Length"] = str(size)
        if self.faults.leaving:
            headers["Connection"] = "close"
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        for start in range(0, size, _CHUNK_BYTES):
            if self.faults.cutting and start >= size // 2:
                assert request.transport is not None
                request.transport.abort()
            await response.write(content[start : start + _CHUNK_BYTES])
        await response.write_eof()
        return response


def make_response_body(operation: str, body: bytes, size: int) -> bytes:
    """Returns the only correct response body of a request."""
    seed = hashlib.sha256(operation.encode() + b"\x00" + body).hexdigest()
    repeats = size // len(seed) + 1
    return (seed * repeats)[:size].encode()


async def serve_endpoint(arguments: argparse.Namespace) -> None:
    """Serves an endpoint until cancelled."""
    endpoint = EndpointStandIn(
        arguments.name, arguments.slots, arguments.connections
    )
    app = web.Application(client_max_size=1024 * 1024 * 1024)
    app.add_routes(
        [
            web.get("/readyz", endpoint.show_readiness),
            web.get("/standin/tally", endpoint.show_tally),
            web.post("/standin/faults", endpoint.set_faults),
            web.route("*", "/{path:.*}", endpoint.run),
        ]
    )
    await serve_forever(app, arguments.listen)
