"""Walks over owners of a pool, lives of its workers and calls to them.

Whatever a plan does, no task runs twice at once or again after a noted end
(TWICE), no start exceeds the capacity of its worker (LIMIT), and once all
faults are healed each accepted job ends within ``END_LIMIT_S`` (LOST).
"""

import asyncio
import contextlib
import enum
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Any, TypeVar, cast

import msgspec

from coltsfootseam.jobs import (
    JobRequest,
    JobState,
    Queue,
    RunEnd,
    Step,
    TaskId,
)
from coltsfootseam.results import OK
from coltsfootseam.timers import VirtualTimers
from coltsfootseam.workers import MachineState
from tests.common.cuts import STORE, Lost, apply_cuts, cut_off
from tests.common.fleets import DEADLINE_S, WORKERS, Fleet, Host
from tests.common.late_calls import (
    AppliedStart,
    Lateness,
    LateWorkers,
    Overlap,
)
from tests.common.owner_walk_plans import (
    RACKS,
    CallsLate,
    Event,
    JobCancelled,
    JobSubmitted,
    OwnerAwaited,
    OwnerFrozen,
    OwnerKilled,
    OwnerLeaves,
    OwnerParted,
    Plan,
    RunsFail,
    StartsUnheard,
    WorkersAdded,
    WorkersCutOff,
    WorkersReborn,
    WorkersUnlisted,
    draw_plan,
    job_id_of,
)

CPU_MILLIS = 1000
ESTIMATE_MS = 5000
LEAVE_S = 1.0
"""How long an owner that leaves goes on before its process ends."""

OWNER_LIMIT_S = 15.0
"""How long an event at an owner waits until there is one."""

END_LIMIT_S = 80.0
"""Time from the end of all faults until each accepted job has ended: 23 s for
runs that a former life may have, 15 s for an owner, and twice the longest task,
as those that wait may need the capacity of others."""

_POLL_S = 0.02
_STORE_POLL_S = 0.015
"""Pause between two reads of the store, which saves time of the walk."""

_MS_PER_S = 1000
_TRACED_EVENTS = (
    "duty.claimed",
    "pool.loaded",
    "run.ordered",
    "run.ended",
    "worker.dropped",
    "worker.lease_awaited",
    "worker.leases_ended",
    "worker.linked",
)


class Cause(enum.Enum):
    """What is known of the cause of a broken rule."""

    UNKNOWN = "unknown"
    COPY_OF_ENDED_RUN = "copy of a run that had ended reached a later life"
    COPY_AFTER_DOWN = "copy arrived after its machine was listed as down"


class Finding(msgspec.Struct, frozen=True):
    """A broken rule.

    Attributes:
        rule: ``TWICE``, ``LIMIT`` or ``LOST``.
        cause: What is known of its cause.
        at_s: When it was seen, in virtual seconds.
        detail: What was seen.
        task: The task, ``None`` if the finding is not about one.
    """

    rule: str
    cause: Cause
    at_s: float
    detail: str
    task: TaskId | None = None

    def __str__(self) -> str:
        return f"{self.rule} at {self.at_s:.2f} s, {self.cause.value}: " + (
            self.detail
        )


class TracedLine(msgspec.Struct, frozen=True):
    """A line of a host's log."""

    at_s: float
    host_id: str
    event: str
    fields: dict[str, Any]

    def __str__(self) -> str:
        shown = " ".join(f"{key}={value}" for key, value in self.fields.items())
        return f"{self.at_s:8.2f} {self.host_id} {self.event} {shown}"


