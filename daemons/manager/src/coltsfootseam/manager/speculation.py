"""Second runs of slow tasks, where their step allows copies."""

import msgspec

from coltsfootseam.jobs import Job, Task
from coltsfootseam.manager.pool_state import PoolState
from coltsfootseam.manager.ticket_cache import TicketCache
from coltsfootseam.scheduling import (
    COPY_RULES,
    Placement,
    Room,
    SlowRun,
    StepKey,
    find_slow_runs,
    plan_copies,
    step_key,
)


class SlowStep(msgspec.Struct, frozen=True):
    """Tasks of one step that had better get a second run."""

    job: Job
    key: StepKey
    runs: list[SlowRun]


class SpeculationPlanner:
    """Plans copies on room that nothing else waits for."""

    __slots__ = ("_rule", "_state", "_tickets")

    def __init__(self, state: PoolState, tickets: TicketCache) -> None:
        self._state = state
        self._tickets = tickets
        self._rule = COPY_RULES.named(state.context.policies.copies)

    def find_slow_steps(self) -> list[SlowStep]:
        """Returns the slow tasks of all steps that allow copies."""
        state = self._state
        ratio = state.health.estimate_ratio()
        now_s = state.now_s()
        found = []
        for job in state.book.active_by_id.values():
            if job.state.is_final:
                continue
            for tasks in _duplicable_steps(job):
                runs = find_slow_runs(tasks, ratio, now_s, self._rule)
                if runs:
                    found.append(SlowStep(job, step_key(tasks[0].id), runs))
        return found

    def place(
        self, steps: list[SlowStep], workers: list[Room]
    ) -> list[Placement]:
        """Places copies; what they take is taken from the rooms."""
        placements = []
        for step in steps:
            tickets = self._tickets_by_worker(step, workers)
            placements.extend(plan_copies(step.runs, workers, tickets))
        return placements

    def _tickets_by_worker(
        self, step: SlowStep, workers: list[Room]
    ) -> dict[str, str | None]:
        if self._state.queue_of(step.job).advice is None:
            return {room.worker_id: "" for room in workers}
        return {
            room.worker_id: self._tickets.find(step.key, room.worker_id)
            for room in workers
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
        if occurrence.open_by_step[number]
    ]
