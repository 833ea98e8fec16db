"""Evacuates workers that drain or whose machines are needed elsewhere."""

import msgspec

from coltsfootseam.calls import EvacuationReply, EvacuationRequest
from coltsfootseam.jobs import Job, Run, RunPair, RunPhase, Step, Task
from coltsfootseam.manager.pools.evacuation_requests import (
    MAX_CONFIRMED_AGE_S,
    EvacuationRequests,
)
from coltsfootseam.manager.pools.interruptions import Interruptions
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.scheduling import (
    IsolationPlan,
    Occupancy,
    Shortage,
    WorkerSize,
    typical_size,
)
from coltsfootseam.workers import WorkerEntry

_MS_PER_S = 1000
_MILLIS_PER_CORE = 1000
_EVACUATED_REASON = "its machine is needed elsewhere"


class _Demand(msgspec.Struct, frozen=True):
    used_cores: float
    waiting_cores: float


class Evacuation:
    """Empties workers, within the unavailability that each step allows.

    Attributes:
        shortages: What could not be placed in the last planning round.
        isolation: The latest plan for suspects.
    """

    __slots__ = (
        "_interruptions",
        "_requests",
        "_state",
        "isolation",
        "shortages",
    )

    def __init__(self, state: PoolState, interruptions: Interruptions) -> None:
        self._state = state
        self._interruptions = interruptions
        self._requests = EvacuationRequests(
            state.context.times, state.journal.claimed_s
        )
        self.shortages: list[Shortage] = []
        self.isolation = IsolationPlan()

    def handle_request(self, request: EvacuationRequest) -> EvacuationReply:
        """Applies the fleet owner's request and returns the pool's demand."""
        state = self._state
        if not self._requests.apply(request, state.now_s()):
            state.context.log.write(
                "evacuation.ignored",
                pool=state.pool,
                token=request.token,
                latest_token=self._requests.token,
                workers=request.worker_ids,
            )
            state.context.counters.increment("evacuation.ignored")
            return EvacuationReply(is_owner=True, token=self._requests.token)
        self._update_workers()
        self._end_workers(request.released_ids)
        listed_s = state.now_s() - request.listed_age_s
        for worker_id in request.down_ids:
            state.lives.record_down(worker_id, listed_s)
        busy_ids = {
            *state.job_table.runs.worker_ids(),
            *state.lives.pending_worker_ids(),
        }
        workers = state.cluster.usable_workers()
        shortages = [
            item for item in self.shortages if _fits_any(item, workers)
        ]
        state.surplus_worker_ids = self._choose_surplus(request.spare_count)
        demand = self._demand(shortages, workers)
        empty_ids = self._empty_ids(request.worker_ids, busy_ids)
        state.offered_worker_ids.update(empty_ids)
        return EvacuationReply(
            is_owner=True,
            empty_ids=empty_ids,
            idle_ids=self._idle_ids(busy_ids),
            waiting_cores=demand.waiting_cores,
            waiting_labels=sorted(
                {item.ready.step.label for item in shortages} - {""}
            ),
            used_cores=demand.used_cores,
            worker_limit=self._min_worker_count(),
            token=self._requests.token,
        )

    def _end_workers(self, released_ids: list[str]) -> None:
        """Records that nothing runs any more on workers that were released."""
        state = self._state
        for worker_id in released_ids:
            state.ended_worker_ids.add(worker_id)
            link = state.links_by_id.get(worker_id)
            if link is not None:
                link.is_gone = True

    def _update_workers(self) -> None:
        """Updates which workers are to be evacuated."""
        state = self._state
        ids = self._requests.ids(state.now_s())
        state.evacuating_worker_ids = ids | {
            link.worker_id
            for link in state.links_by_id.values()
            if link.entry.machine_id in ids
        }
        state.are_orders_known = self._requests.is_settled(state.now_s())

    def _empty_ids(
        self, requested_ids: list[str], busy_ids: set[str]
    ) -> list[str]:
        """Returns the requested workers whose machines may be ordered now.

        Without a recent confirmation another owner may use them by now.
        """
        state = self._state
        if state.now_s() - state.journal.confirmed_s > MAX_CONFIRMED_AGE_S:
            return []
        return [
            worker_id
            for worker_id in requested_ids
            if worker_id in state.links_by_id and worker_id not in busy_ids
        ]

    def stop_leaving_runs(self) -> None:
        """Stops runs on draining and evacuated workers, as far as allowed."""
        state = self._state
        self._update_workers()
        if not self._requests.is_current(state.now_s()):
            state.surplus_worker_ids = set()
        self._interruptions.record_unavailable()
        for task, run in state.job_table.runs.all_runs():
            if run.phase is RunPhase.STOPPING or run.settled_s is None:
                continue
            link = state.links_by_id.get(run.worker_id)
            if link is None:
                continue
            if link.entry.is_draining:
                self._stop_draining_run(task, run, link.entry.remaining_ms)
            elif run.worker_id in state.evacuating_worker_ids:
                self._stop_evacuated_run(task, run)

    def _stop_draining_run(
        self, task: Task, run: Run, remaining_ms: int | None
    ) -> None:
        if task.step.long_running:
            self._state.job_table.stop_run(task, run, "the worker is draining")
            return
        left_ms = self._expected_remaining_ms(task, run)
        is_short_of_time = remaining_ms is None or left_ms > remaining_ms
        if task.step.checkpointing and is_short_of_time:
            self._state.job_table.stop_run(task, run, "the worker is draining")

    def _stop_evacuated_run(self, task: Task, run: Run) -> None:
        if task.step.long_running:
            self._interruptions.stop_if_allowed(task, run, _EVACUATED_REASON)
            return
        is_long = self._expected_remaining_ms(task, run) > _MS_PER_S
        if task.step.checkpointing and is_long:
            self._state.job_table.stop_run(task, run, _EVACUATED_REASON)

    def _expected_remaining_ms(self, task: Task, run: Run) -> float:
        ratio = self._state.health.estimate_ratio()
        lasted_ms = (self._state.now_s() - run.ordered_s) * _MS_PER_S
        return task.step.estimate_ms * ratio - lasted_ms

    def _demand(
        self, shortages: list[Shortage], workers: list[WorkerEntry]
    ) -> _Demand:
        """Returns what tasks occupy and what waiting ones will, in cores."""
        size = typical_size(workers)
        occupancy = Occupancy()
        exclusive_ids = self._exclusive_ids()
        for task, run in self._state.job_table.runs.all_runs():
            if not task.step.best_effort and run.worker_id not in exclusive_ids:
                occupancy.add(task.step, 1, size)
        occupancy.add(_whole_worker(size), len(exclusive_ids), size)
        used_cores = occupancy.cores(size)
        occupancy.add(_whole_worker(size), self.isolation.waiting_count, size)
        for shortage in shortages:
            step = shortage.ready.step
            if not step.best_effort:
                occupancy.add(step, shortage.count, size)
        return _Demand(used_cores, occupancy.cores(size) - used_cores)

    def _exclusive_ids(self) -> set[str]:
        """Returns the workers that run a suspect alone, or are to do so."""
        isolating_ids = self._state.job_table.runs.isolating_worker_ids()
        return isolating_ids | self.isolation.reserved_ids

    def _choose_surplus(self, count: int) -> set[str]:
        """Returns the workers that become empty soonest without new work."""
        if count <= 0:
            return set()
        runs = self._state.job_table.runs
        candidates = [
            link.worker_id
            for link in self._state.links_by_id.values()
            if link.is_reachable
            and not link.entry.is_draining
            and not any(
                task.step.long_running
                for task, _ in runs.runs_of(link.worker_id)
            )
        ]
        candidates.sort(
            key=lambda worker_id: (
                worker_id not in self._state.surplus_worker_ids,
                _estimated_core_ms(runs.runs_of(worker_id)),
            )
        )
        return set(candidates[:count])

    def _min_worker_count(self) -> int:
        """Returns the least number of workers that long-running steps need."""
        return max(
            (
                -(-self._startable(job, number) // step.per_worker_limit)
                for job in self._state.job_table.active_by_id.values()
                for number, step in enumerate(job.request.steps)
                if step.long_running and step.per_worker_limit
            ),
            default=0,
        )

    def _startable(self, job: Job, number: int) -> int:
        """Returns how many tasks of a step don't wait for their quota."""
        count = job.request.steps[number].count
        quotas = self._state.quotas
        if quotas is None:
            return count
        return count - quotas.waits.count_of(job.id, number)

    def _idle_ids(self, busy_ids: set[str]) -> list[str]:
        return [
            link.worker_id
            for link in self._state.links_by_id.values()
            if link.is_reachable
            and not link.entry.is_draining
            and link.worker_id not in busy_ids
        ]


def _fits_any(shortage: Shortage, workers: list[WorkerEntry]) -> bool:
    """Returns whether a task fits on any existing worker when empty."""
    step = shortage.ready.step
    return any(
        entry.cpu_millis >= step.cpu_millis
        and entry.memory_mb >= step.memory_mb
        and entry.accelerators >= step.accelerators
        and (not step.label or step.label in entry.labels)
        for entry in workers
    )


def _whole_worker(size: WorkerSize) -> Step:
    """Returns a step whose task takes all resources of a worker."""
    return Step(
        cpu_millis=size.cpu_millis,
        memory_mb=size.memory_mb,
        accelerators=size.accelerators,
    )


def _estimated_core_ms(pairs: list[RunPair]) -> float:
    return sum(
        task.step.cpu_millis / _MILLIS_PER_CORE * task.step.estimate_ms
        for task, _ in pairs
    )
