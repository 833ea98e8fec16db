"""A complete deployment of managers in one process, in virtual time."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable, Coroutine, Sequence
from typing import Any, TypeVar

import msgspec

from coltsfootseam.jobs import (
    Advice,
    Configuration,
    JobRequest,
    JobState,
    Pool,
    Queue,
    Step,
    TaskId,
    Team,
    Wave,
)
from coltsfootseam.manager import (
    Context,
    Manager,
    Ports,
    Times,
    running_manager,
)
from coltsfootseam.observe import Counters, DecisionLog
from coltsfootseam.results import OK, Refusal
from coltsfootseam.scheduling import Policies
from coltsfootseam.standins.memory_machines import (
    MemoryAdvice,
    MemoryMachineCalls,
    MemoryMachines,
)
from coltsfootseam.standins.memory_store import MemoryStore, MemoryStoreClient
from coltsfootseam.standins.memory_worker import MemoryWorker
from coltsfootseam.standins.memory_workers import MemoryWorkers
from coltsfootseam.store import (
    KeyedRecord,
    MembershipTimes,
    MonitoredStore,
    Partition,
    StoredRecord,
)
from coltsfootseam.timers import TimerService, VirtualTimers
from coltsfootseam.workers import Machine, MachineState, WorkerEntry
from tests.common.cuts import Cut
from tests.common.host_timers import HostTimers
from tests.common.peers import MemoryPeers

POOL = "counter"
QUEUE = "bookings"
OPERATOR = Partition("operator")
WORKERS = Partition("workers")
STATUS = Partition("status")
ZONE = "a"
PARTITIONS = 12
DEADLINE_S = 3.0
RESTART_S = 3.0
"""Time from the crash of a worker to its next incarnation."""

T = TypeVar("T")


def bookings_queue(advice: Advice | None = None) -> Queue:
    """Returns the queue that fleets have by default.

    Args:
        advice: Response times of its policy service, if it has one.
    """
    return Queue(
        QUEUE,
        "host",
        "/q/",
        POOL,
        attempts=3,
        stretch=2.0,
        target_ms=600,
        advice=advice,
    )


class RecordingLog(DecisionLog):
    """A log that records its lines.

    Attributes:
        lines: Event and fields of each line.
    """

    def __init__(self, timers: TimerService, process: str) -> None:
        super().__init__(timers, process)
        self.lines: list[tuple[str, dict[str, object]]] = []

    def write(self, event: str, **fields: object) -> None:
        """Records a line and writes it."""
        self.lines.append((event, fields))
        super().write(event, **fields)


class MemoryFeeds:
    """Operator's records and workers' entries in the project's encoding."""

    operator = OPERATOR
    workers = WORKERS
    status = STATUS

    def decode_operator(
        self, record: StoredRecord
    ) -> Configuration | Wave | None:
        """Decodes a configuration or a wave."""
        if record.key.startswith("wave"):
            return msgspec.msgpack.decode(record.value, type=Wave)
        return msgspec.msgpack.decode(record.value, type=Configuration)

    def decode_worker(self, record: StoredRecord) -> WorkerEntry | None:
        """Decodes a worker's entry."""
        return msgspec.msgpack.decode(record.value, type=WorkerEntry)

    def encode_wave(self, wave: Wave, is_complete: bool) -> KeyedRecord:
        """Encodes the state of a wave."""
        value = b"completed" if is_complete else b"running"
        return KeyedRecord(f"wave/{wave.number}", value)


