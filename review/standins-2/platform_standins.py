"""Stand-ins of the platform: its store, its machine API and its workers.

They follow PROTOCOL and run in the process of a case's driver. Each listens on
a loopback address of its own.
"""

import asyncio
import base64
import json
import struct
import time

from aiohttp import web

_LENGTH = struct.Struct(">I")
_MAX_PAGE_ITEMS = 500
_MAX_LISTED_ENDS = 500
_REMEMBERED_APPENDS = 5


def now_ms():
    """Returns the time of day in Unix milliseconds."""
    return int(time.time() * 1000)


class HttpStandIn:
    """An HTTP server that can end like a process that is killed."""

    def __init__(self, ip, port):
        self.address = f"{ip}:{port}"
        self._ip = ip
        self._port = port
        self._server = None
        self._runner = None
        self.other_ips = ()

    async def listen(self):
        """Starts to listen."""
        self._server = web.Server(self.handle, access_log=None)
        self._runner = web.ServerRunner(self._server, shutdown_timeout=0)
        await self._runner.setup()
        for ip in (self._ip, *self.other_ips):
            site = web.TCPSite(
                self._runner, ip, self._port, reuse_address=True, backlog=512
            )
            await site.start()

    async def drop(self):
        """Resets all connections and stops listening, as a kill does."""
        runner, self._runner = self._runner, None
        if runner is None:
            return
        for connection in list(self._server.connections):
            if connection.transport is not None:
                connection.transport.abort()
        await runner.cleanup()

    async def handle(self, request):
        """Answers a request."""
        raise NotImplementedError


def reply(body, status=200):
    """Returns a JSON response."""
    return web.Response(
        status=status,
        body=json.dumps(body).encode(),
        content_type="application/json",
    )


def lost(request):
    """Resets a request's connection."""
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=200)


async def silent(request):
    """Answers nothing, on a connection that returns nothing further."""
    await asyncio.sleep(60)
    return lost(request)


class _Part:
    """One partition: its records, and the newest of each key."""

    def __init__(self):
        self.records = []
        self.newest_by_key = {}
        self.writers_by_name = {}
        self.changed = asyncio.Event()

    def apply(self, contents):
        """Appends records."""
        offset = len(self.records)
        for content in contents:
            key = content[1 : 1 + content[0]].decode()
            value = content[1 + content[0] :]
            if value:
                self.newest_by_key[key] = (len(self.records), value)
            else:
                self.newest_by_key.pop(key, None)
            self.records.append(content)
        self.changed.set()
        self.changed = asyncio.Event()
        return {"offset": offset, "end": len(self.records)}


