"""Finds the steps with tasks that wait, at a limited cost per planning round.

Callers submit jobs of any shape: many steps, many tasks, occurrences that are
long overdue. The loop that plans also renews leases and answers callers, so a
round looks at a limited number of tasks. What it doesn't reach is looked at in
the next rounds, before anything is looked at again.
"""

from collections.abc import Iterator

import msgspec

from coltsfootseam.jobs import Job, Occurrence
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.scheduling import ReadyStep, critical_path_s

_MAX_LOOKS_PER_ROUND = 30_000
"""How many steps, tasks and dependencies of steps a round looks at."""

_MAX_LOOKS_PER_JOB = 5_000
"""The same for one job, so that a large job doesn't displace the others."""

_LOOKS_PER_NEW_TASK = 3

_MAX_READY_PER_ROUND = 2_000
"""How many steps a round may place."""

_MAX_READY_PER_JOB = 250

_MAX_WAITING_TASKS = 500
"""A job's next occurrence begins only when fewer of its tasks wait."""

_MAX_OPEN_OCCURRENCES = 1_000
"""How many occurrences of a job may have begun at once. Further ones begin as
these end; each has a record of its own in the store."""

_MS_PER_S = 1000
_MIN_OBJECTIVE_S = 0.1


class _Position(msgspec.Struct, frozen=True):
    """Where the next round goes on with a job.

    Attributes:
        occurrence: The occurrence.
        step: The step of it.
        waiting: How many tasks of the steps before were found to wait.
    """

    occurrence: int = 0
    step: int = 0
    waiting: int = 0


_FIRST = _Position()


class _Looks:
    """How much a round may still look at, in all and of the current job."""

    __slots__ = (
        "left",
        "left_of_job",
        "ready_left",
        "ready_left_of_job",
        "waiting",
    )

    def __init__(self) -> None:
        self.left = _MAX_LOOKS_PER_ROUND
        self.ready_left = _MAX_READY_PER_ROUND
        self.begin_job(0)

    def begin_job(self, waiting: int) -> None:
        """Gives a job its share.

        Args:
            waiting: How many of its tasks the rounds before found to wait.
        """
        self.left_of_job = _MAX_LOOKS_PER_JOB
        self.ready_left_of_job = _MAX_READY_PER_JOB
        self.waiting = waiting

    def take(self, count: int) -> None:
        """Counts looks."""
        self.left -= count
        self.left_of_job -= count

    def take_ready(self, waiting: int) -> None:
        """Counts a step that is ready, and its tasks that wait."""
        self.ready_left -= 1
        self.ready_left_of_job -= 1
        self.waiting += waiting

    def is_round_over(self) -> bool:
        """Returns whether the round must end."""
        return self.left <= 0 or self.ready_left <= 0

    def is_job_over(self) -> bool:
        """Returns whether the next job must follow."""
        return (
            self.is_round_over()
            or self.left_of_job <= 0
            or self.ready_left_of_job <= 0
        )


