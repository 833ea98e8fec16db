"""A small deployment on loopback: managers as processes, beside the stand-ins."""

import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time

import aiohttp
import yaml

from platform_standins import Machines, Store, Worker, now_ms

ROOT = pathlib.Path(__file__).resolve().parents[2]
STORE_IP = "127.0.0.7"
MACHINES_IP = "127.0.0.8"
HOST = "queue.example"
ABSENT_S = 0.3
BOUNDS = {
    "seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000,
    "ack_timeout_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
    "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_slack_ms": 250,
    "max_stretch_ms": 5000, "recovery_s": 12, "hold_max_ms": 10000,
    "stop_ms": 400, "gang_wait_ms": 3000, "cancel_ms": 3000,
    "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "checkpoint_s": 2, "restore_ms": 250, "notice_ms": 4500, "migrate_s": 1.5,
    "maintenance_s": 2, "fencing": True, "lease_ms": 3000, "pace_ms": 100,
}


class Record:
    """The record of a case: one JSON line for each thing that happened."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._started_s = time.monotonic()

    def __call__(self, event, **fields):
        line = {"t": round(time.monotonic() - self._started_s, 3),
                "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


def free_ports(ip, count):
    """Returns consecutive free ports of an address."""
    while True:
        first = random.randint(20000, 29000)
        sockets = []
        try:
            for port in range(first, first + count):
                sockets.append(socket.socket())
                sockets[-1].bind((ip, port))
            return list(range(first, first + count))
        except OSError:
            continue
        finally:
            for item in sockets:
                item.close()


class Manager:
    """A manager, started with the command of the deploy file."""

    def __init__(self, number, folder, store, machines, ports):
        front, readiness, first = ports[0], ports[1], ports[2]
        ip = f"127.0.0.{20 + number}"
        self.name = f"edge-{number}"
        self.front = f"{ip}:{front}"
        self.pages = f"{ip}:{first + 1}"
        self._path = folder / f"boot-{number}.yaml"
        self.log_path = folder / f"{self.name}.log"
        self._path.write_text(yaml.safe_dump({
            "node": self.name, "role": "manager", "machine_class": "edge",
            "serves": ["edge"], "ip": ip, "zone": "za", "region": "r",
            "zones": {"za": "r", "zb": "r"},
            "listen": {"front": self.front, "readiness": f"{ip}:{readiness}"},
            "port_range": [first, first + 3],
            "limits": {"cpu_share": 0.537, "cores": 2, "memory_mb": 300,
                       "max_fds": 4100},
            "heartbeat_ms": 1500, "bounds": BOUNDS, "orders": "call",
            "platform": {"addr": store, "form": "log", "writes_per_s": 600,
                         "reads_per_s": 2000, "parts": 12, "append_ms": 2.0,
                         "ttl_min_ms": 1000},
            "cloud_api": {"addr": machines, "rate_per_s": 64.0, "duties": [],
                          "duty_per_s": 64.0},
        }))
        self.process = None

    async def start(self):
        """Starts the process."""
        passed = {key: os.environ[key] for key in ("PATH", "HOME", "LANG")
                  if key in os.environ}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3", "deploy/start.py", cwd=ROOT, stdout=log, stderr=log,
                env={**passed, "PYTHONPATH": str(ROOT / "target/deps"),
                     "PYTHONDONTWRITEBYTECODE": "1",
                     "COLTSFOOTSEAM_NODE_FILE": str(self._path),
                     "COLTSFOOTSEAM_POLICIES": "deploy/policies.yaml"},
            )

    async def end(self, signal_number=9):
        """Sends a signal to the process and waits for its end."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)
            await self.process.wait()