class Store(HttpStandIn):
    """The metadata store: a log with keyed topics, writers and groups.

    `lose` decides about each append, after it was read and before it is
    carried out. It returns None, or the seconds after which an append whose
    reply is lost is carried out. While `is_silent`, nothing is answered.
    """

    def __init__(self, ip, port, record, parts=12, append_s=0.002):
        super().__init__(ip, port)
        self._record = record
        self._parts = {}
        self._groups = {}
        self._part_count = parts
        self._append_s = append_s
        self.lose = lambda topic, part, contents, query: None
        self.is_silent = False
        self._silent_transports = set()
        self._late = set()

    def part(self, topic, number):
        """Returns a partition, which its first use creates."""
        return self._parts.setdefault((topic, number), _Part())

    def put(self, topic, key, value):
        """Writes a record as the operator or a worker."""
        name = key.encode()
        body = b"" if value is None else json.dumps(value).encode()
        self.part(f"keyed.{topic}", 0).apply([bytes([len(name)]) + name + body])

    def get(self, topic, key):
        """Returns the newest value of a key."""
        found = self.part(f"keyed.{topic}", 0).newest_by_key.get(key)
        return None if found is None else json.loads(found[1])

    async def handle(self, request):
        name = request.path.removeprefix("/api/").replace("-", "_")
        method = getattr(self, f"_{name}", None)
        if method is None:
            return reply({}, 404)
        if self.is_silent and name != "log_append":
            return await silent(request)
        answer = await method(request)
        if self.is_silent or request.transport in self._silent_transports:
            return await silent(request)
        return answer

    def silence_open_connections(self, ip):
        """Has the open connections to an address return nothing further."""
        self._silent_transports.update(
            connection.transport for connection in self._server.connections
            if connection.transport is not None
            and connection.transport.get_extra_info("sockname")[0] == ip
        )

    async def _log_append(self, request):
        query = request.query
        topic, number = query["topic"], int(query["part"])
        contents = _split(await request.read())
        delay_s = self.lose(topic, number, contents, query)
        if delay_s is not None:
            task = asyncio.ensure_future(
                self._append_late(delay_s, topic, number, contents, dict(query))
            )
            self._late.add(task)
            task.add_done_callback(self._late.discard)
            return await silent(request)
        await asyncio.sleep(self._append_s)
        body, status = self._append(topic, number, contents, query)
        return reply(body, status)

    async def _append_late(self, delay_s, topic, number, contents, query):
        await asyncio.sleep(delay_s)
        body, status = self._append(topic, number, contents, query)
        self._record("store carries out a late append", topic=topic,
                     part=number, keys=[_key(c) for c in contents],
                     status=status, offset=body.get("offset"))

    def _append(self, topic, number, contents, query):
        part = self.part(topic, number)
        if "at" in query and int(query["at"]) != len(part.records):
            return {"end": len(part.records)}, 412
        if "producer" not in query:
            return part.apply(contents), 200
        epoch, seq = int(query["epoch"]), int(query["seq"])
        writer = part.writers_by_name.setdefault(
            query["producer"], {"epoch": -1, "seq": None, "replies": {}}
        )
        if epoch < writer["epoch"]:
            return {"reason": "fenced"}, 409
        if epoch > writer["epoch"]:
            writer.update(epoch=epoch, seq=None, replies={})
        elif seq in writer["replies"]:
            return writer["replies"][seq], 200
        elif seq != writer["seq"] + 1:
            return {"reason": "seq", "seq": writer["seq"] + 1}, 409
        body = part.apply(contents)
        writer["seq"] = seq
        writer["replies"][seq] = body
        writer["replies"].pop(seq - _REMEMBERED_APPENDS, None)
        return body, 200

    async def _log_read(self, request):
        query = request.query
        part = self.part(query["topic"], int(query["part"]))
        start = int(query["from"])
        until_s = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while start >= len(part.records):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(part.changed.wait(), left_s)
            except TimeoutError:
                break
        body = struct.pack(">QQ", len(part.records), 0)
        for content in part.records[start : start + 2000]:
            body += _LENGTH.pack(len(content)) + content
        return web.Response(body=body)

    async def _log_newest(self, request):
        query = request.query
        part = self.part(query["topic"], int(query["part"]))
        after = query.get("depends_on", "")
        keys = sorted(key for key in part.newest_by_key if key > after)
        items = []
        for key in keys[:_MAX_PAGE_ITEMS]:
            offset, value = part.newest_by_key[key]
            items.append({"key": key, "offset": offset,
                          "value": base64.b64encode(value).decode()})
        return reply({"items": items, "more": len(keys) > _MAX_PAGE_ITEMS,
                      "end": len(part.records)})

    def _members(self, group):
        now_s = time.monotonic()
        found = self._groups.setdefault(group, {"generation": 0, "by_name": {}})
        gone = [name for name, until_s in found["by_name"].items()
                if until_s < now_s]
        for name in gone:
            del found["by_name"][name]
        if gone:
            found["generation"] += 1
        return found

    def _numbers(self, found, member):
        names = list(found["by_name"])
        return list(range(names.index(member), self._part_count, len(names)))

    async def _log_join(self, request):
        body = json.loads(await request.read())
        found = self._members(body["group"])
        if body["member"] not in found["by_name"]:
            found["generation"] += 1
        found["by_name"][body["member"]] = (
            time.monotonic() + body["ttl_ms"] / 1000
        )
        rows = [[body["topics"][0], number, 0]
                for number in self._numbers(found, body["member"])]
        return reply({"generation": found["generation"], "parts": rows})

    async def _log_leave(self, request):
        body = json.loads(await request.read())
        found = self._members(body["group"])
        if found["by_name"].pop(body["member"], None) is not None:
            found["generation"] += 1
        return reply({})

    async def _log_owners(self, request):
        group = request.query["group"]
        found = self._members(group)
        rows = [[group, number, name, 0] for name in found["by_name"]
                for number in self._numbers(found, name)]
        return reply({"parts": rows})


