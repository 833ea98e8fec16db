"""HTTP servers for the platform's store, workers and machines.

They follow the platform's documentation and serve the in-memory stand-ins on
loopback, so that managers can run against them as real processes.
"""

import asyncio
import base64
import struct
import weakref
from typing import Any

import msgspec
from aiohttp import web

from coltsfootseam.adapter.tasks import parse_task_name, task_name
from coltsfootseam.jobs import RunEnd
from coltsfootseam.results import Refusal
from coltsfootseam.standins.memory_store import MemoryStore
from coltsfootseam.standins.memory_worker import MemoryWorker
from coltsfootseam.standins.memory_workers import MemoryWorkers
from coltsfootseam.store import (
    Appended,
    Conflict,
    HistoryGone,
    KeyedRecord,
    Partition,
    StoredRecord,
    Writer,
)
from coltsfootseam.timers import LoopTimers
from coltsfootseam.workers import (
    HeartbeatReply,
    HeartbeatRequest,
    OrderOutcome,
    StartOrder,
    StopOrder,
    WorkerEntry,
)

_RECORD_LENGTH = struct.Struct(">I")
_POLL_S = 0.1
_REASONS_BY_OUTCOME = {
    OrderOutcome.FENCED: "fence",
    OrderOutcome.OLD: "old",
    OrderOutcome.LATE: "late",
}


class StoreServer:
    """Serves a store over HTTP.

    Attributes:
        store: The store that it serves.
        is_down: Whether every call is answered with 503.
        call_count: Number of calls received.
    """

    def __init__(self) -> None:
        self.store = MemoryStore(LoopTimers())
        self._client = self.store.client()
        self.is_down = False
        self.call_count = 0

    def put(self, topic: str, key: str, value: object) -> None:
        """Writes a record as the operator or a worker would."""
        self.store.put(Partition(topic), key, msgspec.json.encode(value))

    def application(self) -> web.Application:
        """Returns the web application."""
        app = web.Application(middlewares=[self._count_call])
        app.router.add_post("/api/log-append", self._append)
        app.router.add_get("/api/log-read", self._read)
        app.router.add_get("/api/log-newest", self._latest)
        app.router.add_post("/api/log-join", self._join)
        app.router.add_post("/api/log-leave", self._leave)
        app.router.add_get("/api/log-owners", self._owners)
        app.router.add_get("/api/machines", self._machines)
        return app

    @web.middleware
    async def _count_call(self, request: web.Request, handler: Any) -> Any:
        self.call_count += 1
        if self.is_down:
            return web.Response(status=503)
        return await handler(request)

    async def _append(self, request: web.Request) -> web.Response:
        query = request.query
        writer = None
        if "producer" in query:
            writer = Writer(
                query["producer"], int(query["epoch"]), int(query["seq"])
            )
        partition = _partition(request)
        records = _split_records(await request.read())
        if "at" in query:
            at = self.store.apply_append_at(
                partition, records, int(query["at"])
            )
            if isinstance(at, Conflict):
                end = self.store.partition_log(partition).end
                return web.json_response({"end": end}, status=412)
            assert isinstance(at, Appended)
            return web.json_response({"offset": at.offset, "end": at.end})
        result = self.store.apply_append(partition, records, writer)
        if isinstance(result, Refusal):
            return web.json_response({"reason": result.reason}, status=409)
        return web.json_response({"offset": result.offset, "end": result.end})

    async def _read(self, request: web.Request) -> web.Response:
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        page = await self._client.read(
            _partition(request), int(request.query["from"]), wait_s
        )
        if isinstance(page, HistoryGone):
            part = self.store.partition_log(_partition(request))
            return web.json_response({"first": part.first}, status=410)
        if isinstance(page, Refusal):
            return web.Response(status=503)
        body = struct.pack(">QQ", page.end, page.first)
        body += b"".join(_join_record(record) for record in page.records)
        return web.Response(body=body)

    async def _latest(self, request: web.Request) -> web.Response:
        part = self.store.partition_log(_partition(request))
        after = request.query.get("depends_on", "")
        items = [
            {
                "key": key,
                "offset": record.offset,
                "value": base64.b64encode(record.value).decode(),
            }
            for key, record in sorted(part.latest_by_key.items())
            if key > after
        ]
        page = {"items": items[:2], "more": len(items) > 2, "end": part.end}
        return web.json_response(page)

    async def _join(self, request: web.Request) -> web.Response:
        body = await request.json()
        assignment = self.store.apply_join(
            body["group"], body["member"], body["ttl_ms"] / 1000
        )
        parts = [
            [body["topics"][0], number, 0] for number in assignment.numbers
        ]
        return web.json_response(
            {"generation": assignment.generation, "parts": parts}
        )

    async def _leave(self, request: web.Request) -> web.Response:
        body = await request.json()
        self.store.apply_leave(body["group"], body["member"])
        return web.json_response({})

    async def _owners(self, request: web.Request) -> web.Response:
        rows = [
            ["duties", holder.number, holder.member, 0]
            for holder in self.store.list_partition_holders(
                request.query["group"]
            )
        ]
        return web.json_response({"parts": rows})

    async def _machines(self, request: web.Request) -> web.Response:
        del request
        return web.json_response({"machines": [], "next_token": None})


