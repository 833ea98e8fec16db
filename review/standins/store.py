"""Stand-in of the platform's store, as the page on the protocol describes it.

It keeps everything in memory, is always up, and answers at once but for the
time that an append takes. Nothing expires within the length of a case.
"""

import asyncio
import base64
import struct
import time

from aiohttp import web

APPEND_S = 0.002
RECORD_BYTES = 262_144
PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
REMEMBERED_APPENDS = 5
_LENGTH = struct.Struct(">I")
_HEADER = struct.Struct(">QQ")


class _Producer:
    def __init__(self):
        self.epoch = -1
        self.seq = -1
        self.replies = {}


class _Part:
    """One partition: its records, its newest record of each key."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.lock = asyncio.Lock()
        self.changed = asyncio.Event()

    def append(self, contents):
        offset = len(self.records)
        for content in contents:
            key_end = 1 + content[0]
            key = content[1:key_end].decode()
            if content[key_end:]:
                self.newest[key] = (len(self.records), content[key_end:])
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        if contents:
            self.changed.set()
            self.changed = asyncio.Event()
        return {"offset": offset, "end": len(self.records)}


class _Group:
    """Deals the partitions of one topic evenly among the members."""

    def __init__(self, parts):
        self.generation = 0
        self.parts = parts
        self.members = {}  # member -> (time of its last join, ttl in s)
        self.targets = {}  # partition -> member that is to hold it
        self.holders = {}  # partition -> member that holds it

    def expire(self):
        now = time.monotonic()
        for member, (joined, ttl) in list(self.members.items()):
            if now - joined > ttl:
                self.remove(member)

    def remove(self, member):
        if self.members.pop(member, None) is None:
            return
        self.holders = {p: m for p, m in self.holders.items() if m != member}
        self._deal()

    def join(self, member, ttl, generation):
        self.expire()
        is_new = member not in self.members
        self.members[member] = (time.monotonic(), ttl)
        if is_new:
            self._deal()
        elif generation >= self.generation:
            # The member has seen the deal, so what it no longer has is free.
            for part, holder in list(self.holders.items()):
                if holder == member and self.targets[part] != member:
                    del self.holders[part]
            self._fill()
        return sorted(
            p
            for p, holder in self.holders.items()
            if holder == member and self.targets[p] == member
        )

    def _deal(self):
        self.generation += 1
        names = sorted(self.members)
        self.targets = {}
        if not names:
            return
        counts = dict.fromkeys(names, 0)
        limit = -(-self.parts // len(names))
        for part in range(self.parts):
            holder = self.holders.get(part)
            if holder in counts and counts[holder] < limit:
                self.targets[part] = holder
                counts[holder] += 1
        for part in range(self.parts):
            if part not in self.targets:
                name = min(names, key=lambda n: (counts[n], n))
                self.targets[part] = name
                counts[name] += 1
        self._fill()

    def _fill(self):
        for part, name in self.targets.items():
            self.holders.setdefault(part, name)


class StoreGate:
    """Lets one machine's calls through, or turns that machine away.

    Attributes:
        is_closed: Whether the store rejects the machine's calls with 503.
        wrote_at: When the machine last wrote under a condition, monotonic.
    """

    def __init__(self):
        self.is_closed = False
        self.closed = asyncio.Event()
        self.wrote_at = 0.0

    def close(self):
        self.is_closed = True
        self.closed.set()

    def open(self):
        self.is_closed = False
        self.closed = asyncio.Event()

    @web.middleware
    async def check(self, request, handler):
        if self.is_closed:
            return web.Response(status=503)
        if "producer" in request.query and request.body_exists:
            self.wrote_at = time.monotonic()
        if not request.path.endswith("/log-read"):
            return await handler(request)
        # A read that waits for a record is rejected as well.
        reading = asyncio.ensure_future(handler(request))
        closing = asyncio.ensure_future(self.closed.wait())
        try:
            await asyncio.wait(
                {reading, closing}, return_when=asyncio.FIRST_COMPLETED
            )
            if reading.done():
                return reading.result()
            return web.Response(status=503)
        finally:
            reading.cancel()
            closing.cancel()


class Store:
    """The store's calls, and direct access for operator and workers."""

    def __init__(self, parts=12):
        self._parts = {}
        self._group_parts = parts
        self._groups = {}

    def part(self, topic, number=0):
        return self._parts.setdefault((topic, number), _Part())

    def put(self, topic, key, value):
        """Writes a record as the operator or a worker would."""
        self.part(topic).append([bytes([len(key)]) + key.encode() + value])

    def delete(self, topic, key):
        self.part(topic).append([bytes([len(key)]) + key.encode()])

    def application(self, gate):
        """Returns the store as one machine reaches it, through its gate."""
        app = web.Application(
            client_max_size=4_000_000, middlewares=[gate.check]
        )
        app.router.add_post("/api/log-append", self._append)
        app.router.add_get("/api/log-read", self._read)
        app.router.add_get("/api/log-newest", self._newest)
        app.router.add_post("/api/log-trim", self._trim)
        app.router.add_post("/api/log-join", self._join)
        app.router.add_post("/api/log-leave", self._leave)
        app.router.add_post("/api/log-commit", self._commit)
        app.router.add_get("/api/log-owners", self._owners)
        return app

    async def _append(self, request):
        query = request.query
        topic = query["topic"]
        if topic in ("keyed.op", "keyed.servers"):
            return web.Response(status=403)
        contents = _split(await request.read())
        if any(len(content) > RECORD_BYTES for content in contents):
            return web.Response(status=400)
        part = self.part(topic, int(query["part"]))
        async with part.lock:
            await asyncio.sleep(APPEND_S)
            if "at" in query and int(query["at"]) != len(part.records):
                return web.json_response(
                    {"end": len(part.records)}, status=412
                )
            if "producer" not in query:
                return web.json_response(part.append(contents))
            producer = part.producers.setdefault(
                query["producer"], _Producer()
            )
            return self._append_as(
                part, producer, int(query["epoch"]), int(query["seq"]), contents
            )

    def _append_as(self, part, producer, epoch, seq, contents):
        if epoch < producer.epoch:
            return web.json_response({"reason": "fenced"}, status=409)
        if epoch == producer.epoch:
            if seq in producer.replies:
                return web.json_response(producer.replies[seq])
            if seq != producer.seq + 1:
                return web.json_response(
                    {"reason": "seq", "seq": producer.seq + 1}, status=409
                )
        else:
            producer.replies = {}
        producer.epoch = epoch
        producer.seq = seq
        reply = part.append(contents)
        producer.replies[seq] = reply
        producer.replies.pop(seq - REMEMBERED_APPENDS, None)
        return web.json_response(reply)

    async def _read(self, request):
        query = request.query
        part = self.part(query["topic"], int(query["part"]))
        start = int(query["from"])
        wait_s = int(query.get("wait_ms", "0")) / 1000
        until = time.monotonic() + wait_s
        while len(part.records) <= start:
            left = until - time.monotonic()
            if left <= 0:
                break
            try:
                await asyncio.wait_for(part.changed.wait(), left)
            except TimeoutError:
                break
        limit = int(query.get("max_kb", "1024")) * 1024
        body = [_HEADER.pack(len(part.records), 0)]
        size = 0
        for content in part.records[start:]:
            if size and size + len(content) > limit:
                break
            body.append(_LENGTH.pack(len(content)) + content)
            size += len(content) + 4
        return web.Response(body=b"".join(body))

    async def _newest(self, request):
        query = request.query
        part = self.part(query["topic"], int(query["part"]))
        after = query.get("depends_on", "")
        items = []
        size = 0
        more = False
        for key in sorted(part.newest):
            if key <= after:
                continue
            offset, value = part.newest[key]
            if len(items) >= PAGE_ITEMS or (
                items and size + len(value) > PAGE_BYTES
            ):
                more = True
                break
            size += len(value)
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        return web.json_response(
            {"items": items, "more": more, "end": len(part.records)}
        )

    async def _trim(self, request):
        del request
        return web.json_response({})

    def _group(self, name):
        return self._groups.setdefault(name, _Group(self._group_parts))

    async def _join(self, request):
        body = await request.json()
        group = self._group(body["group"])
        numbers = group.join(
            body["member"], body["ttl_ms"] / 1000, body["generation"]
        )
        topic = body["topics"][0]
        return web.json_response(
            {
                "generation": group.generation,
                "parts": [[topic, number, 0] for number in numbers],
            }
        )

    async def _leave(self, request):
        body = await request.json()
        self._group(body["group"]).remove(body["member"])
        return web.json_response({})

    async def _commit(self, request):
        del request
        return web.json_response({})

    async def _owners(self, request):
        group = self._group(request.query["group"])
        group.expire()
        return web.json_response(
            {
                "owners": [
                    ["duties", part, member, 0]
                    for part, member in sorted(group.holders.items())
                ]
            }
        )


def _split(body):
    contents = []
    position = 0
    while position < len(body):
        (length,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        contents.append(body[position : position + length])
        position += length
    return contents
