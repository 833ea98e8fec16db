"""A stand-in of the platform's store, and of its list of machines.

It follows PROTOCOL.md: a log with topics and partitions, keyed topics,
producers with epochs, groups, and the limits of a record, a call, a partition
and of everything that is stored. Nothing is lost, and nothing is late.

    python3 store.py ADDRESS PARTS

``POST /standin/put?topic=T&key=K`` appends a record for the operator or a
worker, ``POST /standin/drop`` deletes one, ``GET /standin/usage`` tells how
many bytes are stored and how many appends were refused.
"""

import asyncio
import base64
import collections
import json
import struct
import sys
import time

from aiohttp import web

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
PART_BYTES = 200_000_000
TOTAL_BYTES = 400_000_000
KEEP_S = 300.0
APPEND_S = 0.002
PART_BYTES_PER_S = 20_000_000.0
MAX_WAIT_S = 2.0
REMEMBERED_APPENDS = 5
PAGE_RECORDS = 500
PAGE_BYTES = 1_000_000
ENTRY_TTL_S = 4.5
"""Three heartbeat intervals, after which a silent worker's entry goes."""

LENGTH = struct.Struct(">I")


class Producer:
    """What a partition knows of one producer."""

    def __init__(self) -> None:
        self.epoch = -1
        self.seq = -1
        self.replies = collections.OrderedDict()


class Part:
    """One partition of a topic."""

    def __init__(self) -> None:
        self.records = collections.deque()
        self.first = 0
        self.end = 0
        self.newest = {}
        self.producers = collections.defaultdict(Producer)
        self.bytes = 0
        self.busy_until_s = 0.0
        self.changed = asyncio.Event()

    def append(self, contents, is_keyed):
        """Adds records and returns the offset of the first."""
        offset = self.end
        now_s = time.monotonic()
        for content in contents:
            if is_keyed:
                key, value = split_key(content)
                if value:
                    self.newest[key] = (self.end, value)
                else:
                    self.newest.pop(key, None)
            self.records.append((now_s, content))
            self.bytes += len(content) + LENGTH.size
            self.end += 1
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def expire(self):
        """Drops the oldest records that are too old or too many."""
        oldest_s = time.monotonic() - KEEP_S
        while self.records and (
            self.records[0][0] < oldest_s or self.bytes > PART_BYTES
        ):
            _, content = self.records.popleft()
            self.bytes -= len(content) + LENGTH.size
            self.first += 1


class Group:
    """A group, which deals the partitions of a topic to its members."""

    def __init__(self, parts: int) -> None:
        self.generation = 0
        self.parts = parts
        self.seen_s = {}
        self.ttl_s = {}
        self.known = {}
        self.holder = {}

    def expire(self):
        now_s = time.monotonic()
        for member in list(self.seen_s):
            if now_s - self.seen_s[member] > self.ttl_s[member]:
                self.remove(member)

    def remove(self, member):
        if self.seen_s.pop(member, None) is None:
            return
        self.generation += 1
        for part, holder in list(self.holder.items()):
            if holder == member:
                del self.holder[part]

    def join(self, member, ttl_s, generation):
        self.expire()
        if member not in self.seen_s:
            self.generation += 1
        self.seen_s[member] = time.monotonic()
        self.ttl_s[member] = ttl_s
        self.known[member] = generation
        self.deal()
        return sorted(
            part for part, holder in self.holder.items() if holder == member
        )

    def deal(self):
        """Reassigns a partition once its holder knows of the change."""
        members = sorted(self.seen_s)
        for part in range(self.parts):
            target = members[part % len(members)]
            holder = self.holder.get(part)
            is_free = holder is None or (
                holder != target and self.known[holder] >= self.generation
            )
            if is_free:
                self.holder[part] = target


