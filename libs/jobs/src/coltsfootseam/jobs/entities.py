"""A job, its tasks and their runs, as the pool's owner keeps them in memory."""

import bisect

import msgspec

from coltsfootseam.jobs.model import (
    JobRequest,
    JobState,
    RunPhase,
    Step,
    TaskId,
)
from coltsfootseam.jobs.number_ranges import NumberRanges
from coltsfootseam.jobs.step_layout import StepLayout

TASKS_PER_PART = 64
"""How many tasks a part of a job's progress has."""

PartId = tuple[int, int]
"""The occurrence of a part, and its number within the occurrence."""


class Run(msgspec.Struct, gc=False):
    """A run of a task on one worker.

    Runs and tasks are in no reference cycles. There may be so many that the
    collector would hold the loop for long if it tracked them.

    Attributes:
        number: Number of the run within the task, from 1.
        worker_id: Incarnation of the worker that it was ordered from.
        phase: Its phase.
        ordered_s: When it was ordered, monotonic seconds of this process.
        started_s: When the worker was first known to run it, monotonic
            seconds, or ``None``.
        settled_s: When the worker replied to the order to start or to stop it;
            a start order can't reach the worker afterwards. ``None`` before.
        checkpoint: Checkpoint that it resumed from.
        saved: Latest checkpoint that the worker reported.
        progress: Percent done as reported by the worker; a long-running task
            is active at 100.
        progress_s: When that was reported, monotonic seconds, or ``None``.
        pace: Last ordered pace in percent of full speed, ``None`` if an
            earlier owner may have ordered another.
        load: Tail latency in ms for a serving task, else processor in use.
        reason: Why it is stopped, or empty.
        is_isolated: Whether its worker gets no other tasks meanwhile.
        sent_s: When its start was last sent, monotonic seconds, or ``None`` if
            only an earlier owner may have sent it.
        unanswered_s: When the latest copy of its start was sent that wasn't
            answered, monotonic seconds, ``None`` if there is none. An earlier
            owner may have sent others.
        unproven_s: When the latest answer to a copy came that a later
            incarnation may have given, monotonic seconds, or ``None``.
        is_confirmed: Whether its worker has it, and no copy of its start is
            under way any more. Such a copy could reach a later incarnation.
        is_confirmation_stored: Whether that is stored or about to be.
        silent_s: When its worker stopped replying for good, monotonic seconds,
            or ``None``.
    """

    number: int
    worker_id: str
    phase: RunPhase = RunPhase.ORDERED
    ordered_s: float = 0.0
    started_s: float | None = None
    settled_s: float | None = None
    checkpoint: str = ""
    saved: str = ""
    progress: int = 0
    progress_s: float | None = None
    pace: int | None = 100
    load: int = 0
    reason: str = ""
    is_isolated: bool = False
    sent_s: float | None = None
    unanswered_s: float | None = None
    unproven_s: float | None = None
    is_confirmed: bool = False
    is_confirmation_stored: bool = False
    silent_s: float | None = None

    def exposure_s(self) -> float:
        """Returns how long it was on its worker, as far as that is known."""
        if self.started_s is None:
            return 0.0
        last_s = max(self.progress_s or 0.0, self.silent_s or 0.0)
        return max(0.0, last_s - self.started_s)


