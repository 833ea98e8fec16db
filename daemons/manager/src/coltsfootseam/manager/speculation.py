"""Plans speculative copies of slow tasks, where their step allows them."""

import msgspec

from coltsfootseam.jobs import Job, Task
from coltsfootseam.manager.pool_state import PoolState
from coltsfootseam.manager.ticket_cache import TicketCache
from coltsfootseam.scheduling import (
    SPECULATION_RULES,
    Placement,
    SlowRun,
    StepKey,
    WorkerCapacity,
    find_slow_runs,
    plan_speculative_copies,
    step_key,
)


class SlowStep(msgspec.Struct, frozen=True):
    """A step with slow tasks that a speculative copy may overtake.

    Attributes:
        job: The job.
        key: The step.
        runs: Runs of the slow tasks.
    """

    job: Job
    key: StepKey
    runs: list[SlowRun]


class SpeculationPlanner:
    """Places speculative copies on capacity that no other task waits for."""

    __slots__ = ("_rule", "_state", "_tickets")

    def __init__(self, state: PoolState, tickets: TicketCache) -> None:
        self._state = state
        self._tickets = tickets
        self._rule = SPECULATION_RULES.lookup(state.context.policies.copies)

    def find_slow_steps(self) -> list[SlowStep]:
        """Returns steps that allow speculative copies and have slow tasks."""
        state = self._state
        ratio = state.health.estimate_ratio()
        now_s = state.now_s()
        found = []
        for job in state.job_table.active_by_id.values():
            if job.state.is_final:
                continue
            for tasks in _duplicable_steps(job):
                runs = find_slow_runs(tasks, ratio, now_s, self._rule)
                if runs:
                    found.append(SlowStep(job, step_key(tasks[0].id), runs))
        return found

    def place(
        self, steps: list[SlowStep], workers: list[WorkerCapacity]
    ) -> list[Placement]:
        """Places copies and reserves their capacity on the workers."""
        placements = []
        for step in steps:
            tickets = self._tickets_by_worker(step, workers)
            placements.extend(
                plan_speculative_copies(step.runs, workers, tickets)
            )
        return placements

    def _tickets_by_worker(
        self, step: SlowStep, workers: list[WorkerCapacity]
    ) -> dict[str, str | None]:
        if self._state.queue_of(step.job).advice is None:
            return {worker.worker_id: "" for worker in workers}
        return {
            worker.worker_id: self._tickets.find(step.key, worker.worker_id)
            for worker in workers
        }


def _duplicable_steps(job: Job) -> list[list[Task]]:
    numbers = [
        number
        for number, step in enumerate(job.request.steps)
        if step.duplicable and not step.gang and not step.long_running
    ]
    return [
        occurrence.tasks_by_step[number]
        for occurrence in job.occurrences_by_number.values()
        for number in numbers
        if occurrence.open_count_by_step[number]
    ]
