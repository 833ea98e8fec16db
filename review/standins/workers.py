"""Stand-ins of workers and of the machines that they run on.

A worker carries out each order at once and answers it, as the page on the
protocol describes. It notes every start and every end in the record.
"""

import asyncio
import json
import time

from aiohttp import web

HEARTBEAT_S = 1.5
HOLD_MAX_MS = 10_000
STOP_S = 0.05
STARTUP_S = 0.3
MIGRATE_S = 1.5
MAINTENANCE_S = 2.0
ENDED_PAGE = 500
SILENT_S = 60.0


class Run:
    """A run of a task on a worker."""

    def __init__(self, task, number, plan):
        self.task = task
        self.number = number
        self.plan = plan
        self.started = time.monotonic()
        self.timer = None
        self.is_stopping = False


class Worker:
    """One life of a worker."""

    def __init__(self, world, machine, worker_id, pool, port):
        self.world = world
        self.machine = machine
        self.id = worker_id
        self.pool = pool
        self.port = port
        self.born = time.time_ns() // 1_000_000
        self.started = time.monotonic()
        self.token = 0
        self.deadline_ms = 0
        self.runs = {}  # task -> Run
        self.highest_ended = {}  # task -> number
        self.ended = []  # rows [n, task, run, how, saved]
        self.end_count = 0
        self.end_event = asyncio.Event()
        self.seq = 0
        self.is_dead = False
        self._tasks = []
        self._runner = None

    def clock_ms(self):
        return int((time.monotonic() - self.started) * 1000)

    async def begin(self):
        app = web.Application()
        app.router.add_post("/api/run-start", self._start)
        app.router.add_post("/api/run-stop", self._stop)
        app.router.add_post("/api/pace", self._pace)
        app.router.add_post("/api/hold", self._hold)
        app.router.add_get("/healthz", self._health)
        self._runner = web.AppRunner(
            app, shutdown_timeout=0.01, handler_cancellation=True
        )
        await self._runner.setup()
        await web.TCPSite(self._runner, "127.0.0.1", self.port).start()
        self._tasks = [
            asyncio.ensure_future(self._beat()),
            asyncio.ensure_future(self._watch_lease()),
        ]

    async def end(self):
        """Ends this life with all that runs, as a crash does."""
        self.is_dead = True
        for run in list(self.runs.values()):
            if run.timer is not None:
                run.timer.cancel()
            self.world.note_end(self, run, "worker ended", 0)
        self.runs.clear()
        for task in self._tasks:
            task.cancel()
        self.end_event.set()
        await self._runner.cleanup()

    async def _beat(self):
        while True:
            self.seq += 1
            self.world.store.put(
                "keyed.servers", self.id, json.dumps(self.entry()).encode()
            )
            await asyncio.sleep(HEARTBEAT_S)

    def entry(self):
        return {
            "service": self.pool,
            "addr": f"127.0.0.1:{self.port}",
            "zone": self.machine.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "seq": self.seq,
            "capacity": self.machine.capacity,
            "labels": self.machine.labels,
            "born": self.born,
            "machine": self.machine.id,
        }

    async def _watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.runs and self.clock_ms() >= self.deadline_ms:
                for run in list(self.runs.values()):
                    self._end_run(run, "lapsed")

    def _end_run(self, run, how):
        if self.is_dead or self.runs.get(run.task) is not run:
            return
        del self.runs[run.task]
        if run.timer is not None:
            run.timer.cancel()
        number = self.highest_ended.get(run.task, 0)
        self.highest_ended[run.task] = max(number, run.number)
        self.end_count += 1
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        self.world.note_end(self, run, how, self.end_count)
        self.end_event.set()
        self.end_event = asyncio.Event()

    def _refuse(self, request, body):
        """Returns a refusal of an order, None if it may be carried out."""
        wanted = request.headers.get("Coltsfootseam-Expect-Instance")
        if wanted is not None and wanted != self.id:
            return web.Response(status=421)
        token = body.get("fencing_token", 0)
        if token < self.token:
            return self._answer(409, reason="fence")
        self.token = token
        return None

    def _answer(self, status=200, **fields):
        return web.json_response(
            {"clock_ms": self.clock_ms(), "born": self.born, **fields},
            status=status,
        )

    def _extend(self, deadline_ms):
        if deadline_ms is not None:
            longest = self.clock_ms() + HOLD_MAX_MS
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest))

    async def _health(self, request):
        del request
        return web.Response(headers={"Coltsfootseam-Instance-Id": self.id})

    async def _start(self, request):
        body = await request.json()
        refusal = self._refuse(request, body)
        if refusal is not None:
            return refusal
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock_ms():
            return self._answer(409, reason="late")
        self._extend(body["deadline_ms"])
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return self._answer()
        if number <= self.highest_ended.get(task, 0) or current is not None:
            return self._answer(409, reason="old")
        plan = self.world.plan_of(task, body.get("spec", ""))
        if not self._has_room(plan):
            return self._answer(409, reason="room")
        run = Run(task, number, plan)
        self.runs[task] = run
        self.world.note_start(self, run, body)
        if plan.lasts_s is not None:
            how = plan.next_end(task)
            loop = asyncio.get_running_loop()
            run.timer = loop.call_later(plan.lasts_s, self._end_run, run, how)
        return self._answer()

    def _has_room(self, plan):
        used = sum(run.plan.cpu for run in self.runs.values())
        memory = sum(run.plan.mem_mb for run in self.runs.values())
        capacity = self.machine.capacity
        return (
            used + plan.cpu <= capacity["cpu"]
            and memory + plan.mem_mb <= capacity["mem_mb"]
        )

    async def _stop(self, request):
        body = await request.json()
        refusal = self._refuse(request, body)
        if refusal is not None:
            return refusal
        task, number = body["task"], body["run"]
        known = self.highest_ended.get(task, 0)
        self.highest_ended[task] = max(known, number)
        run = self.runs.get(task)
        if run is not None and run.number <= number and not run.is_stopping:
            run.is_stopping = True
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_S, self._end_run, run, "stopped")
        return self._answer()

    async def _pace(self, request):
        body = await request.json()
        return self._refuse(request, body) or self._answer()

    async def _hold(self, request):
        body = await request.json()
        refusal = self._refuse(request, body)
        if refusal is not None:
            return refusal
        self._extend(body.get("deadline_ms"))
        seen = body["last_seen"]
        for row in self.ended:
            if row[0] <= seen:
                self.world.note_seen(self, row)
        self.ended = [row for row in self.ended if row[0] > seen]
        until = time.monotonic() + min(body.get("wait_ms", 0), 2000) / 1000
        while not self.ended and time.monotonic() < until:
            left = until - time.monotonic()
            try:
                await asyncio.wait_for(self.end_event.wait(), left)
            except TimeoutError:
                break
        running = [
            [run.task, run.number, "", self._percent(run), 0]
            for run in self.runs.values()
        ]
        return self._answer(running=running, ended=self.ended[:ENDED_PAGE])

    def _percent(self, run):
        age = time.monotonic() - run.started
        if run.plan.lasts_s is None:
            return 100 if age > STARTUP_S else 0
        return min(99, int(100 * age / run.plan.lasts_s))