class Walk:
    """Applies a plan to a deployment and looks for broken rules."""

    def __init__(
        self, plan: Plan, fleet: Fleet, workers: LateWorkers, is_traced: bool
    ) -> None:
        self.plan = plan
        self.fleet = fleet
        self.workers = workers
        self.is_traced = is_traced
        self.trace: list[TracedLine] = []
        self.findings: list[Finding] = []
        self.submissions_by_job: dict[int, asyncio.Future[object]] = {}
        self._faults_end_s = 0.0
        self._states_by_job: dict[int, JobState] = {}
        self._background: list[asyncio.Future[object]] = []
        self._cuts: list[contextlib.ExitStack] = []
        # Runs that began after the manager had noted their end.
        self._strays: dict[tuple[TaskId, int, str], Cause] = {}
        self._listed_down: set[str] = set()
        workers.cpu_millis_of = lambda task: CPU_MILLIS
        workers.on_applied = self._check_stray

    async def run(self) -> None:
        """Applies the plan, heals all faults and checks the rules."""
        for job in self.plan.early:
            await self.apply(job)
        await self.fleet.timers.advance(self.plan.warm_up_s)
        for item in self.plan.events:
            await self.apply(item)
        left_s = self._faults_end_s - self.fleet.timers.now_s()
        await self.fleet.timers.advance(max(0.0, left_s) + 1.0)
        await self.heal()
        await self._check_ends()
        self.findings[:0] = [
            self._finding_of(overlap) for overlap in self.workers.overlaps
        ]

    async def apply(self, item: Event) -> None:
        """Applies an event after its pause."""
        await self.fleet.timers.advance(item.after_s)
        if self.is_traced:
            fields = msgspec.structs.asdict(item)
            self.record("walk", type(item).__name__, fields)
        await HANDLERS_BY_EVENT[type(item)](self, item)

    def record(self, source: str, name: str, fields: dict[str, Any]) -> None:
        """Adds a line to the trace."""
        now_s = self.fleet.timers.now_s()
        self.trace.append(TracedLine(now_s, source, name, dict(fields)))

    def later(self, delay_s: float, do: Callable[[], None]) -> None:
        """Does something after a while."""
        due_s = self.fleet.timers.now_s() + delay_s
        self._faults_end_s = max(self._faults_end_s, due_s)
        self.fleet.timers.schedule(delay_s, do)

    def in_background(self, work: Awaitable[object]) -> asyncio.Future[object]:
        """Starts work that goes on while time advances."""
        future = asyncio.ensure_future(work)
        self._background.append(future)
        return future

    async def wait_for_owner(self) -> Host | None:
        """Waits until a host that isn't paused owns the pool."""
        waited_s = 0.0
        while waited_s < OWNER_LIMIT_S:
            for host in self.fleet.hosts:
                if host.owns() and not host.timers.is_frozen:
                    return host
            await self.fleet.timers.advance(_POLL_S)
            waited_s += _POLL_S
        return None

    def ready_host(self) -> Host | None:
        """Returns a host that serves callers."""
        for host in self.fleet.hosts:
            manager = host.manager
            is_ready = manager is not None and manager.is_ready()
            if is_ready and not host.timers.is_frozen:
                return host
        return None

    def cut(
        self, for_s: float, cut: contextlib.AbstractContextManager[object]
    ) -> None:
        """Enters a cut and leaves it after a while."""
        stack = contextlib.ExitStack()
        stack.enter_context(cut)
        self._cuts.append(stack)
        self.later(for_s, stack.close)

    def hide_entries(self, instance_ids: Iterable[str], for_s: float) -> None:
        """Takes workers' entries out of the store for a while."""
        for instance_id in instance_ids:
            self.fleet.store.put(WORKERS, instance_id, b"")
            self.show_later(instance_id, for_s)

    def show_later(self, instance_id: str, delay_s: float) -> None:
        """Has a worker's life be listed after a while, if it goes on."""
        worker = self.workers.workers_by_instance[instance_id]

        def show() -> None:
            if self.workers.workers_by_instance[instance_id] is worker:
                self.fleet.put_entry(worker.entry)

        self.later(delay_s, show)

    def set_machine_state(self, instance_id: str, state: MachineState) -> None:
        """Lists a worker's machine in a state."""
        entry = self.workers.workers_by_instance[instance_id].entry
        machines = self.fleet.machines.machines_by_id
        machines[entry.machine_id] = msgspec.structs.replace(
            machines[entry.machine_id], state=state
        )
        if state is MachineState.DOWN:
            self._listed_down.add(instance_id)

    async def end_host(self, host: Host, back_after_s: float) -> None:
        """Ends a host's process and starts it again after a while."""
        if host.manager is None:
            return
        host.timers.thaw()
        await host.kill()
        self.later(back_after_s, lambda: self.start_host(host))

    def start_host(self, host: Host) -> None:
        """Starts a host's process if it has ended."""
        if host.manager is None:
            host.start()

    async def heal(self) -> None:
        """Removes all faults."""
        if self.is_traced:
            self.record("walk", "healed", {})
        for stack in self._cuts:
            stack.close()
        self.workers.lateness_by_instance.clear()
        self.workers.unheard_starts.clear()
        for host in self.fleet.hosts:
            host.timers.thaw()
            self.start_host(host)
        for instance_id, worker in self.workers.workers_by_instance.items():
            worker.faults.fails_all = False
            if not worker.is_dead:
                self.fleet.put_entry(worker.entry)
                self.set_machine_state(instance_id, MachineState.UP)

    async def close(self) -> None:
        """Ends what goes on in the background."""
        for future in self._background:
            future.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)

    def accepted_jobs(self) -> list[int]:
        """Returns the jobs whose callers were told that they were accepted."""
        return [
            job
            for job, future in self.submissions_by_job.items()
            if future.done()
            and not future.cancelled()
            and future.exception() is None
            and future.result() is OK
        ]

    async def _check_ends(self) -> None:
        """Waits until all accepted jobs have ended as they may."""
        limit_s = self.fleet.timers.now_s() + END_LIMIT_S
        while self.fleet.timers.now_s() < limit_s:
            await self.fleet.timers.advance(0.2)
            self._note_states()
            if set(self.accepted_jobs()) <= self._states_by_job.keys():
                break
        for job in self.accepted_jobs():
            state = self._states_by_job.get(job)
            if state not in self._allowed_states(job):
                self._add_lost(job, state)

    def _note_states(self) -> None:
        for host in self.fleet.hosts:
            if host.manager is None:
                continue
            for owner in host.manager.duties.owners_by_pool.values():
                if owner.state is None:
                    continue
                jobs = owner.state.job_table.jobs_by_id
                for number in self.submissions_by_job:
                    job = jobs.get(job_id_of(number))
                    if job is not None and job.stored_state.is_final:
                        self._states_by_job[number] = job.stored_state

    def _allowed_states(self, job: int) -> set[JobState]:
        allowed = {JobState.COMPLETED}
        events = self.plan.events
        if any(isinstance(item, RunsFail) for item in events):
            allowed.add(JobState.FAILED)
        for item in events:
            if isinstance(item, JobCancelled) and item.job == job:
                allowed.add(JobState.CANCELLED)
        return allowed

    def _add_lost(self, job: int, state: JobState | None) -> None:
        detail = f"job {job} is {state.name if state else 'not ended'}"
        now_s = self.fleet.timers.now_s()
        self.findings.append(Finding("LOST", Cause.UNKNOWN, now_s, detail))

    def _check_stray(self, start: AppliedStart) -> None:
        """Notes a run that begins after the manager has noted its end."""
        if self.is_traced:
            task = start.order.task
            fields = {
                "job": task.job_id,
                "task": (task.occurrence, task.step, task.index),
                "run": start.order.number,
                "token": start.order.token,
                "worker": start.worker_id,
                "is_late": start.is_late,
            }
            self.record("workers", "start.applied", fields)
        if not start.is_late:
            return
        for host in self.fleet.hosts:
            for fields in host.lines("run.ended"):
                if _is_end_of(fields, start):
                    self._note_stray(start, str(fields["end"]))

    def _note_stray(self, start: AppliedStart, end: str) -> None:
        key = (start.order.task, start.order.number, start.worker_id)
        if end != RunEnd.LAPSED.name:
            self._strays[key] = Cause.COPY_OF_ENDED_RUN
        elif start.worker_id.split("@")[0] in self._listed_down:
            self._strays[key] = Cause.COPY_AFTER_DOWN

    def _finding_of(self, overlap: Overlap) -> Finding:
        violation = overlap.violation
        cause = Cause.UNKNOWN
        for start in overlap.starts:
            key = (violation.task, start.order.number, start.worker_id)
            cause = self._strays.get(key, cause)
        is_limit = violation.rule == "start beyond capacity"
        return Finding(
            "LIMIT" if is_limit else "TWICE",
            cause,
            overlap.at_s,
            f"{violation.rule}: {violation.task}: {violation.detail}",
            violation.task,
        )