class Host:
    """One entry host of the deployment."""

    def __init__(
        self,
        fleet: "Fleet",
        number: int,
        millicores: int = 0,
        zone: str = ZONE,
    ) -> None:
        self.fleet = fleet
        self.millicores = millicores
        self.zone = zone
        self.host_id = f"entry-{number}"
        self.address = f"10.0.0.{number}:7000"
        self.timers = HostTimers(fleet.timers)
        self.store: MemoryStoreClient = fleet.store.client(self.timers)
        self.peers = fleet.peers.calls_from(self.address, self.timers)
        self.manager: Manager | None = None
        self.log = RecordingLog(self.timers, self.host_id)
        self.starts = 0
        self._stop = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Starts the process."""
        self.starts += 1
        self._stop = asyncio.Event()
        self._task = asyncio.ensure_future(self._run())

    async def kill(self) -> None:
        """Kills the process."""
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        self.manager = None

    def owns(self, pool: str = POOL) -> bool:
        """Returns whether the host owns a pool and has loaded it."""
        if self.manager is None:
            return False
        owner = self.manager.duties.owners_by_pool.get(pool)
        return owner is not None and owner.state is not None

    def lines(self, event: str) -> list[dict[str, object]]:
        """Returns the fields of all log lines of an event."""
        return [fields for name, fields in self.log.lines if name == event]

    def count(self, counter: str) -> int:
        """Returns the value of a counter since the process started."""
        assert self.manager is not None
        return self.manager.context.counters.totals_by_name.get(counter, 0)

    async def _run(self) -> None:
        fleet = self.fleet
        context = Context(
            host_id=self.host_id,
            incarnation=f"{self.host_id}-{self.starts}",
            address=self.address,
            duty_slots=fleet.store.partition_count,
            timers=self.timers,
            ports=Ports(
                MonitoredStore(self.store, self.timers),
                fleet.workers.calls(self.host_id, self.timers),
                MemoryMachineCalls(fleet.machines, self.timers),
                fleet.advice,
                MemoryFeeds(),
            ),
            peers=self.peers,
            log=self.log,
            counters=Counters(),
            times=fleet.times,
            policies=fleet.policies,
            millicores=self.millicores,
        )
        async with running_manager(
            context, MembershipTimes(), fleet.peers.serving
        ) as manager:
            self.manager = manager
            await self._stop.wait()


class Fleet:
    """Store, workers, machines and hosts of a deployment."""

    def __init__(
        self,
        timers: VirtualTimers,
        duration_of: Callable[[TaskId], float],
        partitions: int = PARTITIONS,
    ) -> None:
        self.timers = timers
        self.times = Times()
        self.policies = Policies()
        self.store = MemoryStore(timers, partitions)
        self.workers = MemoryWorkers(timers, duration_of)
        self.machines = MemoryMachines(timers, [])
        self.advice = MemoryAdvice(timers)
        self.peers = MemoryPeers()
        self.cuts: list[Cut] = []
        self.hosts: list[Host] = []
        self.workers.on_crash = self._handle_crash
        self.machines.on_taken_down = self._end_worker_on
        self.machines.on_returned = self._start_worker_on
        self.renames_restarted_workers = False
        self.do_workers_guard = False

    def configure(
        self, version: int = 1, *queues: Queue, teams: Sequence[Team] = ()
    ) -> None:
        """Publishes a configuration with queues, their pools and teams."""
        default = bookings_queue()
        configuration = Configuration(
            version,
            {queue.name: queue for queue in queues or (default,)},
            {
                queue.pool: Pool(
                    queue.pool, workers_guard=self.do_workers_guard
                )
                for queue in queues or (default,)
            },
            {team.name: team for team in teams},
        )
        self.store.put(
            OPERATOR, "configuration", msgspec.msgpack.encode(configuration)
        )

    def add_worker(
        self,
        number: int,
        started_ms: int = 1,
        rack: str = "r1",
        cores: int = 4,
        pool: str = POOL,
        zone: str = ZONE,
    ) -> str:
        """Adds a worker, its machine and entry; returns its instance id."""
        instance_id = f"i-{number}"
        entry = WorkerEntry(
            worker_id=f"{instance_id}@{started_ms}",
            instance_id=instance_id,
            started_ms=started_ms,
            pool=pool,
            address=f"10.1.0.{number}:80",
            zone=zone,
            is_draining=False,
            remaining_ms=None,
            cpu_millis=cores * 1000,
            memory_mb=16_000,
            accelerators=0,
            labels=("kind", rack),
            machine_id=f"m-{number}",
        )
        self.workers.add(entry)
        self.put_entry(entry)
        self.machines.machines_by_id[entry.machine_id] = Machine(
            entry.machine_id,
            pool,
            MachineState.UP,
            zone,
            entry.labels,
            instance_id,
            entry.cpu_millis,
        )
        return instance_id

    def _handle_crash(self, instance_id: str) -> None:
        """Has the platform list a crash; the worker is back in a while."""
        entry = self.workers.workers_by_instance[instance_id].entry
        self._set_machine_state(entry.machine_id, MachineState.DOWN)
        self.timers.schedule(RESTART_S, lambda: self._return_crashed(entry))

    def lose_worker(self, instance_id: str) -> None:
        """Ends a worker for good; the platform lists its machine as down."""
        entry = self.workers.workers_by_instance[instance_id].entry
        self.workers.kill(instance_id)
        self._set_machine_state(entry.machine_id, MachineState.DOWN)

    def restart_worker(self, instance_id: str, started_ms: int = 0) -> None:
        """Starts the next incarnation of a worker that has ended.

        Args:
            instance_id: The worker.
            started_ms: When it says that it has started, by default now.
        """
        entry = self.workers.workers_by_instance[instance_id].entry
        self._restart(entry, started_ms)

    def _return_crashed(self, entry: WorkerEntry) -> None:
        self._restart(entry)
        self._set_machine_state(entry.machine_id, MachineState.UP)

    def _restart(self, entry: WorkerEntry, started_ms: int = 0) -> None:
        """Starts the next worker on a machine, by default under its id."""
        latest = self.workers.workers_by_instance[entry.instance_id].entry
        if latest.started_ms != entry.started_ms:
            return
        instance_id = entry.instance_id
        if self.renames_restarted_workers:
            instance_id += "x"
        started_ms = started_ms or self.wall_ms()
        entry = msgspec.structs.replace(
            entry,
            worker_id=f"{instance_id}@{started_ms}",
            instance_id=instance_id,
            started_ms=started_ms,
        )
        self.workers.add(entry)
        self.put_entry(entry)
        machines = self.machines.machines_by_id
        machines[entry.machine_id] = msgspec.structs.replace(
            machines[entry.machine_id], instance_id=instance_id
        )

    def _worker_on(self, machine_id: str) -> MemoryWorker | None:
        """Returns the latest worker on a machine, if it ever had one."""
        return max(
            (
                worker
                for worker in self.workers.workers_by_instance.values()
                if worker.entry.machine_id == machine_id
            ),
            key=lambda worker: worker.entry.started_ms,
            default=None,
        )

    def _end_worker_on(self, machine_id: str) -> None:
        """Ends the worker on a machine whose maintenance starts."""
        worker = self._worker_on(machine_id)
        if worker is not None:
            self.workers.kill(worker.entry.instance_id)

    def _start_worker_on(self, machine_id: str) -> None:
        """Starts a worker on a machine whose maintenance has ended."""
        worker = self._worker_on(machine_id)
        if worker is not None:
            self._restart(worker.entry)

    def _set_machine_state(self, machine_id: str, state: MachineState) -> None:
        machines = self.machines.machines_by_id
        machines[machine_id] = msgspec.structs.replace(
            machines[machine_id], state=state
        )

    def resize_worker(self, instance_id: str, cores: int) -> None:
        """Changes a worker's capacity, which its entry shows at once."""
        self.put_entry(self.workers.resize(instance_id, cores * 1000))

    def put_entry(self, entry: WorkerEntry) -> None:
        """Writes a worker's entry into the store."""
        self.store.put(
            WORKERS, entry.instance_id, msgspec.msgpack.encode(entry)
        )

    def add_host(self, millicores: int = 0, zone: str = ZONE) -> Host:
        """Adds and starts an entry host."""
        host = Host(self, len(self.hosts) + 1, millicores, zone)
        self.hosts.append(host)
        host.start()
        return host

    def owner(self, pool: str = POOL) -> Host:
        """Returns the host that owns a pool."""
        return next(host for host in self.hosts if host.owns(pool))

    def non_owner(self, pool: str = POOL) -> Host:
        """Returns a live host that doesn't own a pool."""
        return next(
            host
            for host in self.hosts
            if host.manager is not None and not host.owns(pool)
        )

    async def wait_until(
        self, condition: Callable[[], bool], limit_s: float = 30.0
    ) -> float:
        """Advances time until a condition holds; returns how long it took."""
        started_s = self.timers.now_s()
        while not condition():
            waited_s = self.timers.now_s() - started_s
            assert waited_s < limit_s, f"not within {limit_s} s"
            await self.timers.advance(0.02)
        return self.timers.now_s() - started_s

    async def run(self, work: Coroutine[Any, Any, T]) -> T:
        """Advances time until a coroutine is done; returns its result."""
        task = asyncio.ensure_future(work)
        await self.wait_until(task.done)
        return task.result()

    async def submit(
        self,
        host: Host,
        job_id: str,
        *steps: Step,
        path: str = "/q/x",
        team: str = "",
    ) -> Refusal:
        """Submits a job of a team through a host."""
        assert host.manager is not None
        jobs = host.manager.jobs
        queue = jobs.find_queue("host", path)
        assert isinstance(queue, Queue)
        request = JobRequest(
            queue.name,
            "text",
            steps or (Step(cpu_millis=1000),),
            self.wall_ms(),
            team=team,
            terms=queue.terms(),
        )
        deadline_s = self.timers.now_s() + DEADLINE_S
        return await self.run(jobs.submit(queue, job_id, request, deadline_s))

    async def accept(
        self,
        host: Host,
        job_id: str,
        *steps: Step,
        path: str = "/q/x",
        team: str = "",
    ) -> None:
        """Submits a job and asserts that it is accepted."""
        outcome = await self.submit(host, job_id, *steps, path=path, team=team)
        assert outcome is OK

    async def cancel(
        self, host: Host, job_id: str, team: str | None = None
    ) -> Refusal:
        """Cancels a job through a host, on behalf of a team."""
        assert host.manager is not None
        jobs = host.manager.jobs
        queue = jobs.find_queue("host", "/q/x")
        assert isinstance(queue, Queue)
        deadline_s = self.timers.now_s() + DEADLINE_S
        return await self.run(jobs.cancel(queue, job_id, deadline_s, team))

    async def state(
        self, host: Host, job_id: str, team: str | None = None
    ) -> JobState | Refusal:
        """Returns the state of a job, as a host tells a team."""
        assert host.manager is not None
        jobs = host.manager.jobs
        queue = jobs.find_queue("host", "/q/x")
        assert isinstance(queue, Queue)
        deadline_s = self.timers.now_s() + DEADLINE_S
        return await self.run(jobs.state_of(queue, job_id, deadline_s, team))

    def team_of_call(
        self, host: Host, key: str | None, job_id: str = ""
    ) -> str | Refusal | None:
        """Returns the team that a host finds for a call with a key."""
        assert host.manager is not None
        jobs = host.manager.jobs
        queue = jobs.find_queue("host", "/q/x")
        assert isinstance(queue, Queue)
        headers = [] if key is None else [f"Token {key}"]
        return jobs.callers.authenticate(queue, job_id, headers)

    async def wait_for_state(
        self, job_id: str, state: JobState, limit_s: float = 40.0
    ) -> None:
        """Advances time until a job is shown in a state."""
        started_s = self.timers.now_s()
        while True:
            host = next(host for host in self.hosts if host.manager)
            if await self.state(host, job_id) == state:
                return
            assert self.timers.now_s() - started_s < limit_s
            await self.timers.advance(0.1)

    def wall_ms(self) -> int:
        """Returns wall-clock time."""
        return self.timers.wall_ms()

    def started(self, job_id: str) -> int:
        """Returns how many starts of a job's tasks were carried out."""
        return sum(
            1 for order in self.workers.starts if order.task.job_id == job_id
        )