class Machine:
    """A machine, whose worker has a new life after a move or an upkeep."""

    def __init__(self, world, number, pool, zone, rack, port, capacity):
        self.world = world
        self.id = f"m-{number:02d}"
        self.zone = zone
        self.labels = ["a", rack]
        self.capacity = capacity
        self.port = port
        self.pool = pool
        self.state = "up"
        self.token = 0
        self.life = 0
        self.waves = set()  # numbers of the waves of which it had its upkeep
        self.number = number
        self.worker = None

    async def begin(self):
        self.life += 1
        worker_id = f"i-{self.number:04d}{self.life:06d}"
        self.worker = Worker(self.world, self, worker_id, self.pool, self.port)
        await self.worker.begin()
        self.state = "up"

    async def crash(self, pause_s):
        """Ends the worker's process, which starts again under the same id."""
        worker, self.worker = self.worker, None
        self.state = "down"
        await worker.end()
        await asyncio.sleep(pause_s)
        self.worker = Worker(self.world, self, worker.id, self.pool, self.port)
        await self.worker.begin()
        self.state = "up"

    async def rebuild(self, state, pause_s, pool):
        """Ends the worker; a new one joins the pool after the pause."""
        worker, self.worker = self.worker, None
        self.state = state
        self.pool = pool
        self.world.store.delete("keyed.servers", worker.id)
        await worker.end()
        await asyncio.sleep(pause_s)
        await self.begin()

    def row(self):
        return {
            "machine": self.id,
            "pool": self.pool,
            "state": self.state,
            "zone": self.zone,
            "labels": self.labels,
            "capacity": self.capacity,
            "id": self.worker.id if self.worker is not None else None,
        }