class Deployment:
    """Managers, the store, the machine API, workers and a client."""

    def __init__(self, folder, record):
        self.folder = folder
        self.record = record
        self.store = None
        self.managers = []
        self.workers = []
        self.session = None
        self.runs_s = lambda task: 1.0
        self.log_text = ""

    async def begin(self, managers, workers_by_service, route_service):
        """Starts everything and waits until each manager takes requests."""
        (port,) = free_ports(STORE_IP, 1)
        self.store = Store(STORE_IP, port, self.record)
        # Each manager has an address of the store of its own.
        self.store.other_ips = [f"127.0.0.{10 + number}"
                                for number in range(managers + 4)]
        await self.store.listen()
        (port,) = free_ports(MACHINES_IP, 1)
        self.machines = Machines(MACHINES_IP, port)
        await self.machines.listen()
        number = 0
        for service, count in workers_by_service.items():
            for _ in range(count):
                ip = f"127.0.0.{100 + number}"
                (port,) = free_ports(ip, 1)
                worker = Worker(ip, port, self.store, self.record,
                                f"i-{number}", service, "za" if number % 2
                                else "zb", lambda task: self.runs_s(task),
                                stop_s=BOUNDS["stop_ms"] / 1000)
                self.workers.append(worker)
                self.machines.workers.append(worker)
                await worker.begin()
                number += 1
        self.services = list(workers_by_service)
        self.configure(1, route_service)
        ports = free_ports("127.0.0.20", 8)
        self._manager_ports = ports
        for _ in range(managers):
            self.add_manager()
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        await asyncio.gather(*(manager.start() for manager in self.managers))
        for manager in self.managers:
            for _ in range(400):
                status, _ = await self.call("GET", manager, "")
                if status == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise RuntimeError(f"{manager.name} takes no requests")
        await asyncio.sleep(3.0)

    def add_manager(self):
        """Makes another manager, at an address of its own."""
        number = len(self.managers)
        port = self.store.address.partition(":")[2]
        manager = Manager(number, self.folder, f"127.0.0.{10 + number}:{port}",
                          self.machines.address, self._manager_ports)
        self.managers.append(manager)
        return manager

    def configure(self, version, route_service, more=()):
        """Writes a configuration, as the operator.

        Args:
            version: Its version.
            route_service: The service of the route `q`, None without it.
            more: Names and services of further routes.
        """
        routes = [
            {"name": name, "host": HOST, "path_prefix": f"/{name}/",
             "service": service, "priority": 0, "max_attempts": 3,
             "stretch": 1.6, "target_latency_ms": 600, "timeout_ms": 3000}
            for name, service in (("q", route_service), *more)
            if service is not None
        ]
        self.store.put("op", "config", {
            "version": version, "routes": routes,
            "services": [{"name": name, "admission_control": True}
                         for name in self.services], "limits": {},
        })
        self.record("operator writes a configuration", version=version,
                    service=route_service, more=list(more))

    async def send_elsewhere(self, version, service, more=()):
        """Removes the route `q` and adds it again with another service."""
        self.configure(version, None, more)
        await asyncio.sleep(ABSENT_S)
        self.configure(version + 1, service, more)

    async def call(self, method, manager, path, body=None, timeout_s=3.0,
                   route="q"):
        """Sends a client's request; status 0 means that no answer came."""
        try:
            async with self.session.request(
                method, f"http://{manager.front}/{route}/{path}", json=body,
                headers={"Host": HOST,
                         "Coltsfootseam-Deadline-Ms": str(int(timeout_s * 1000))},
                timeout=aiohttp.ClientTimeout(total=timeout_s),
            ) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""

    async def duties_of(self, manager):
        """Returns the duties that a manager's status page shows."""
        async with self.session.get(f"http://{manager.pages}/status") as response:
            return (await response.json(content_type=None))["duties"]

    async def hand_in(self, manager, job_id, steps, route="q"):
        """Sends a job once; returns the status."""
        body = {"spec": f"spec of {job_id}", "steps": steps}
        status, _ = await self.call("POST", manager, job_id, body, route=route)
        self.record("client hands a job in", job=job_id, to=manager.name,
                    status=status)
        return status

    async def end(self):
        """Ends every process that was started."""
        await asyncio.gather(*(manager.end() for manager in self.managers))
        for manager in self.managers:
            if manager.log_path.exists():
                self.log_text += manager.log_path.read_text(errors="replace")

    def intervals(self):
        """Returns all runs that workers have carried out, in their order."""
        found = [item for worker in self.workers for item in worker.intervals]
        return sorted(found, key=lambda item: item["start_s"])


def overlaps(intervals):
    """Returns the pairs of runs of one task that were under way together."""
    now_s = time.monotonic()
    by_task = {}
    for item in intervals:
        by_task.setdefault(item["task"], []).append(item)
    pairs = []
    for items in by_task.values():
        for position, first in enumerate(items):
            for second in items[position + 1 :]:
                end_s = first["end_s"] or now_s
                if second["start_s"] < end_s:
                    both_s = min(end_s, second["end_s"] or now_s)
                    pairs.append((first, second, both_s - second["start_s"]))
    return pairs


def run_case(play):
    """Plays a case; exits with 1 if the rule broke, 0 if it held, else 2."""
    case = pathlib.Path(sys.argv[1]).resolve()
    record = Record(case / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("the case begins", trouble=trouble, time_ms=now_ms())

    async def main():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment(pathlib.Path(folder), record)
            try:
                async with asyncio.timeout(110):
                    return await play(deployment, trouble)
            finally:
                await deployment.end()
                if os.environ.get("KEEP_LOG"):
                    pathlib.Path(os.environ["KEEP_LOG"]).write_text(
                        deployment.log_text
                    )

    loop = asyncio.new_event_loop()
    try:
        broken = loop.run_until_complete(main())
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        record("the case could not run", why=repr(error))
        print(f"could not run: {error!r}", flush=True)
        os._exit(2)
    record("the case ends", broken=broken)
    print("broken:" if broken else "held", *broken[:3], sep="\n", flush=True)
    os._exit(1 if broken else 0)