class WorkerServer:
    """Serves one worker over HTTP, also after its machine starts again.

    A call under way while the machine loses power is not answered, and its
    caller isn't told. The next incarnation resets older connections.
    """

    def __init__(self, workers: MemoryWorkers, entry: WorkerEntry) -> None:
        self._workers = workers
        self._worker = workers.add(entry)
        self._calls = workers.calls("all")
        self._incarnations_by_connection: weakref.WeakKeyDictionary[
            asyncio.Transport, MemoryWorker
        ] = weakref.WeakKeyDictionary()

    def lose_power(self) -> None:
        """Ends the worker's incarnation."""
        self._workers.kill(self._worker.entry.instance_id)

    def restore_power(self, entry: WorkerEntry) -> MemoryWorker:
        """Starts the next incarnation, whose clock starts anew."""
        self._worker = self._workers.add(entry)
        return self._worker

    def application(self) -> web.Application:
        """Returns the web application."""
        app = web.Application(middlewares=[self._call_incarnation])
        app.router.add_post("/api/run-start", self._start)
        app.router.add_post("/api/run-stop", self._stop)
        app.router.add_post("/api/hold", self._hold)
        return app

    @web.middleware
    async def _call_incarnation(
        self, request: web.Request, handler: Any
    ) -> web.Response:
        """Answers a call unless the worker's incarnation ends meanwhile."""
        connection = request.transport
        assert connection is not None
        called = self._incarnations_by_connection.setdefault(
            connection, self._worker
        )
        if not called.is_dead:
            response: web.Response = await handler(request)
            if not called.is_dead:
                return response
        elif called is not self._worker:
            connection.abort()
        return await self._leave_unanswered(request)

    async def _leave_unanswered(self, request: web.Request) -> web.Response:
        """Waits until the caller closes the connection."""
        while True:
            await asyncio.sleep(_POLL_S)
            if request.transport is None or request.transport.is_closing():
                return web.Response(status=503)

    async def _start(self, request: web.Request) -> web.Response:
        body = await request.json()
        order = StartOrder(
            parse_task_name(body["task"]),
            body["run"],
            body["spec"],
            body["deadline_ms"],
            body["fencing_token"],
        )
        reply = self._reply(self._workers.apply_start(self._worker, order))
        if self._worker.faults.loses_start_replies:
            return await self._leave_unanswered(request)
        return reply

    async def _stop(self, request: web.Request) -> web.Response:
        body = await request.json()
        order = StopOrder(
            parse_task_name(body["task"]), body["run"], body["fencing_token"]
        )
        return self._reply(self._workers.apply_stop(self._worker, order))

    async def _hold(self, request: web.Request) -> web.Response:
        body = await request.json()
        order = HeartbeatRequest(
            body["fencing_token"],
            body["last_seen"],
            body.get("deadline_ms"),
            body.get("wait_ms", 0),
        )
        report = await self._calls.heartbeat(self._worker.entry, order)
        if not isinstance(report, HeartbeatReply):
            if report.outcome is OrderOutcome.UNKNOWN:
                return await self._leave_unanswered(request)
            return self._reply(report.outcome)
        return web.json_response(
            {
                "clock_ms": report.clock_ms,
                "born": report.started_ms,
                "running": [
                    [task_name(row.task), row.number, "", 50, 0]
                    for row in report.running
                ],
                "ended": [
                    [
                        row.sequence,
                        task_name(row.task),
                        row.number,
                        RunEnd(row.end).name.lower(),
                        "",
                    ]
                    for row in report.ended
                ],
            }
        )

    def _reply(self, outcome: OrderOutcome) -> web.Response:
        clock_ms = self._workers.clock_ms(self._worker)
        if outcome is OrderOutcome.DONE:
            return web.json_response({"clock_ms": clock_ms})
        reason = _REASONS_BY_OUTCOME[outcome]
        return web.json_response(
            {"clock_ms": clock_ms, "reason": reason}, status=409
        )


def _partition(request: web.Request) -> Partition:
    topic = request.query["topic"].removeprefix("keyed.")
    return Partition(topic, int(request.query["part"]))


def _split_records(body: bytes) -> list[KeyedRecord]:
    records = []
    position = 0
    while position < len(body):
        (length,) = _RECORD_LENGTH.unpack_from(body, position)
        position += _RECORD_LENGTH.size
        content = body[position : position + length]
        position += length
        key_end = 1 + content[0]
        records.append(
            KeyedRecord(content[1:key_end].decode(), content[key_end:])
        )
    return records


def _join_record(record: StoredRecord) -> bytes:
    key = record.key.encode()
    content = bytes([len(key)]) + key + record.value
    return _RECORD_LENGTH.pack(len(content)) + content


def worker_entry(instance_id: str, address: str, zone: str) -> WorkerEntry:
    """Returns the entry of a worker of the pool ``pool``."""
    return WorkerEntry(
        worker_id=f"{instance_id}@7",
        instance_id=instance_id,
        started_ms=7,
        pool="pool",
        address=address,
        zone=zone,
        is_draining=False,
        remaining_ms=None,
        cpu_millis=4000,
        memory_mb=4000,
        accelerators=0,
        labels=(zone, "r1"),
    )


def report_of(entry: WorkerEntry) -> dict[str, object]:
    """Returns what a worker writes of itself to the store."""
    return {
        "service": entry.pool,
        "addr": entry.address,
        "zone": entry.zone,
        "state": "ready",
        "born": entry.started_ms,
        "capacity": {"cpu": entry.cpu_millis, "mem_mb": entry.memory_mb},
        "labels": list(entry.labels),
    }


def configuration(
    version: int, host: str, prefix: str, max_attempts: int
) -> dict[str, object]:
    """Returns a configuration with one queue, of the pool ``pool``."""
    route = {
        "name": "r",
        "host": host,
        "path_prefix": prefix,
        "service": "pool",
        "max_attempts": max_attempts,
        "stretch": 2.0,
        "target_latency_ms": 600,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "pool"}],
    }