class Store:
    """All topics and groups."""

    def __init__(self, parts: int) -> None:
        self.parts = parts
        self.logs = collections.defaultdict(Part)
        self.groups = collections.defaultdict(lambda: Group(parts))
        self.put_s = {}
        self.refused = collections.Counter()
        self.largest_refused = 0
        self.machines = {}

    def log(self, request):
        query = request.query
        return self.logs[query["topic"], int(query["part"])]

    async def append(self, request):
        query = request.query
        body = await request.read()
        part = self.log(request)
        contents = split_records(body)
        longest = max(map(len, contents), default=0)
        if longest > RECORD_BYTES or len(body) > CALL_BYTES:
            self.refused["too long"] += 1
            self.largest_refused = max(self.largest_refused, longest)
            return web.Response(status=413)
        if contents:
            refusal = await self.wait_for_turn(part, len(body))
            if refusal is not None:
                return refusal
        return self.apply(query, part, contents)

    async def wait_for_turn(self, part, size):
        """Appends go one at a time."""
        if sum(log.bytes for log in self.logs.values()) + size > TOTAL_BYTES:
            self.refused["full"] += 1
            return web.Response(status=507)
        now_s = time.monotonic()
        starts_s = max(now_s, part.busy_until_s)
        if starts_s - now_s > MAX_WAIT_S:
            return web.Response(status=503)
        part.busy_until_s = starts_s + APPEND_S + size / PART_BYTES_PER_S
        await asyncio.sleep(part.busy_until_s - now_s)
        return None

    def apply(self, query, part, contents):
        is_keyed = query["topic"].startswith("keyed.")
        if "at" in query and int(query["at"]) != part.end:
            return web.json_response({"end": part.end}, status=412)
        if "producer" not in query:
            offset = part.append(contents, is_keyed)
            return web.json_response({"offset": offset, "end": part.end})
        producer = part.producers[query["producer"]]
        epoch, seq = int(query["epoch"]), int(query["seq"])
        if epoch < producer.epoch:
            return web.json_response({"reason": "fenced"}, status=409)
        if epoch > producer.epoch:
            producer.epoch, producer.seq = epoch, seq - 1
            producer.replies.clear()
        if seq in producer.replies:
            return web.json_response(producer.replies[seq])
        if seq != producer.seq + 1:
            expected = producer.seq + 1
            return web.json_response(
                {"reason": "seq", "seq": expected}, status=409
            )
        offset = part.append(contents, is_keyed)
        reply = {"offset": offset, "end": part.end}
        producer.seq = seq
        producer.replies[seq] = reply
        while len(producer.replies) > REMEMBERED_APPENDS:
            producer.replies.popitem(last=False)
        return web.json_response(reply)

    async def read(self, request):
        query = request.query
        part = self.log(request)
        start = int(query["from"])
        until_s = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while start >= part.end and time.monotonic() < until_s:
            changed = part.changed
            try:
                async with asyncio.timeout(until_s - time.monotonic()):
                    await changed.wait()
            except TimeoutError:
                break
        if start < part.first:
            return web.json_response({"first": part.first}, status=410)
        most = int(query.get("max_kb", "1024")) * 1024
        pieces = [struct.pack(">QQ", part.end, part.first)]
        size = 0
        for index in range(start - part.first, len(part.records)):
            content = part.records[index][1]
            if size and size + len(content) > most:
                break
            pieces += [LENGTH.pack(len(content)), content]
            size += len(content)
        return web.Response(body=b"".join(pieces))

    async def newest(self, request):
        part = self.log(request)
        after = request.query.get("depends_on", "")
        items = []
        size = 0
        keys = sorted(key for key in part.newest if key > after)
        for key in keys[:PAGE_RECORDS]:
            offset, value = part.newest[key]
            if items and size + len(value) > PAGE_BYTES:
                break
            size += len(value)
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": offset})
        more = len(items) < len(keys)
        return web.json_response(
            {"items": items, "more": more, "end": part.end}
        )

    async def join(self, request):
        body = await request.json()
        group = self.groups[body["group"]]
        parts = group.join(
            body["member"], body["ttl_ms"] / 1000, body["generation"]
        )
        rows = [[body["topics"][0], part, 0] for part in parts]
        return web.json_response(
            {
                "generation": group.generation,
                "ttl_ms": body["ttl_ms"],
                "parts": rows,
            }
        )

    async def leave(self, request):
        body = await request.json()
        self.groups[body["group"]].remove(body["member"])
        return web.json_response({})

    async def owners(self, request):
        group = self.groups[request.query["group"]]
        group.expire()
        rows = [
            ["duties", part, member, 0]
            for part, member in sorted(group.holder.items())
        ]
        return web.json_response({"parts": rows})

    async def list_machines(self, request):
        del request
        machines = [json.loads(entry) for entry in self.machines.values()]
        return web.json_response({"machines": machines, "next_token": None})

    async def order_machine(self, request):
        """Each machine is of a kind of its own pool, so none can move."""
        del request
        return web.Response(status=400)

    async def put(self, request):
        query = request.query
        topic, key = query["topic"], query["key"]
        self.write(topic, key, await request.read())
        if topic == "keyed.servers":
            self.put_s[key] = time.monotonic()
            if "machine" in query:
                self.machines[key] = query["machine"]
        return web.Response()

    async def drop(self, request):
        self.write(request.query["topic"], request.query["key"], b"")
        return web.Response()

    def write(self, topic, key, value):
        content = bytes([len(key)]) + key.encode() + value
        self.logs[topic, 0].append([content], True)

    async def usage(self, request):
        del request
        return web.json_response(
            {
                "bytes": sum(log.bytes for log in self.logs.values()),
                "refused": dict(self.refused),
                "largest_refused": self.largest_refused,
            }
        )

    async def expire(self):
        """Expires records, entries of silent workers and members."""
        while True:
            for log in self.logs.values():
                log.expire()
            now_s = time.monotonic()
            for key, seen_s in list(self.put_s.items()):
                if now_s - seen_s > ENTRY_TTL_S:
                    del self.put_s[key]
                    self.machines.pop(key, None)
                    self.write("keyed.servers", key, b"")
            await asyncio.sleep(0.1)


def split_records(body):
    contents = []
    position = 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        contents.append(body[position : position + length])
        position += length
    return contents


def split_key(content):
    end = 1 + content[0]
    return content[1:end].decode(), content[end:]


async def main():
    host, port = sys.argv[1].split(":")
    store = Store(int(sys.argv[2]))
    app = web.Application(client_max_size=8 * CALL_BYTES)
    app.router.add_post("/api/log-append", store.append)
    app.router.add_get("/api/log-read", store.read)
    app.router.add_get("/api/log-newest", store.newest)
    app.router.add_post("/api/log-join", store.join)
    app.router.add_post("/api/log-leave", store.leave)
    app.router.add_get("/api/log-owners", store.owners)
    app.router.add_get("/api/machines", store.list_machines)
    app.router.add_post("/api/machine-move", store.order_machine)
    app.router.add_post("/api/machine-upkeep", store.order_machine)
    app.router.add_post("/standin/put", store.put)
    app.router.add_post("/standin/drop", store.drop)
    app.router.add_get("/standin/usage", store.usage)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    await store.expire()


if __name__ == "__main__":
    asyncio.run(main())
