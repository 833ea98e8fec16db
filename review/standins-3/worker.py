"""A stand-in of one worker, as a process of its own.

It follows PROTOCOL.md: fencing tokens, one lease for all that runs, numbered
ends that are listed until they were seen, refusals for want of room. How long a
task takes stands in the text of its job, for each step: {"ms": 1500}, and in
"first_ms" if the first run takes another time. A task that lasts runs until it
is stopped.

    python3 worker.py ADDRESS STORE FILE, with FILE a JSON object:
        id, service, cpu, mem_mb, labels, machine, record (a file), zone,
        register_s (time from the start to the first report), stop_s (how long
        a stop takes), guards (whether it refuses what doesn't fit)
"""

import asyncio
import json
import sys
import time

import aiohttp
from aiohttp import web

HOLD_MAX_MS = 10_000
REPORT_S = 1.5
TICK_S = 0.01
LISTED_ENDS = 500
LAST_MS = 10**9


class Run:
    """One run of a task."""

    def __init__(self, task, number, ms, cpu, mem_mb, token) -> None:
        self.task = task
        self.number = number
        self.started_ms = 0.0
        self.ms = ms
        self.cpu = cpu
        self.mem_mb = mem_mb
        self.token = token
        self.is_stopping = False


class Worker:
    """One life of a worker."""

    def __init__(self, address, store, settings) -> None:
        self.address = address
        self.store = store
        self.settings = settings
        self.born = int(time.time() * 1000)
        self.started_s = time.monotonic()
        self.token = 0
        self.lease_end_ms = 0.0
        self.runs = {}
        self.ended = []
        self.ended_count = 0
        self.highest_ended = {}
        self.end_listed = asyncio.Event()
        self.record_file = open(settings["record"], "a", buffering=1)

    def record(self, event, **fields):
        line = {
            "wall_ms": round(time.time() * 1000),
            "worker": self.settings["id"],
            "born": self.born,
            "event": event,
            **fields,
        }
        self.record_file.write(json.dumps(line) + "\n")

    def clock_ms(self):
        return (time.monotonic() - self.started_s) * 1000

    def reply(self, status=200, **fields):
        fields["clock_ms"] = int(self.clock_ms())
        return web.json_response(fields, status=status)

    def other_instance(self, request):
        expected = request.headers.get("Coltsfootseam-Expect-Instance")
        if expected is not None and expected != self.settings["id"]:
            return web.Response(status=421)
        return None

    def extend(self, deadline_ms):
        if deadline_ms is not None:
            most = self.clock_ms() + HOLD_MAX_MS
            self.lease_end_ms = max(self.lease_end_ms, min(deadline_ms, most))

    async def start(self, request):
        refusal = self.other_instance(request)
        if refusal is not None:
            return refusal
        body = await request.json()
        if body["fencing_token"] < self.token:
            return self.reply(409, reason="fence")
        self.token = body["fencing_token"]
        task, number = body["task"], body["run"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            self.extend(body["deadline_ms"])
            return self.reply()
        if body["deadline_ms"] <= self.clock_ms():
            return self.reply(409, reason="late")
        self.extend(body["deadline_ms"])
        if number <= self.highest_ended.get(task, 0) or known is not None:
            return self.reply(409, reason="old")
        text = json.loads(body["spec"])
        steps = text["steps"]
        step = steps[min(len(steps) - 1, int(task.split(".")[2]))]
        used = sum(run.cpu for run in self.runs.values())
        guards = self.settings.get("guards", True)
        if guards and used + step["cpu"] > self.settings["cpu"]:
            return self.reply(409, reason="room")
        run = Run(
            task,
            number,
            duration_ms(step, number),
            step["cpu"],
            step["mem_mb"],
            self.token,
        )
        run.started_ms = self.clock_ms()
        self.runs[task] = run
        self.record(
            "start",
            task=task,
            run=number,
            token=self.token,
            cpu=run.cpu,
            used=used + run.cpu,
        )
        return self.reply()

    async def stop(self, request):
        refusal = self.other_instance(request)
        if refusal is not None:
            return refusal
        body = await request.json()
        if body["fencing_token"] < self.token:
            return self.reply(409, reason="fence")
        self.token = body["fencing_token"]
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        highest = max(self.highest_ended.get(task, 0), number)
        if run is not None and run.number <= number and not run.is_stopping:
            run.is_stopping = True
            stop_s = self.settings.get("stop_s", 0.0)
            self.record("stop", task=task, run=run.number)
            asyncio.get_running_loop().call_later(
                stop_s, self.end_stopped, run
            )
        self.highest_ended[task] = highest
        return self.reply()

    async def pace(self, request):
        body = await request.json()
        if body["fencing_token"] < self.token:
            return self.reply(409, reason="fence")
        self.token = body["fencing_token"]
        return self.reply()

    async def hold(self, request):
        refusal = self.other_instance(request)
        if refusal is not None:
            return refusal
        body = await request.json()
        if body["fencing_token"] < self.token:
            return self.reply(409, reason="fence")
        self.token = body["fencing_token"]
        self.extend(body.get("deadline_ms"))
        seen = body["last_seen"]
        self.ended = [row for row in self.ended if row[0] > seen]
        if not self.ended and body.get("wait_ms"):
            self.end_listed.clear()
            try:
                async with asyncio.timeout(body["wait_ms"] / 1000):
                    await self.end_listed.wait()
            except TimeoutError:
                pass
        running = [
            [run.task, run.number, "", self.percent(run), 0]
            for run in self.runs.values()
        ]
        return self.reply(
            born=self.born, running=running, ended=self.ended[:LISTED_ENDS]
        )

    def end_stopped(self, run):
        if self.runs.get(run.task) is run:
            self.end(run, "stopped")

    def percent(self, run):
        if run.ms >= LAST_MS:
            return 100
        worked_ms = self.clock_ms() - run.started_ms
        return min(99, int(100 * worked_ms / run.ms))

    def end(self, run, how):
        del self.runs[run.task]
        highest = self.highest_ended.get(run.task, 0)
        self.highest_ended[run.task] = max(highest, run.number)
        self.ended_count += 1
        self.ended.append([self.ended_count, run.task, run.number, how, ""])
        self.end_listed.set()
        self.record("end", task=run.task, run=run.number, how=how)

    async def work(self):
        while True:
            now_ms = self.clock_ms()
            is_lapsed = now_ms > self.lease_end_ms
            for run in list(self.runs.values()):
                if is_lapsed:
                    self.end(run, "lapsed")
                elif now_ms - run.started_ms >= run.ms:
                    self.end(run, "done")
            await asyncio.sleep(TICK_S)

    async def report(self):
        settings = self.settings
        await asyncio.sleep(settings.get("register_s", 0.0))
        capacity = {
            "cpu": settings["cpu"],
            "mem_mb": settings["mem_mb"],
            "gpu": 0,
        }
        machine = {
            "machine": settings["machine"],
            "pool": settings["service"],
            "state": "up",
            "zone": settings["zone"],
            "labels": settings["labels"],
            "capacity": capacity,
            "id": settings["id"],
        }
        seq = 0
        async with aiohttp.ClientSession() as session:
            while True:
                seq += 1
                entry = {
                    "service": settings["service"],
                    "addr": self.address,
                    "zone": settings["zone"],
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_left_ms": 0,
                    "capacity": capacity,
                    "labels": settings["labels"],
                    "machine": settings["machine"],
                    "clock_ms": int(self.clock_ms()),
                    "born": self.born,
                    "seq": seq,
                }
                try:
                    async with session.post(
                        f"http://{self.store}/standin/put",
                        params={
                            "topic": "keyed.servers",
                            "key": settings["id"],
                            "machine": json.dumps(machine),
                        },
                        data=json.dumps(entry).encode(),
                        timeout=aiohttp.ClientTimeout(total=1),
                    ):
                        pass
                except (aiohttp.ClientError, TimeoutError):
                    pass
                await asyncio.sleep(REPORT_S)


def duration_ms(step, number):
    if number == 1 and "first_ms" in step:
        return step["first_ms"]
    return step.get("ms", LAST_MS)


async def main():
    address, store, path = sys.argv[1:4]
    with open(path) as file:
        settings = json.load(file)
    listen = settings.get("listen", address)
    worker = Worker(address, store, settings)
    app = web.Application()
    app.router.add_post("/api/run-start", worker.start)
    app.router.add_post("/api/run-stop", worker.stop)
    app.router.add_post("/api/hold", worker.hold)
    app.router.add_post("/api/pace", worker.pace)
    runner = web.AppRunner(app, access_log=None)
    await runner.setup()
    host, port = listen.split(":")
    await web.TCPSite(runner, host, int(port)).start()
    worker.record("life")
    await asyncio.gather(worker.work(), worker.report())


if __name__ == "__main__":
    asyncio.run(main())
