"""Second runs of slow tasks, where their step allows copies."""

from coltsfootseam.jobs import Job, Task
from coltsfootseam.manager.pool_state import PoolState
from coltsfootseam.manager.tickets import TicketDesk
from coltsfootseam.scheduling import (
    COPY_RULES,
    Placement,
    Room,
    find_single_runs,
    plan_copies,
    step_key,
)


class Copies:
    """Plans copies on room that nothing else waits for."""

    __slots__ = ("_rule", "_state", "_tickets")

    def __init__(self, state: PoolState, tickets: TicketDesk) -> None:
        self._state = state
        self._tickets = tickets
        self._rule = COPY_RULES.named(state.context.policies.copies)

    def plan(self, rooms: list[Room]) -> list[Placement]:
        """Places copies; what they take is taken from the rooms."""
        placements = []
        for job in self._state.book.active_by_id.values():
            if job.state.is_final:
                continue
            for tasks in _duplicable_steps(job):
                placements.extend(self._plan_step(job, tasks, rooms))
        return placements

    def _plan_step(
        self, job: Job, tasks: list[Task], rooms: list[Room]
    ) -> list[Placement]:
        state = self._state
        ratio = state.health.estimate_ratio()
        singles = find_single_runs(tasks, ratio, state.now_s())
        if not singles:
            return []
        key = step_key(tasks[0].id)
        advice = state.queue_of(job).advice
        tickets_by_worker = {
            room.worker_id: self._tickets.find(key, room.worker_id)
            if advice is not None
            else ""
            for room in rooms
        }
        return plan_copies(singles, rooms, self._rule, tickets_by_worker)


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
