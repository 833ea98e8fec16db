"""Starts a small deployment as processes on loopback, for the cases.

The managers are started with the command of deploy/system.toml. Every process
that was started is ended by its own id.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

import aiohttp
import yaml

HERE = pathlib.Path(__file__).resolve().parent
ROOT = HERE.parent.parent
HOST = "queue.example"
PARTS = 12
START_LIMIT_S = 20.0
CLIENT_TIMEOUT_S = 3.0
COULD_NOT_RUN = 2
IP = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}.1"
"""A loopback address of this run's own, for scripts that run side by side."""

FIRST_PORT = 15_000
LAST_PORT = 30_000
USED_PORTS = set()
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TOLD_TO_WORKERS = ("ms", "first_ms", "cpu", "mem_mb")


class NotReadyError(Exception):
    """The case could not run."""


def free_address():
    """Returns a loopback address whose port is free now."""
    return f"{IP}:{free_port_range(1)}"


def free_port_range(count):
    """Returns the first of some free ports in a row.

    They are below the range from which connections get theirs, and no port is
    returned twice.
    """
    while True:
        first = random.randint(FIRST_PORT, LAST_PORT - count)
        ports = range(first, first + count)
        if USED_PORTS.isdisjoint(ports) and all(map(is_free, ports)):
            USED_PORTS.update(ports)
            return first


def is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind((IP, port))
        except OSError:
            return False
    return True


class Deployment:
    """The processes of one case, and a client.

    Attributes:
        started_s: When the case began, monotonic seconds.
        fronts: Addresses of the managers for clients.
    """

    def __init__(self, record_path):
        self.started_s = time.monotonic()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="case-"))
        self.record_file = open(record_path, "w", buffering=1)
        self.store = free_address()
        self.processes = {}
        self.fronts = []
        self.readiness = []
        self.session = None
        self.worker_files = []
        self.stop_ms = 200

    def note(self, text):
        """Writes a line to the record."""
        since_s = time.monotonic() - self.started_s
        self.record_file.write(f"{since_s:7.2f} s  {text}\n")

    async def open(self, managers, services, routes, workers):
        """Starts everything, and waits until the managers are ready."""
        self.session = aiohttp.ClientSession()
        await self.start_standin("store", "store.py", self.store, str(PARTS))
        await self.wait_for(f"http://{self.store}/standin/usage")
        await self.configure(1, services, routes)
        for settings in workers:
            await self.start_worker(settings)
        for number in range(managers):
            await self.start_manager(number)
        for address in self.readiness:
            await self.wait_for(f"http://{address}/api/readyz")
        self.note(f"{managers} managers and {len(workers)} workers are ready")

    async def configure(self, version, services, routes):
        config = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144},
        }
        await self.put("keyed.op", "config", config)

    async def put(self, topic, key, value):
        async with self.session.post(
            f"http://{self.store}/standin/put",
            params={"topic": topic, "key": key},
            data=json.dumps(value).encode(),
        ) as response:
            assert response.status == 200

    async def start_standin(self, name, program, *arguments):
        await self.start(name, sys.executable, str(HERE / program), *arguments)

    async def start_worker(self, settings):
        """Starts a worker; ``settings`` may name the address to listen on."""
        name = settings["id"]
        address = settings.setdefault("address", free_address())
        record = self.folder / f"{name}.jsonl"
        if record not in self.worker_files:
            self.worker_files.append(record)
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps({**settings, "record": str(record)}))
        await self.start_standin(
            name, "worker.py", address, self.store, str(path)
        )

    async def start_manager(self, number):
        name = f"edge-{number}"
        front, readiness = free_address(), free_address()
        first_port = free_port_range(2)
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(self.settings(
            name, front, readiness, first_port
        )))
        self.fronts.append(front)
        self.readiness.append(readiness)
        await self.run_manager(name)

    async def run_manager(self, name):
        """Starts a manager, for the first time or again, as it is deployed."""
        path = self.folder / f"{name}.yaml"
        with open(ROOT / "deploy/system.toml", "rb") as file:
            role = tomllib.load(file)["roles"]["manager"]
        variables = {"COLTSFOOTSEAM_NODE_FILE": str(path), **role["env"]}
        await self.start(name, *role["run"].split(), variables=variables)

    def settings(self, name, front, readiness, first_port):
        return {
            "node": name,
            "role": "manager",
            "machine_class": "edge",
            "serves": ["edge"],
            "ip": IP,
            "zone": "a",
            "region": "r",
            "zones": {"a": "r"},
            "listen": {"front": front, "readiness": readiness},
            "port_range": [first_port, first_port + 1],
            "seeds": [],
            "bootstrap": True,
            "limits": {
                "cpu_share": 0.537,
                "cores": 2,
                "memory_mb": 300,
                "max_fds": 4100,
            },
            "heartbeat_ms": 1500,
            "bounds": {
                "grace_s": 6,
                "hold_max_ms": 10_000,
                "stop_ms": self.stop_ms,
                "status_s": 120,
                "migrate_s": 1.5,
                "maintenance_s": 2,
                "lease_ms": 3000,
            },
            "orders": "call",
            "platform": {
                "addr": self.store,
                "form": "log",
                "writes_per_s": 600,
                "reads_per_s": 2000,
                "parts": PARTS,
                "record_bytes": 262_144,
                "call_bytes": 2_097_152,
                "keep_s": 300,
                "part_mb": 200,
                "ttl_min_ms": 1000,
            },
            "cloud_api": {"addr": self.store},
        }

    async def start(self, name, *command, variables=None):
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                *command,
                cwd=ROOT,
                env={**os.environ, **(variables or {})},
                stdout=log,
                stderr=log,
            )

    async def wait_for(self, url):
        until_s = time.monotonic() + START_LIMIT_S
        while time.monotonic() < until_s:
            try:
                async with self.session.get(url) as response:
                    if response.status == 200:
                        return
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(0.1)
        raise NotReadyError(url)

    async def kill(self, name):
        """Kills a process that this case has started."""
        process = self.processes.pop(name)
        if process.returncode is None:
            process.kill()
        await process.wait()

    async def close(self):
        for name in list(self.processes):
            await self.kill(name)
        if self.session is not None:
            await self.session.close()
        if "KEEP" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)

    async def call(self, method, front, path, body=None):
        """Sends a client's request; status 0 means that there was no answer."""
        try:
            async with self.session.request(
                method,
                f"http://{front}{path}",
                data=None if body is None else json.dumps(body).encode(),
                headers={
                    "Host": HOST,
                    "Content-Type": "application/json",
                    "Coltsfootseam-Deadline-Ms": "3000",
                },
                timeout=aiohttp.ClientTimeout(total=CLIENT_TIMEOUT_S),
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError):
            return 0, b""

    async def submit(self, path, body, attempts=8):
        """Submits a job as a client does, at one manager after the other."""
        for attempt in range(attempts):
            front = self.fronts[attempt % len(self.fronts)]
            status, _ = await self.call("POST", front, path, body)
            self.note(f"POST {path} at manager {attempt % len(self.fronts)}"
                      f" -> {status or 'no answer'}")
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, path):
        """Returns a job's state as the first manager that answers shows it."""
        for front in self.fronts:
            status, body = await self.call("GET", front, path)
            if status == 200:
                return json.loads(body)["state"]
            if status == 410:
                return "410"
        return "no answer"

    async def usage(self):
        url = f"http://{self.store}/standin/usage"
        async with self.session.get(url) as response:
            return await response.json()

    def worker_events(self):
        """Returns what the workers have recorded, in the order of time."""
        events = []
        for path in self.worker_files:
            if path.exists():
                for line in path.read_text().splitlines():
                    events.append(json.loads(line))
        return sorted(events, key=lambda event: event["wall_ms"])

    def memory_mb(self):
        """Returns the memory of each manager that runs, by its name."""
        found = {}
        for name, process in self.processes.items():
            if not name.startswith("edge-") or process.returncode is not None:
                continue
            try:
                text = pathlib.Path(f"/proc/{process.pid}/statm").read_text()
            except OSError:
                continue
            found[name] = int(text.split()[1]) * PAGE_BYTES // 1_000_000
        return found

    def owner_of(self, pool):
        """Returns the manager that claimed a pool last, by the managers' logs."""
        claims = []
        for path in self.folder.glob("edge-*.log"):
            for line in path.read_text(errors="replace").splitlines():
                if '"duty.claimed"' in line and f'"pool.{pool}"' in line:
                    event = json.loads(line)
                    claims.append((event["epoch"], event["process"]))
        return max(claims)[1]


