"""In-memory workers whose calls arrive late, whatever process is there then."""

import random
from collections.abc import Callable

import msgspec

from coltsfootseam.jobs import TaskId
from coltsfootseam.standins.memory_worker import MemoryWorker, Violation
from coltsfootseam.standins.memory_worker_calls import MemoryWorkerCalls
from coltsfootseam.standins.memory_workers import DurationOf, MemoryWorkers
from coltsfootseam.timers import TimerService
from coltsfootseam.workers import (
    HeartbeatReply,
    HeartbeatRequest,
    OrderOutcome,
    OrderReply,
    StartOrder,
    StopOrder,
    WorkerEntry,
)


class Lateness(msgspec.Struct, frozen=True):
    """How calls to a worker are delayed.

    Attributes:
        kinds: Which calls: ``start``, ``heartbeat`` and ``stop``.
        share: The share of them that is carried out late and not answered.
        max_delay_s: The longest delay.
    """

    kinds: tuple[str, ...]
    share: float
    max_delay_s: float


class AppliedStart(msgspec.Struct, frozen=True):
    """A start that began a run.

    Attributes:
        at_s: When it was carried out, in virtual seconds.
        worker_id: The life that carried it out.
        order: The start.
        is_late: Whether it was a copy that arrived late.
    """

    at_s: float
    worker_id: str
    order: StartOrder
    is_late: bool


class Overlap(msgspec.Struct, frozen=True):
    """A violation, with the starts of its task up to then."""

    at_s: float
    violation: Violation
    starts: tuple[AppliedStart, ...]


class LateWorkers(MemoryWorkers):
    """Workers to which calls are late and from which replies are lost.

    Attributes:
        lateness_by_instance: The workers to which calls are delayed.
        unheard_starts: Instance ids of workers whose replies to starts are
            lost.
        applied: The starts that began runs, in order.
        overlaps: The violations, in order.
        on_applied: Called with each start that began a run.
    """

    __slots__ = (
        "_rng",
        "applied",
        "lateness_by_instance",
        "on_applied",
        "overlaps",
        "unheard_starts",
    )

    def __init__(
        self, timers: TimerService, duration_of: DurationOf, seed: int
    ) -> None:
        super().__init__(timers, duration_of, seed)
        self._rng = random.Random(seed)
        self.lateness_by_instance: dict[str, Lateness] = {}
        self.unheard_starts: set[str] = set()
        self.applied: list[AppliedStart] = []
        self.overlaps: list[Overlap] = []
        self.on_applied: Callable[[AppliedStart], None] = lambda start: None

    def calls(
        self, host_id: str, timers: TimerService | None = None
    ) -> MemoryWorkerCalls:
        """Returns one host's access to the workers."""
        return _LateCalls(self, timers or self._timers, self._rng, host_id)

    def draw_delay_s(self, instance_id: str, kind: str) -> float | None:
        """Returns how late a call is carried out, ``None`` if it isn't late."""
        lateness = self.lateness_by_instance.get(instance_id)
        if lateness is None or kind not in lateness.kinds:
            return None
        if self._rng.random() >= lateness.share:
            return None
        return self._rng.uniform(0.1, lateness.max_delay_s)

    def carry_out_later(
        self,
        delay_s: float,
        entry: WorkerEntry,
        apply: Callable[[MemoryWorker], object],
    ) -> None:
        """Carries out a call on whose process is at the address by then."""

        def arrive() -> None:
            worker = self.find(entry)
            if worker is None:
                return
            if worker.entry.instance_id == entry.instance_id:
                apply(worker)

        self._timers.schedule(delay_s, arrive)

    def apply_start(
        self, worker: MemoryWorker, order: StartOrder, is_late: bool = False
    ) -> OrderOutcome:
        """Applies a start and records the run that it begins."""
        starts = len(self.starts)
        violations = len(self.violations)
        outcome = super().apply_start(worker, order)
        if len(self.starts) > starts:
            start = AppliedStart(
                self._timers.now_s(), worker.entry.worker_id, order, is_late
            )
            self.applied.append(start)
            self.on_applied(start)
        self._record_overlaps(violations)
        return outcome

    def apply_heartbeat(
        self, worker: MemoryWorker, order: HeartbeatRequest
    ) -> bool:
        """Applies a heartbeat."""
        violations = len(self.violations)
        is_applied = super().apply_heartbeat(worker, order)
        self._record_overlaps(violations)
        return is_applied

    def starts_of(self, task: TaskId) -> tuple[AppliedStart, ...]:
        """Returns the starts of a task so far."""
        return tuple(
            start for start in self.applied if start.order.task == task
        )

    def _record_overlaps(self, first: int) -> None:
        for violation in self.violations[first:]:
            self.overlaps.append(
                Overlap(
                    self._timers.now_s(),
                    violation,
                    self.starts_of(violation.task),
                )
            )


class _LateCalls(MemoryWorkerCalls):
    """One host's access to workers to which calls are late."""

    __slots__ = ("_late_workers",)

    def __init__(
        self,
        workers: LateWorkers,
        timers: TimerService,
        rng: random.Random,
        host_id: str,
    ) -> None:
        super().__init__(workers, timers, rng, host_id)
        self._late_workers = workers

    async def heartbeat(
        self, worker: WorkerEntry, order: HeartbeatRequest
    ) -> HeartbeatReply | OrderReply:
        """Extends a lease, perhaps late."""
        workers = self._late_workers
        reply = await self._delay(
            worker,
            "heartbeat",
            lambda found: workers.apply_heartbeat(found, order),
        )
        return reply or await super().heartbeat(worker, order)

    async def start(self, worker: WorkerEntry, order: StartOrder) -> OrderReply:
        """Orders the start of a run, perhaps late."""
        workers = self._late_workers
        reply = await self._delay(
            worker,
            "start",
            lambda found: workers.apply_start(found, order, is_late=True),
        )
        if reply is not None:
            return reply
        reply = await super().start(worker, order)
        if worker.instance_id in workers.unheard_starts:
            return await self._lose_reply()
        return reply

    async def stop(self, worker: WorkerEntry, order: StopOrder) -> OrderReply:
        """Orders the stop of a run, perhaps late."""
        workers = self._late_workers
        reply = await self._delay(
            worker, "stop", lambda found: workers.apply_stop(found, order)
        )
        return reply or await super().stop(worker, order)

    async def _delay(
        self,
        entry: WorkerEntry,
        kind: str,
        apply: Callable[[MemoryWorker], object],
    ) -> OrderReply | None:
        """Delays a call to a worker that can be reached.

        Returns:
            The outcome for the caller, ``None`` if the call isn't late.
        """
        workers = self._late_workers
        delay_s = workers.draw_delay_s(entry.instance_id, kind)
        if delay_s is None:
            return None
        found = await self._find_reachable(entry)
        if isinstance(found, OrderReply):
            return found
        workers.carry_out_later(delay_s, entry, apply)
        return await self._lose_reply()