@contextlib.asynccontextmanager
async def running_fleet(
    hosts: int = 2,
    workers: int = 3,
    duration_of: Callable[[TaskId], float] = lambda task: 0.5,
    millicores: Sequence[int] = (),
    policies: Policies | None = None,
    partitions: int = PARTITIONS,
) -> AsyncIterator[Fleet]:
    """Yields a deployment whose pool has an owner; checks it at the end.

    Args:
        hosts: Number of entry hosts.
        workers: Number of workers of the pool.
        duration_of: How long a task runs, in seconds.
        millicores: Capacity of each entry host, in place of ``hosts``.
        policies: Scheduling policies, ``None`` for the default ones.
        partitions: Number of partitions that the group of hosts assigns.
    """
    fleet = Fleet(VirtualTimers(), duration_of, partitions)
    fleet.policies = policies or fleet.policies
    fleet.configure()
    for number in range(1, workers + 1):
        fleet.add_worker(number)
    for capacity in millicores or [0] * hosts:
        fleet.add_host(capacity)
    await fleet.wait_until(
        lambda: (
            any(host.owns() for host in fleet.hosts)
            and all(host.manager is not None for host in fleet.hosts)
        )
    )
    await fleet.timers.advance(1.0)
    try:
        yield fleet
        assert fleet.workers.violations == []
    finally:
        for host in fleet.hosts:
            if host.manager is not None:
                await host.kill()