class Task(msgspec.Struct, gc=False):
    """A task and the state of its runs.

    Attributes:
        id: Id of the task.
        step: Requirements of the task.
        runs: Runs that may be active.
        is_done: Whether a run completed the task.
        last_run_number: Number of the latest run, 0 if there was none.
        failures: How many runs failed; in a gang, how many of the whole gang.
        last_failed_run_number: Number of the latest run of the gang that
            failed, 0 if there was none or the task is in no gang.
        checkpoint: Checkpoint to resume from.
        failed_worker_ids: Workers on which a run failed.
        stall_count: How often a run was moved because it stalled or was very
            slow.
        wait_until_s: Earliest time of a new run, monotonic seconds.
        last_inactive_s: When it was last seen inactive, monotonic seconds, or
            ``None``.
        crashed_worker_ids: Workers that crashed while a run of the task was on
            them, unless another task is known to be the cause.
        suspect_since_s: Since when the task is likely enough to crash workers
            that it has to run in isolation, monotonic seconds, or ``None``.
        ended_exposure_s: How long its runs that have ended were on workers; in
            a gang, all runs of the whole gang.
    """

    id: TaskId
    step: Step
    runs: list[Run] = []
    is_done: bool = False
    last_run_number: int = 0
    failures: int = 0
    last_failed_run_number: int = 0
    checkpoint: str = ""
    failed_worker_ids: frozenset[str] = frozenset()
    stall_count: int = 0
    wait_until_s: float = 0.0
    last_inactive_s: float | None = None
    crashed_worker_ids: tuple[str, ...] = ()
    suspect_since_s: float | None = None
    ended_exposure_s: float = 0.0

    @property
    def is_suspect(self) -> bool:
        """Whether the task has to run in isolation."""
        return self.suspect_since_s is not None

    def exposure_s(self) -> float:
        """Returns how long its runs were on workers in all."""
        return self.ended_exposure_s + sum(
            run.exposure_s() for run in self.runs
        )

    def find_run(self, number: int, worker_id: str) -> Run | None:
        """Returns a run by number and worker, ``None`` if it isn't active."""
        for run in self.runs:
            if run.number == number and run.worker_id == worker_id:
                return run
        return None

    def is_pending(self) -> bool:
        """Returns whether the task waits for a run."""
        return not self.is_done and not self.runs


class Occurrence(msgspec.Struct):
    """One occurrence of a job's steps.

    Attributes:
        number: Number of the occurrence, from 0.
        due_ms: When it is due, Unix milliseconds; 0 for immediately.
        tasks_by_step: The tasks of each step.
        open_count_by_step: How many tasks of each step aren't done yet.
        waiting_count_by_step: How many tasks of each step wait for a run.
        layout: Layout of the job's steps.
        done_chains: How many of the steps with the longest chains are done.
    """

    number: int
    due_ms: int
    tasks_by_step: list[list[Task]]
    open_count_by_step: list[int]
    waiting_count_by_step: list[int]
    layout: StepLayout
    done_chains: int = 0

    def set_runs(self, task: Task, runs: list[Run]) -> None:
        """Sets the runs of a task that may be active."""
        was_pending = task.is_pending()
        task.runs = runs
        self.waiting_count_by_step[task.id.step] += (
            task.is_pending() - was_pending
        )

    def set_done(self, task: Task) -> None:
        """Marks a task as done that wasn't."""
        was_pending = task.is_pending()
        task.is_done = True
        self.waiting_count_by_step[task.id.step] -= was_pending
        self.open_count_by_step[task.id.step] -= 1

    def remaining_path_s(self) -> float:
        """Returns the length of the longest chain of steps that aren't done.

        A step is done only after those before it, so that chain begins with
        the open step that has the longest one.
        """
        longest_first = self.layout.longest_first
        while self.done_chains < len(longest_first):
            number = longest_first[self.done_chains]
            if self.open_count_by_step[number]:
                return self.layout.chains_s[number]
            self.done_chains += 1
        return 0.0

    def is_step_ready(self, step: Step) -> bool:
        """Returns whether all steps that a step depends on are done."""
        return all(
            self.open_count_by_step[number] == 0 for number in step.after
        )

    def tasks_between(self, first: int, end: int) -> list[Task]:
        """Returns the tasks at some positions, in the order of the steps."""
        positions = self.layout.first_positions
        number = bisect.bisect_right(positions, first) - 1
        tasks: list[Task] = []
        while number < len(positions) and positions[number] < end:
            start = max(0, first - positions[number])
            tasks += self.tasks_by_step[number][start : end - positions[number]]
            number += 1
        return tasks

    def has_runs(self) -> bool:
        """Returns whether a run of a task may be active."""
        return any(task.runs for tasks in self.tasks_by_step for task in tasks)

    def is_done(self) -> bool:
        """Returns whether every task is done."""
        return not any(self.open_count_by_step)