def _is_end_of(fields: dict[str, object], start: AppliedStart) -> bool:
    """Returns whether a line is about the end of a run on another life."""
    task = start.order.task
    position = tuple(cast(list[int], fields["task"]))
    return (
        fields["job"] == task.job_id
        and position == (task.occurrence, task.step, task.index)
        and fields["run"] == start.order.number
        and fields["worker"] != start.worker_id
    )


E = TypeVar("E", bound=Event)
Handler = Callable[[Walk, E], Awaitable[None]]
HANDLERS_BY_EVENT: dict[type[Event], Handler[Any]] = {}


def handles(event_type: type[E]) -> Callable[[Handler[E]], Handler[E]]:
    """Registers the decorated function as the handler of an event."""

    def register(handler: Handler[E]) -> Handler[E]:
        HANDLERS_BY_EVENT[event_type] = handler
        return handler

    return register


@handles(JobSubmitted)
async def _submit(walk: Walk, item: JobSubmitted) -> None:
    host = walk.ready_host()
    if host is None or host.manager is None:
        return
    jobs = host.manager.jobs
    queue = jobs.find_queue("host", "/q/x")
    assert isinstance(queue, Queue)
    step = Step(
        count=item.count,
        cpu_millis=CPU_MILLIS,
        estimate_ms=ESTIMATE_MS,
        per_worker_limit=1 if item.is_spread else 0,
    )
    now_ms = walk.fleet.wall_ms()
    request = JobRequest(
        queue.name, "text", (step,), now_ms, terms=queue.terms()
    )
    deadline_s = walk.fleet.timers.now_s() + DEADLINE_S
    work = jobs.submit(queue, job_id_of(item.job), request, deadline_s)
    walk.submissions_by_job[item.job] = walk.in_background(work)