def route(name, prefix, service, **fields):
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": "non_idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 600,
        "priority": 0,
        "service": service,
        "max_attempts": 2,
        "stretch": 1.6,
        **fields,
    }


def job(*steps, **fields):
    """Returns a job whose text tells the workers how long its tasks take."""
    text = {"steps": [
        {key: step[key] for key in TOLD_TO_WORKERS if key in step}
        for step in steps
    ]}
    plain = [
        {key: step[key] for key in step if key not in ("ms", "first_ms")}
        for step in steps
    ]
    return {"spec": json.dumps(text), "steps": plain, **fields}


def run_case(case, limit_s=105.0):
    """Runs a case and exits with its status.

    It is 1 if the rule was broken, 0 if it held, and 2 if the case could not
    run, whatever went wrong. All processes have ended by then, also when this
    one is told to end.
    """
    try:
        status = asyncio.run(_run(case, limit_s))
    except Exception:
        traceback.print_exc()
        status = COULD_NOT_RUN
    print(f"exit status {status}")
    sys.exit(status)


async def _run(case, limit_s):
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = pathlib.Path(sys.argv[0]).resolve().parent / "record.txt"
    deployment = Deployment(record)
    task = asyncio.current_task()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, task.cancel)
    try:
        async with asyncio.timeout(limit_s):
            return await case(deployment, has_trouble)
    except (Exception, asyncio.CancelledError) as error:
        deployment.note(f"the case could not run: {error!r}")
        traceback.print_exc()
        return COULD_NOT_RUN
    finally:
        await deployment.close()