class MachineApi:
    """The platform's list of machines and the orders on them.

    Attributes:
        on_order: Called with the number of the manager that sent an order, the
            machine and the order, before it is carried out.
        is_silent: Whether calls get no answer and have no effect.
        loses_answers: Whether orders are carried out, and then their
            connection is closed without an answer.
    """

    def __init__(self, world):
        self.world = world
        self.on_order = lambda manager, machine, order: None
        self.is_silent = False
        self.loses_answers = False
        self._tasks = set()

    def application(self, manager):
        """Returns the calls as one manager reaches them."""
        app = web.Application(middlewares=[self._check])
        app["manager"] = manager
        app.router.add_get("/api/machines", self._list)
        app.router.add_post("/api/machine-move", self._move)
        app.router.add_post("/api/machine-upkeep", self._upkeep)
        return app

    @web.middleware
    async def _check(self, request, handler):
        if self.is_silent:
            await asyncio.sleep(SILENT_S)
            return web.Response(status=503)
        response = await handler(request)
        if self.loses_answers and request.method == "POST":
            self.world.note(f"the answer to {request.path} is lost")
            request.transport.close()
        return response

    async def _list(self, request):
        del request
        rows = [machine.row() for machine in self.world.machines]
        return web.json_response({"machines": rows, "next_token": None})

    async def _move(self, request):
        body = await request.json()
        return self._order(request, body, "moving", MIGRATE_S, body["pool"])

    async def _upkeep(self, request):
        body = await request.json()
        return self._order(request, body, "upkeep", MAINTENANCE_S, None)

    def _is_done(self, machine, body):
        """Returns whether an order is done already, or is being done."""
        if "wave" in body:
            return body["wave"] in machine.waves
        return machine.pool == body["pool"]

    def _order(self, request, body, state, pause_s, pool):
        found = [m for m in self.world.machines if m.id == body["machine"]]
        if not found:
            return web.Response(status=400)
        machine = found[0]
        token = int(request.headers.get("Coltsfootseam-Fencing-Token", "0"))
        if token < machine.token:
            return web.json_response({"reason": "fence"}, status=409)
        machine.token = token
        if self._is_done(machine, body):
            self.world.note(f"machine {machine.id} {state}: done already")
            return web.json_response({})
        if machine.state != "up":
            return web.json_response({"reason": "busy"}, status=409)
        number = request.app["manager"]
        self.world.note(
            f"machine {machine.id} {state} {pool or ''}, ordered by "
            f"{self.world.managers[number].name} with token {token}; "
            f"{len(machine.worker.runs)} runs are on it"
        )
        self.on_order(number, machine, state)
        if "wave" in body:
            machine.waves.add(body["wave"])
        task = asyncio.ensure_future(
            machine.rebuild(state, pause_s, pool or machine.pool)
        )
        machine.state = state
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return web.json_response({})