class Job(msgspec.Struct):
    """A job that was accepted.

    Attributes:
        id: The caller's id of it.
        request: The submitted request.
        state: Its state.
        stored_state: Its state according to the journal; callers never see a
            later one.
        occurrences_by_number: Occurrences that have tasks.
        finished_occurrences: Occurrences whose tasks are all done. They have
            tasks only as long as some have runs.
        ended_ms: When it reached a final state, Unix milliseconds.
        failure_reason: Why it failed, if not by its limit on attempts.
        changed_parts: Parts of its progress that aren't stored as they are.
        stored_parts: Parts of its progress that have a record.
        stored_document: Its progress document as last stored, without parts.
    """

    id: str
    request: JobRequest
    state: JobState = JobState.QUEUED
    stored_state: JobState = JobState.QUEUED
    occurrences_by_number: dict[int, Occurrence] = {}
    finished_occurrences: NumberRanges = msgspec.field(
        default_factory=NumberRanges
    )
    ended_ms: int = 0
    failure_reason: str = ""
    changed_parts: set[PartId] = set()
    stored_parts: set[PartId] = set()
    stored_document: bytes = b""
    _layout: StepLayout | None = None

    def layout(self) -> StepLayout:
        """Returns the layout of the job's steps."""
        if self._layout is None:
            self._layout = StepLayout(self.request.steps)
        return self._layout

    def is_in_parts(self) -> bool:
        """Returns whether its progress is stored in several records."""
        count = self.layout().task_count * self.request.occurrence_count()
        return count > TASKS_PER_PART or len(self.stored_parts) > 0

    def part_of(self, task: Task) -> PartId:
        """Returns the part of its progress that has a task."""
        position = self.layout().first_positions[task.id.step] + task.id.index
        return task.id.occurrence, position // TASKS_PER_PART

    def parts_of(self, occurrence: int) -> set[PartId]:
        """Returns the parts that the tasks of an occurrence are in."""
        count = -(-self.layout().task_count // TASKS_PER_PART)
        return {(occurrence, number) for number in range(count)}

    def tasks_of(self, part: PartId) -> list[Task]:
        """Returns the tasks of a part, none if its occurrence was dropped."""
        occurrence = self.occurrences_by_number.get(part[0])
        if occurrence is None:
            return []
        first = part[1] * TASKS_PER_PART
        return occurrence.tasks_between(first, first + TASKS_PER_PART)

    def tasks(self) -> list[Task]:
        """Returns the tasks of all occurrences that have any yet."""
        return [
            task
            for occurrence in self.occurrences_by_number.values()
            for tasks in occurrence.tasks_by_step
            for task in tasks
        ]

    def has_started(self) -> bool:
        """Returns whether a task is known to have started on a worker.

        An order that is recorded may not have been sent yet.
        """
        return len(self.finished_occurrences) > 0 or any(
            task.is_done
            or task.failures
            or any(run.started_s is not None for run in task.runs)
            for task in self.tasks()
        )

    def occurrence(self, number: int) -> Occurrence:
        """Returns an occurrence; creates its tasks on first use."""
        found = self.occurrences_by_number.get(number)
        if found is None:
            found = _new_occurrence(self, number)
            self.occurrences_by_number[number] = found
        return found

    def task(self, task_id: TaskId) -> Task | None:
        """Returns a task by id, ``None`` if the job has no such task."""
        if not 0 <= task_id.occurrence < self.request.occurrence_count():
            return None
        is_finished = task_id.occurrence in self.finished_occurrences
        if is_finished and task_id.occurrence not in self.occurrences_by_number:
            return None
        if not 0 <= task_id.step < len(self.request.steps):
            return None
        tasks = self.occurrence(task_id.occurrence).tasks_by_step[task_id.step]
        return tasks[task_id.index] if task_id.index < len(tasks) else None


def _new_occurrence(job: Job, number: int) -> Occurrence:
    steps = job.request.steps
    return Occurrence(
        number=number,
        due_ms=job.request.due_ms(number),
        tasks_by_step=[
            [
                Task(TaskId(job.id, number, position, index), step)
                for index in range(step.count)
            ]
            for position, step in enumerate(steps)
        ],
        open_count_by_step=[step.count for step in steps],
        waiting_count_by_step=[step.count for step in steps],
        layout=job.layout(),
    )