@handles(JobCancelled)
async def _cancel(walk: Walk, item: JobCancelled) -> None:
    host = walk.ready_host()
    if host is None or host.manager is None:
        return
    jobs = host.manager.jobs
    queue = jobs.find_queue("host", "/q/x")
    assert isinstance(queue, Queue)
    deadline_s = walk.fleet.timers.now_s() + DEADLINE_S
    work = jobs.cancel(queue, job_id_of(item.job), deadline_s, None)
    walk.in_background(work)


@handles(OwnerAwaited)
async def _await_owner(walk: Walk, item: OwnerAwaited) -> None:
    del item
    await walk.wait_for_owner()


@handles(OwnerLeaves)
async def _leave(walk: Walk, item: OwnerLeaves) -> None:
    host = await walk.wait_for_owner()
    if host is None or host.manager is None:
        return
    walk.in_background(host.manager.leave())

    def end() -> None:
        walk.in_background(walk.end_host(host, item.back_after_s))

    walk.later(LEAVE_S, end)


@handles(OwnerKilled)
async def _kill(walk: Walk, item: OwnerKilled) -> None:
    host = await walk.wait_for_owner()
    if host is not None:
        await walk.end_host(host, item.back_after_s)


@handles(OwnerFrozen)
async def _freeze(walk: Walk, item: OwnerFrozen) -> None:
    host = await walk.wait_for_owner()
    if host is not None:
        host.timers.is_frozen = True
        walk.later(item.for_s, host.timers.thaw)


@handles(OwnerParted)
async def _part(walk: Walk, item: OwnerParted) -> None:
    host = await walk.wait_for_owner()
    if host is not None:
        others = [*item.from_workers, *([STORE] if item.from_store else [])]
        walk.cut(item.for_s, cut_off(walk.fleet, [host], others=others))


@handles(WorkersReborn)
async def _reborn(walk: Walk, item: WorkersReborn) -> None:
    for instance_id in item.workers:
        worker = walk.workers.workers_by_instance[instance_id]
        if worker.is_dead:
            continue
        worker.faults.resets_connections = item.resets_connections
        walk.workers.kill(instance_id)
        if item.is_dark:
            walk.fleet.store.put(WORKERS, instance_id, b"")
        if item.is_listed_down:
            walk.set_machine_state(instance_id, MachineState.DOWN)
        walk.later(item.down_s, _return_of(walk, instance_id, item))


def _return_of(
    walk: Walk, instance_id: str, item: WorkersReborn
) -> Callable[[], None]:
    """Returns what starts the next life of a worker."""
    former = walk.workers.workers_by_instance[instance_id].entry

    def come_back() -> None:
        walk.fleet.restart_worker(instance_id, walk.fleet.wall_ms())
        walk.set_machine_state(instance_id, MachineState.UP)
        # Faults of the network go on for the next life.
        apply_cuts(walk.fleet)
        if item.unlisted_s and item.is_dark:
            walk.fleet.store.put(WORKERS, instance_id, b"")
        elif item.unlisted_s:
            walk.fleet.put_entry(former)
        walk.show_later(instance_id, item.unlisted_s)

    return come_back


@handles(WorkersAdded)
async def _add_workers(walk: Walk, item: WorkersAdded) -> None:
    first = len(walk.workers.workers_by_instance) + 1
    for number in range(first, first + item.count):
        walk.fleet.add_worker(number, walk.fleet.wall_ms())