class ReadySteps:
    """The steps of a pool's jobs that are ready to be placed."""

    __slots__ = ("_next_job_id", "_positions_by_job", "_state")

    def __init__(self, state: PoolState) -> None:
        self._state = state
        # Where the next round goes on: with which job, and where within jobs
        # that are too large for one round.
        self._next_job_id = ""
        self._positions_by_job: dict[str, _Position] = {}

    def collect(self) -> list[ReadyStep]:
        """Returns ready steps with tasks that wait; of many, the next ones."""
        looks = _Looks()
        ready: list[ReadyStep] = []
        jobs = self._jobs_in_turn()
        self._next_job_id = ""
        if len(self._positions_by_job) > len(jobs):
            self._forget_ended()
        for job in jobs:
            if looks.is_round_over():
                self._next_job_id = job.id
                break
            if job.state.is_final:
                self._positions_by_job.pop(job.id, None)
                continue
            ready.extend(self._ready_steps_of(job, looks))
        return ready

    def _forget_ended(self) -> None:
        """Forgets where rounds have ended in jobs that aren't active."""
        active_by_id = self._state.job_table.active_by_id
        for job_id in self._positions_by_job.keys() - active_by_id.keys():
            del self._positions_by_job[job_id]

    def _jobs_in_turn(self) -> list[Job]:
        """Returns the active jobs, the one to go on with first."""
        jobs_by_id = self._state.job_table.active_by_id
        jobs = list(jobs_by_id.values())
        if self._next_job_id not in jobs_by_id:
            return jobs
        start = list(jobs_by_id).index(self._next_job_id)
        return jobs[start:] + jobs[:start]

    def _ready_steps_of(self, job: Job, looks: _Looks) -> list[ReadyStep]:
        """Returns ready steps of a job, from where the last round ended."""
        start = self._positions_by_job.pop(job.id, _FIRST)
        looks.begin_job(start.waiting)
        ready: list[ReadyStep] = []
        for occurrence in self._occurrences(job, start.occurrence, looks):
            is_start = occurrence.number == start.occurrence
            first = start.step if is_start else 0
            for number in range(first, len(job.request.steps)):
                if looks.is_job_over():
                    self._positions_by_job[job.id] = _Position(
                        occurrence.number, number, looks.waiting
                    )
                    return ready
                if self._is_ready(job, occurrence, number, looks):
                    looks.take_ready(occurrence.waiting_count_by_step[number])
                    ready.append(self._ready_step(job, occurrence, number))
        return ready

    def _occurrences(
        self, job: Job, first: int, looks: _Looks
    ) -> Iterator[Occurrence]:
        """Yields occurrences that have begun, then begins those due next."""
        if not job.request.occurrences:
            yield _begin(job, 0, looks)
            return
        now_ms = self._state.wall_ms()
        open_numbers = _open_numbers(job, first)
        looks.take(len(open_numbers))
        for number in open_numbers:
            # An earlier owner's clock may have been ahead of this one.
            if job.request.due_ms(number) <= now_ms:
                yield job.occurrence(number)
        for number in _unbegun_numbers(job):
            if (
                job.request.due_ms(number) > now_ms
                or looks.waiting >= _MAX_WAITING_TASKS
                or len(job.occurrences_by_number) >= _MAX_OPEN_OCCURRENCES
            ):
                return
            yield _begin(job, number, looks)

    def _is_ready(
        self, job: Job, occurrence: Occurrence, number: int, looks: _Looks
    ) -> bool:
        """Returns whether a step has tasks that wait, and may start."""
        step = job.request.steps[number]
        looks.take(1)
        if not occurrence.waiting_count_by_step[number]:
            return False
        # Its tasks may not be ended by an order that isn't known here.
        if step.may_miss is not None and not self._state.are_orders_known:
            return False
        looks.take(len(step.after))
        return occurrence.is_step_ready(step)

    def _ready_step(
        self, job: Job, occurrence: Occurrence, number: int
    ) -> ReadyStep:
        queue = self._state.queue_of(job)
        ratio = self._state.health.estimate_ratio()
        since_ms = occurrence.due_ms or job.request.accepted_ms
        waited_s = (self._state.wall_ms() - since_ms) / _MS_PER_S
        objective_s = (
            queue.stretch * critical_path_s(job) * ratio
            + queue.target_ms / _MS_PER_S
        )
        return ReadyStep(
            job=job,
            occurrence=occurrence,
            number=number,
            step=job.request.steps[number],
            queue=queue,
            waited_s=waited_s,
            remaining_s=critical_path_s(job, occurrence) * ratio,
            objective_s=max(objective_s, _MIN_OBJECTIVE_S),
        )


def _begin(job: Job, number: int, looks: _Looks) -> Occurrence:
    """Returns an occurrence, all of whose tasks are created on first use."""
    if number not in job.occurrences_by_number:
        looks.take(_LOOKS_PER_NEW_TASK * job.layout().task_count)
    return job.occurrence(number)


def _open_numbers(job: Job, first: int) -> list[int]:
    """Returns the occurrences that have begun and aren't finished."""
    return sorted(
        number
        for number in job.occurrences_by_number
        if number >= first and number not in job.finished_occurrences
    )


def _unbegun_numbers(job: Job) -> Iterator[int]:
    """Yields the occurrences that have neither tasks nor an end, in order."""
    number = 0
    count = job.request.occurrence_count()
    while True:
        number = job.finished_occurrences.first_missing(number)
        if number >= count:
            return
        if number not in job.occurrences_by_number:
            yield number
        number += 1
