"""In-memory workers with injectable faults, driven by a timer service.

Besides running tasks they record violations of what callers rely on: a task
must not run twice at once, nor again after it was done and that end is
acknowledged, before the second start or after it.
"""

import random
from collections.abc import Callable

import msgspec

from coltsfootseam.jobs import RunEnd, TaskId
from coltsfootseam.standins.memory_worker import (
    MemoryRun,
    MemoryWorker,
    Violation,
)
from coltsfootseam.standins.memory_worker_calls import MemoryWorkerCalls
from coltsfootseam.timers import TimerService
from coltsfootseam.workers import (
    EndedRun,
    HeartbeatReply,
    HeartbeatRequest,
    OrderOutcome,
    PaceOrder,
    RunningRun,
    StartOrder,
    StopOrder,
    WorkerEntry,
)

_MS_PER_S = 1000
_TICK_S = 0.02
_MAX_LEASE_S = 10.0
_MAX_LISTED_ENDS = 500

DurationOf = Callable[[TaskId], float]
"""Returns a task's duration in seconds, at least 1e8 if long-running."""


class MemoryWorkers:
    """All workers of a deployment.

    Attributes:
        workers_by_instance: Workers by their instance id.
        violations: Violations found so far.
        starts: Starts that were applied, in order.
        start_transfer_s: How long sending one start occupies the link of the
            sending host.
        starts_in_flight: Starts that were sent and not answered yet.
        max_starts_in_flight: Maximum of ``starts_in_flight`` so far.
        checkpointing_jobs: Ids of jobs whose tasks save checkpoints.
        duplicable_jobs: Ids of jobs whose tasks may run twice at once.
        gang_jobs: Ids of jobs whose steps are gangs: when a crash ends a
            member, the others break off.
        loads_by_task: Load that the workers report for a task.
        deadly_tasks: Tasks that crash each worker that starts them.
        crash_delay_s: Time from the start of such a task to the crash.
        crashes_by_task: Workers that crashed under each of them, in order.
        lost_workers_by_task: Workers that ended for any cause while they ran
            a task.
        on_crash: Called with the instance id of each worker that crashed.
        on_start: Called with each start, once it was applied.
        cpu_millis_of: Processor that a task takes; starts that exceed the
            capacity of their worker are violations.
        pace_orders: Orders on the speed of a run, in order.
        max_listed_ends: How many ended runs a reply lists at most.
    """

    __slots__ = (
        "_acknowledged_done",
        "_duration_of",
        "_random",
        "_timers",
        "checkpointing_jobs",
        "cpu_millis_of",
        "crash_delay_s",
        "crashes_by_task",
        "deadly_tasks",
        "duplicable_jobs",
        "gang_jobs",
        "loads_by_task",
        "lost_workers_by_task",
        "max_listed_ends",
        "max_starts_in_flight",
        "on_crash",
        "on_start",
        "pace_orders",
        "start_transfer_s",
        "starts",
        "starts_in_flight",
        "violations",
        "workers_by_instance",
    )

    def __init__(
        self, timers: TimerService, duration_of: DurationOf, seed: int = 1
    ) -> None:
        self._timers = timers
        self._duration_of = duration_of
        self._random = random.Random(seed)
        self._acknowledged_done: set[TaskId] = set()
        self.workers_by_instance: dict[str, MemoryWorker] = {}
        self.violations: list[Violation] = []
        self.starts: list[StartOrder] = []
        self.start_transfer_s = 0.0
        self.starts_in_flight = 0
        self.max_starts_in_flight = 0
        self.checkpointing_jobs: set[str] = set()
        self.duplicable_jobs: set[str] = set()
        self.gang_jobs: set[str] = set()
        self.loads_by_task: dict[TaskId, int] = {}
        self.deadly_tasks: set[TaskId] = set()
        self.crash_delay_s = 0.01
        self.crashes_by_task: dict[TaskId, list[str]] = {}
        self.lost_workers_by_task: dict[TaskId, list[str]] = {}
        self.on_crash: Callable[[str], None] = lambda instance_id: None
        self.on_start: Callable[[StartOrder], None] = lambda order: None
        self.cpu_millis_of: Callable[[TaskId], int] = lambda task: 0
        self.pace_orders: list[PaceOrder] = []
        self.max_listed_ends = _MAX_LISTED_ENDS
        timers.subscribe(_TICK_S, self._tick)

    def add(self, entry: WorkerEntry) -> MemoryWorker:
        """Adds a worker, or the next incarnation of one."""
        worker = MemoryWorker(entry, self._timers.now_s())
        self.workers_by_instance[entry.instance_id] = worker
        return worker

    def kill(self, instance_id: str) -> None:
        """Ends a worker's incarnation with all of its runs."""
        worker = self.workers_by_instance[instance_id]
        worker.is_dead = True
        for task in worker.runs_by_task:
            lost = self.lost_workers_by_task.setdefault(task, [])
            lost.append(worker.entry.worker_id)
        worker.runs_by_task.clear()

    def resize(self, instance_id: str, cpu_millis: int) -> WorkerEntry:
        """Changes a worker's capacity; returns the entry that reports it.

        Starts that exceed a capacity that has shrunk are tolerated for as long
        as a report of it may take.
        """
        worker = self.workers_by_instance[instance_id]
        worker.tolerated_cpu_millis = worker.capacity_millis(
            self._timers.now_s()
        )
        worker.resized_s = self._timers.now_s()
        worker.entry = msgspec.structs.replace(
            worker.entry, cpu_millis=cpu_millis
        )
        return worker.entry

    def calls(
        self, host_id: str, timers: TimerService | None = None
    ) -> MemoryWorkerCalls:
        """Returns one host's access to the workers.

        Args:
            host_id: Id of the host.
            timers: The host's timers if it can be paused; otherwise those of
                the workers.
        """
        return MemoryWorkerCalls(
            self, timers or self._timers, self._random, host_id
        )

    def schedule_start(
        self, delay_s: float, entry: WorkerEntry, order: StartOrder
    ) -> None:
        """Applies a start after a delay, even if its sender is gone.

        It reaches whose process is at the entry's address by then.
        """

        def start() -> None:
            worker = self.find(entry)
            is_meant = (
                worker is not None
                and worker.entry.instance_id == entry.instance_id
            )
            if worker is not None and is_meant:
                self.apply_start(worker, order)

        self._timers.schedule(delay_s, start)

    def find(self, entry: WorkerEntry) -> MemoryWorker | None:
        """Returns whose process is at an entry's address, if it is alive.

        It need not be the incarnation that the entry is of: an incarnation
        that has kept its instance id can't tell whom a call was meant for.
        """
        worker = self.workers_by_instance.get(entry.instance_id)
        if worker is not None and not worker.is_dead:
            return worker
        for other in self.workers_by_instance.values():
            if other.entry.address == entry.address and not other.is_dead:
                return other
        return None

    def clock_ms(self, worker: MemoryWorker) -> int:
        """Returns the worker's monotonic clock."""
        age_s = self._timers.now_s() - worker.started_s
        return round(age_s * _MS_PER_S)

    def apply_start(
        self, worker: MemoryWorker, order: StartOrder
    ) -> OrderOutcome:
        """Applies a start."""
        if order.token < worker.token:
            return OrderOutcome.FENCED
        worker.token = order.token
        if order.lease_end_ms > self.clock_ms(worker):
            self._extend_lease(worker, order.lease_end_ms)
        run = worker.runs_by_task.get(order.task)
        if run is not None and run.number == order.number:
            return OrderOutcome.DONE
        if order.lease_end_ms <= self.clock_ms(worker):
            return OrderOutcome.LATE
        if order.number <= worker.highest_ended_by_task.get(order.task, 0):
            return OrderOutcome.OLD
        self._check_start(worker, order)
        self._check_capacity(worker, order)
        self.starts.append(order)
        total_s = self._duration_of(order.task)
        worker.runs_by_task[order.task] = MemoryRun(
            order.task,
            order.number,
            total_s,
            total_s - float(order.checkpoint or 0),
        )
        self.on_start(order)
        if order.task in self.deadly_tasks:
            self._timers.schedule(
                self.crash_delay_s, lambda: self._crash(worker, order)
            )
        return OrderOutcome.DONE

    def apply_stop(
        self, worker: MemoryWorker, order: StopOrder
    ) -> OrderOutcome:
        """Applies a stop."""
        if order.token < worker.token:
            return OrderOutcome.FENCED
        worker.token = order.token
        run = worker.runs_by_task.get(order.task)
        highest = worker.highest_ended_by_task.get(order.task, 0)
        worker.highest_ended_by_task[order.task] = max(highest, order.number)
        if run is not None and run.number <= order.number:
            self._end_run(worker, run, RunEnd.STOPPED)
        return OrderOutcome.DONE

    def apply_heartbeat(
        self, worker: MemoryWorker, order: HeartbeatRequest
    ) -> bool:
        """Applies a heartbeat; returns false if the sender is fenced."""
        if order.token < worker.token:
            return False
        worker.token = order.token
        if order.lease_end_ms is not None:
            self._extend_lease(worker, order.lease_end_ms)
        for row in worker.ended_runs:
            if row.sequence > order.acknowledged or row.end is not RunEnd.DONE:
                continue
            # An owner may have given the run up when the lease ended.
            if worker.lapse_count_by_end[row.sequence] == worker.lapse_count:
                self._check_starts_since_end(worker, row)
                self._acknowledged_done.add(row.task)
        worker.ended_runs = [
            row
            for row in worker.ended_runs
            if row.sequence > order.acknowledged
        ]
        return True

    def heartbeat_reply(self, worker: MemoryWorker) -> HeartbeatReply:
        """Returns a worker's reply with its running and ended runs."""
        return HeartbeatReply(
            clock_ms=self.clock_ms(worker),
            started_ms=worker.entry.started_ms,
            running=[
                RunningRun(
                    run.task,
                    run.number,
                    "",
                    run.progress(),
                    self.loads_by_task.get(run.task, 0),
                )
                for run in worker.runs_by_task.values()
            ],
            ended=worker.ended_runs[: self.max_listed_ends],
            has_more_ends=len(worker.ended_runs) > self.max_listed_ends,
        )

    def _crash(self, worker: MemoryWorker, order: StartOrder) -> None:
        run = worker.runs_by_task.get(order.task)
        if worker.is_dead or run is None or run.number != order.number:
            return
        crashed = self.crashes_by_task.setdefault(order.task, [])
        crashed.append(worker.entry.worker_id)
        self.kill(worker.entry.instance_id)
        if order.task.job_id in self.gang_jobs:
            self._break_gang(order.task)
        self.on_crash(worker.entry.instance_id)

    def _break_gang(self, lost: TaskId) -> None:
        """Ends the runs of the other members of a gang."""
        for worker in self.workers_by_instance.values():
            for run in list(worker.runs_by_task.values()):
                task = run.task
                if task.job_id == lost.job_id and task.step == lost.step:
                    self._end_run(worker, run, RunEnd.BROKEN)

    def _extend_lease(self, worker: MemoryWorker, lease_end_ms: int) -> None:
        max_end_ms = self.clock_ms(worker) + _MAX_LEASE_S * _MS_PER_S
        end_ms = min(lease_end_ms, max_end_ms)
        worker.lease_end_ms = max(worker.lease_end_ms, end_ms)

    def _check_start(self, worker: MemoryWorker, order: StartOrder) -> None:
        if order.task.job_id in self.duplicable_jobs:
            return
        for other in self.workers_by_instance.values():
            if order.task in other.runs_by_task and not other.is_dead:
                self.violations.append(
                    Violation(
                        "two runs at once",
                        order.task,
                        f"{other.entry.worker_id} and {worker.entry.worker_id}",
                    )
                )
        if order.task in self._acknowledged_done:
            self.violations.append(
                Violation(
                    "run after its acknowledged end",
                    order.task,
                    str(order.number),
                )
            )

    def _check_starts_since_end(
        self, worker: MemoryWorker, row: EndedRun
    ) -> None:
        """Records the starts of a task between an end and its acknowledgement.

        Args:
            worker: The worker on which the run was done.
            row: The end, which is acknowledged now.
        """
        if row.task.job_id in self.duplicable_jobs:
            return
        first = worker.starts_before_end[row.sequence]
        for order in self.starts[first:]:
            if order.task == row.task:
                self.violations.append(
                    Violation(
                        "started after an end that was noted later",
                        row.task,
                        f"run {order.number} after run {row.number} was done",
                    )
                )

    def _check_capacity(self, worker: MemoryWorker, order: StartOrder) -> None:
        tasks = {*worker.runs_by_task, order.task}
        used_millis = sum(self.cpu_millis_of(task) for task in tasks)
        capacity_millis = worker.capacity_millis(self._timers.now_s())
        if used_millis > capacity_millis:
            self.violations.append(
                Violation(
                    "start beyond capacity",
                    order.task,
                    f"{worker.entry.worker_id}: {used_millis} of "
                    f"{capacity_millis}",
                )
            )

    def _tick(self) -> None:
        for worker in self.workers_by_instance.values():
            if worker.is_dead:
                continue
            is_lapsed = self.clock_ms(worker) > worker.lease_end_ms
            worker.lapse_count += is_lapsed and not worker.is_lapsed
            worker.is_lapsed = is_lapsed
            for run in list(worker.runs_by_task.values()):
                self._advance_run(worker, run)

    def _advance_run(self, worker: MemoryWorker, run: MemoryRun) -> None:
        if self.clock_ms(worker) > worker.lease_end_ms:
            self._end_run(worker, run, RunEnd.LAPSED)
            return
        if worker.faults.fails_all:
            self._end_run(worker, run, RunEnd.FAILED)
            return
        if not worker.faults.hangs:
            run.remaining_s -= _TICK_S / worker.faults.slowness
        if run.remaining_s <= 0:
            self._end_run(worker, run, RunEnd.DONE)

    def _end_run(
        self, worker: MemoryWorker, run: MemoryRun, end: RunEnd
    ) -> None:
        del worker.runs_by_task[run.task]
        highest = worker.highest_ended_by_task.get(run.task, 0)
        worker.highest_ended_by_task[run.task] = max(highest, run.number)
        worker.ended_count += 1
        worker.lapse_count_by_end[worker.ended_count] = worker.lapse_count
        worker.starts_before_end[worker.ended_count] = len(self.starts)
        checkpoint = (
            run.checkpoint()
            if run.task.job_id in self.checkpointing_jobs
            else ""
        )
        worker.ended_runs.append(
            EndedRun(worker.ended_count, run.task, run.number, end, checkpoint)
        )