@handles(WorkersUnlisted)
async def _unlist(walk: Walk, item: WorkersUnlisted) -> None:
    walk.hide_entries(item.workers, item.for_s)


@handles(WorkersCutOff)
async def _cut_workers(walk: Walk, item: WorkersCutOff) -> None:
    lost = Lost.OUTWARD if item.is_one_way else Lost.BOTH_WAYS
    cut = cut_off(walk.fleet, workers=item.workers, lost=lost)
    walk.cut(item.for_s, cut)
    if item.is_unlisted:
        walk.hide_entries(item.workers, item.for_s)


@handles(CallsLate)
async def _delay_calls(walk: Walk, item: CallsLate) -> None:
    lateness = Lateness(item.kinds, item.share, item.max_delay_s)
    lateness_by_instance = walk.workers.lateness_by_instance
    for instance_id in item.workers:
        lateness_by_instance[instance_id] = lateness

    def end() -> None:
        for instance_id in item.workers:
            if lateness_by_instance.get(instance_id) is lateness:
                del lateness_by_instance[instance_id]

    walk.later(item.for_s, end)


@handles(StartsUnheard)
async def _lose_replies(walk: Walk, item: StartsUnheard) -> None:
    unheard = walk.workers.unheard_starts
    unheard.update(item.workers)
    walk.later(item.for_s, lambda: unheard.difference_update(item.workers))


@handles(RunsFail)
async def _fail_runs(walk: Walk, item: RunsFail) -> None:
    workers = walk.workers.workers_by_instance
    faults_of_lives = [workers[key].faults for key in item.workers]

    def set_failing(value: bool) -> None:
        for faults in faults_of_lives:
            faults.fails_all = value

    set_failing(True)
    walk.later(item.for_s, lambda: set_failing(False))


def _trace_host(walk: Walk, host: Host) -> None:
    """Has the lines of a host's log that tell of decisions be traced."""
    write = host.log.write

    def write_traced(event: str, **fields: object) -> None:
        if event in _TRACED_EVENTS:
            walk.record(host.host_id, event, fields)
        write(event, **fields)

    host.log.write = write_traced  # type: ignore[method-assign]


@contextlib.asynccontextmanager
async def walking(plan: Plan, is_traced: bool = False) -> AsyncIterator[Walk]:
    """Yields a walk whose deployment has an owner of its pool.

    Args:
        plan: What the walk does.
        is_traced: Whether to keep a trace.
    """
    timers = VirtualTimers()
    durations_s = plan.durations_by_job()

    def duration_of(task: TaskId) -> float:
        return durations_s[task.job_id]

    fleet = Fleet(timers, duration_of)
    workers = LateWorkers(timers, duration_of, plan.seed)
    fleet.workers = workers
    fleet.store.poll_interval_s = _STORE_POLL_S
    fleet.configure()
    walk = Walk(plan, fleet, workers, is_traced)
    for number, (instance_id, age_s) in enumerate(plan.ages_s.items()):
        age_ms = round(age_s * _MS_PER_S)
        rack = f"r{number % RACKS + 1}"
        fleet.add_worker(number + 1, fleet.wall_ms() - age_ms, rack)
        workers.workers_by_instance[instance_id].started_s -= age_s
    for _ in range(plan.hosts):
        host = fleet.add_host()
        if is_traced:
            _trace_host(walk, host)
    try:
        await fleet.wait_until(
            lambda: (
                any(host.owns() for host in fleet.hosts)
                and all(host.manager is not None for host in fleet.hosts)
            )
        )
        await timers.advance(1.0)
        yield walk
    finally:
        await walk.close()
        for host in fleet.hosts:
            if host.manager is not None:
                await host.kill()


async def _findings_of(plan: Plan) -> list[Finding]:
    async with walking(plan) as walk:
        await walk.run()
        return walk.findings


async def _trace_of(plan: Plan) -> list[TracedLine]:
    async with walking(plan, is_traced=True) as walk:
        await walk.run()
        return walk.trace


def run_plan(plan: Plan) -> list[Finding]:
    """Runs a plan; returns the rules that it broke."""
    return asyncio.run(_findings_of(plan))


def run_walk(seed: int) -> list[Finding]:
    """Runs the walk of a seed; returns the rules that it broke."""
    return run_plan(draw_plan(seed))


def trace_plan(plan: Plan) -> list[TracedLine]:
    """Runs a plan; returns what it did and what hosts and workers did."""
    return asyncio.run(_trace_of(plan))