def _key(content):
    return content[1 : 1 + content[0]].decode(errors="replace")


def _split(body):
    contents = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        contents.append(body[position : position + length])
        position += length
    return contents


class Machines(HttpStandIn):
    """The machine API: lists the machines of the workers."""

    def __init__(self, ip, port):
        super().__init__(ip, port)
        self.workers = []

    async def handle(self, request):
        if request.path != "/api/machines":
            return reply({"reason": "busy"}, 409)
        rows = [
            {"machine": worker.machine, "pool": worker.service,
             "state": "up" if worker.is_up else "down", "zone": worker.zone,
             "labels": worker.labels, "capacity": worker.capacity,
             **({"id": worker.id} if worker.is_up else {})}
            for worker in self.workers if not worker.is_gone
        ]
        return reply({"machines": rows, "next_token": None})


class Worker(HttpStandIn):
    """A worker, which may start again under its id.

    `on_start` is called with each start before it is looked at; if it returns
    True, the process of the worker ends there and then.
    """

    def __init__(self, ip, port, store, record, wid, service, zone, runs_s,
                 hold_max_s=10.0, stop_s=0.2, heartbeat_s=1.5):
        super().__init__(ip, port)
        self._store = store
        self._record = record
        self._runs_s = runs_s
        self._hold_max_s = hold_max_s
        self._stop_s = stop_s
        self._heartbeat_s = heartbeat_s
        self.id = wid
        self.machine = f"m-{wid}"
        self.service = service
        self.zone = zone
        self.labels = ["a", f"rack-{zone}"]
        self.capacity = {"cpu": 32000, "mem_mb": 65536}
        self.is_up = False
        self.is_gone = False
        self.on_start = lambda body: False
        self.intervals = []
        self._tasks = []
        self._seq = 0
        self._expiry = None

    async def begin(self):
        """Starts the process, which knows nothing of an earlier life."""
        self.born = now_ms()
        self._started_s = time.monotonic()
        self._token = 0
        self._lease_s = 0.0
        self._running = {}
        self._ended = []
        self._count = 0
        self._highest = {}
        self._changed = asyncio.Event()
        self._seq = 0
        self.is_up = True
        await self.listen()
        self._record("worker begins", worker=self.id, born=self.born)
        self._tasks = [asyncio.ensure_future(self._report_forever()),
                       asyncio.ensure_future(self._watch_lease())]

    async def crash(self):
        """Ends the process; what runs on it ends with it."""
        self.is_up = False
        for task in self._tasks:
            task.cancel()
        for run in list(self._running.values()):
            self._close(run, "crashed")
        self._running.clear()
        self._record("worker crashes", worker=self.id, born=self.born)
        await self.drop()

    def clock_ms(self):
        """Returns the worker's steady clock, which starts with its life."""
        return int((time.monotonic() - self._started_s) * 1000)

    async def _report_forever(self):
        while True:
            self._seq += 1
            self._store.put("servers", self.id, {
                "service": self.service, "addr": self.address,
                "zone": self.zone, "version": "1", "slots": 8,
                "state": "ready", "cold_left_ms": 0, "seq": self._seq,
                "capacity": self.capacity, "labels": self.labels,
                "machine": self.machine, "born": self.born,
            })
            if self._expiry is not None:
                self._expiry.cancel()
            self._expiry = asyncio.get_running_loop().call_later(
                3 * self._heartbeat_s, self._store.put, "servers", self.id, None
            )
            await asyncio.sleep(self._heartbeat_s)

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.01)
            if self._running and time.monotonic() >= self._lease_s:
                for run in list(self._running.values()):
                    self._end(run, "lapsed")

    def _extend(self, deadline_ms):
        if deadline_ms is None:
            return
        end_s = self._started_s + deadline_ms / 1000
        end_s = min(end_s, time.monotonic() + self._hold_max_s)
        self._lease_s = max(self._lease_s, end_s)

    def _close(self, run, how):
        run["timer"].cancel()
        interval = run["interval"]
        interval["end_s"] = time.monotonic()
        interval["how"] = how

    def _end(self, run, how):
        if self._running.get(run["task"]) is not run:
            return
        del self._running[run["task"]]
        self._close(run, how)
        self._highest[run["task"]] = max(
            self._highest.get(run["task"], 0), run["run"]
        )
        self._count += 1
        self._ended.append([self._count, run["task"], run["run"], how, ""])
        self._record("worker ends a run", worker=self.id, born=self.born,
                     task=run["task"], run=run["run"], how=how)
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, request):
        life = self.born
        body = json.loads(await request.read())
        if not self.is_up or life != self.born:
            # This process ended while the request was being read.
            return lost(request)
        if request.headers.get(
            "Coltsfootseam-Expect-Instance", self.id
        ) != self.id:
            return reply({}, 421)
        if request.path == "/api/hold":
            return await self._hold(body)
        if request.path == "/api/run-start":
            if self.on_start(body):
                await self.crash()
                return lost(request)
            return self._start(body)
        if request.path == "/api/run-stop":
            return self._stop(body)
        return reply({"clock_ms": self.clock_ms()})

    def _refuse(self, reason):
        return reply({"clock_ms": self.clock_ms(), "reason": reason}, 409)

    def _is_fenced(self, body):
        token = body.get("fencing_token", 0)
        if token < self._token:
            return True
        self._token = token
        return False

    async def _hold(self, body):
        if self._is_fenced(body):
            return self._refuse("fence")
        seen = body.get("last_seen", 0)
        self._ended = [row for row in self._ended if row[0] > seen]
        self._extend(body.get("deadline_ms"))
        wait_s = body.get("wait_ms", 0) / 1000
        if wait_s and not self._ended:
            try:
                await asyncio.wait_for(self._changed.wait(), wait_s)
            except TimeoutError:
                pass
        running = [
            [run["task"], run["run"], "", self._percent(run), 0]
            for run in self._running.values()
        ]
        return reply({"clock_ms": self.clock_ms(), "born": self.born,
                      "running": running,
                      "ended": self._ended[:_MAX_LISTED_ENDS]})

    def _percent(self, run):
        if run["long"]:
            return 100
        lasted_s = time.monotonic() - run["interval"]["start_s"]
        return min(99, int(100 * lasted_s / run["lasts_s"]))

    def _start(self, body):
        task, number = body["task"], body["run"]
        if self._is_fenced(body):
            return self._refuse("fence")
        run = self._running.get(task)
        if run is not None and run["run"] == number:
            self._extend(body.get("deadline_ms"))
            return reply({"clock_ms": self.clock_ms()})
        if number <= self._highest.get(task, 0) or (
            run is not None and number < run["run"]
        ):
            self._extend(body.get("deadline_ms"))
            return self._refuse("old")
        if body["deadline_ms"] <= self.clock_ms():
            return self._refuse("late")
        self._extend(body["deadline_ms"])
        if run is not None:
            # The pages don't say what becomes of an older run of the task
            # here; it ends before the new one begins.
            self._end(run, "stopped")
        lasts_s = self._runs_s(task)
        interval = {"task": task, "run": number, "worker": self.id,
                    "service": self.service, "born": self.born,
                    "start_s": time.monotonic(), "end_s": None, "how": None,
                    "spec": body["spec"]}
        self.intervals.append(interval)
        run = {"task": task, "run": number, "interval": interval,
               "lasts_s": lasts_s, "long": lasts_s > 1000}
        run["timer"] = asyncio.get_running_loop().call_later(
            lasts_s, self._end, run, "done"
        )
        self._running[task] = run
        self._record("worker starts a run", worker=self.id,
                     service=self.service, born=self.born, task=task, run=number, token=body["fencing_token"])
        return reply({"clock_ms": self.clock_ms()})

    def _stop(self, body):
        task, number = body["task"], body["run"]
        if self._is_fenced(body):
            return self._refuse("fence")
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._running.get(task)
        if run is not None and run["run"] <= number:
            asyncio.get_running_loop().call_later(
                self._stop_s / 2, self._end, run, "stopped"
            )
        return reply({"clock_ms": self.clock_ms()})
