"""Plans speculation: second copies of slow tasks, if their step allows it."""

import msgspec

from coltsfootseam.jobs import Job
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.manager.pools.ticket_cache import TicketCache
from coltsfootseam.scheduling import (
    SPECULATION_RULES,
    Placement,
    ReadyStep,
    SlowRun,
    StartLimits,
    StepKey,
    WorkerCapacity,
    find_slow_runs,
    plan_speculative_copies,
    step_key,
)


class SlowStep(msgspec.Struct, frozen=True):
    """A step with tasks that are slow enough for a second copy.

    Attributes:
        job: The step's job.
        key: Identifies the step.
        runs: The only active run of each slow task.
    """

    job: Job
    key: StepKey
    runs: list[SlowRun]


class SpeculationPlanner:
    """Finds slow tasks and places second copies of them on free capacity."""

    __slots__ = ("_rule", "_state", "_tickets")

    def __init__(self, state: PoolState, tickets: TicketCache) -> None:
        self._state = state
        self._tickets = tickets
        self._rule = SPECULATION_RULES.lookup(state.context.policies.copies)

    def find_slow_steps(self) -> list[SlowStep]:
        """Returns the steps that allow second copies and have slow tasks."""
        state = self._state
        estimate_ratio = state.health.estimate_ratio()
        now_s = state.now_s()
        found = []
        for key in self._duplicable_keys():
            job = state.job_table.jobs_by_id[key[0]]
            tasks = job.occurrence(key[1]).tasks_by_step[key[2]]
            runs = find_slow_runs(tasks, estimate_ratio, now_s, self._rule)
            if runs:
                found.append(SlowStep(job, key, runs))
        return found

    def _duplicable_keys(self) -> list[StepKey]:
        """Returns the steps with active runs that allow second copies."""
        job_table = self._state.job_table
        keys = {
            step_key(task.id): None
            for task, _ in job_table.runs.all_runs()
            if task.step.duplicable
            and not task.step.gang
            and not task.step.long_running
        }
        return [
            key
            for key in sorted(keys)
            if not job_table.jobs_by_id[key[0]].state.is_final
            and key[1] not in job_table.jobs_by_id[key[0]].finished_occurrences
        ]

    def place(
        self,
        steps: list[SlowStep],
        workers: list[WorkerCapacity],
        limits: StartLimits,
    ) -> list[Placement]:
        """Reserves capacity for copies and returns their placements.

        Args:
            steps: Steps with slow tasks.
            workers: Capacity that no other task waits for.
            limits: Limits what may start besides the workers' capacity.
        """
        placements: list[Placement] = []
        for step in steps:
            tickets = self._tickets_by_worker(step, workers)
            ready = self._ready_step(step)
            copies = plan_speculative_copies(
                step.runs,
                workers,
                tickets,
                max_copies=limits.allowed(ready, len(step.runs)),
            )
            limits.take(ready, len(copies))
            placements.extend(copies)
        return placements

    def _ready_step(self, slow: SlowStep) -> ReadyStep:
        """Returns a slow step in the form that limits on starts take."""
        _, occurrence, number = slow.key
        return ReadyStep(
            job=slow.job,
            occurrence=slow.job.occurrence(occurrence),
            number=number,
            step=slow.job.request.steps[number],
            queue=self._state.queue_of(slow.job),
            waited_s=0.0,
            remaining_s=0.0,
            objective_s=0.0,
        )

    def _tickets_by_worker(
        self, step: SlowStep, workers: list[WorkerCapacity]
    ) -> dict[str, str | None]:
        """Returns a ticket per worker.

        It is empty if the queue needs none, ``None`` if none is cached.
        """
        if self._state.queue_of(step.job).advice is None:
            return {worker.worker_id: "" for worker in workers}
        return {
            worker.worker_id: self._tickets.find(step.key, worker.worker_id)
            for worker in workers
        }
