"""A job, its tasks and their runs, as the owner of a pool keeps them."""

import msgspec

from coltsfootseam.jobs.model import (
    JobRequest,
    JobState,
    RunPhase,
    Step,
    TaskId,
)


class Run(msgspec.Struct):
    """One start of a task on one worker.

    Attributes:
        number: Number of the start within the task, from 1.
        worker_id: The life of the worker that was told to run it.
        phase: How far the order is.
        ordered_s: When it was decided, monotonic seconds of this process.
        running_s: When the worker was first known to run it, or ``None``.
        settled_s: Since when the worker can't get it later than now: it has
            answered the order to start or to stop it. ``None`` before.
        checkpoint: Progress that it resumed from.
        saved: Newest progress that its worker reported.
        progress: Percent that the worker reports; a task that lasts is at
            work at 100.
        progress_s: When that was reported, monotonic, or ``None``.
        pace: Percent of its speed that it was last told to work at, ``None``
            if an earlier owner may have told it another.
        load: Tail in ms for a task that serves, else processor in use.
        reason: Why it is stopped, where it is.
    """

    number: int
    worker_id: str
    phase: RunPhase = RunPhase.ORDERED
    ordered_s: float = 0.0
    running_s: float | None = None
    settled_s: float | None = None
    checkpoint: str = ""
    saved: str = ""
    progress: int = 0
    progress_s: float | None = None
    pace: int | None = 100
    load: int = 0
    reason: str = ""


class Task(msgspec.Struct):
    """A task and what became of its runs.

    Attributes:
        id: Name of the task.
        step: What it asks for.
        runs: Runs that may be at work now.
        is_done: Whether a run has ended done.
        last_run: Number of the newest run, 0 if there was none.
        failures: How many runs ended failed.
        checkpoint: Progress to resume from.
        failed_on: Workers on which a run failed.
        stall_count: How often a run was taken off a worker as it stood still or
            crawled.
        wait_until_s: No new run before this moment, monotonic seconds.
        away_since_s: When it stopped being at work; ``None`` while it is.
    """

    id: TaskId
    step: Step
    runs: list[Run] = []
    is_done: bool = False
    last_run: int = 0
    failures: int = 0
    checkpoint: str = ""
    failed_on: set[str] = set()
    stall_count: int = 0
    wait_until_s: float = 0.0
    away_since_s: float | None = None

    def find_run(self, number: int, worker_id: str) -> Run | None:
        """Returns the run of that number on that worker, if it may live."""
        for run in self.runs:
            if run.number == number and run.worker_id == worker_id:
                return run
        return None

    def is_pending(self) -> bool:
        """Tells whether the task waits for a run."""
        return not self.is_done and not self.runs


class Occurrence(msgspec.Struct):
    """One round of a job's steps.

    Attributes:
        number: Which occurrence, from 0.
        due_ms: When it is due, Unix milliseconds; 0 for at once.
        tasks_by_step: The tasks of each step.
        open_by_step: How many tasks of each step aren't done yet.
    """

    number: int
    due_ms: int
    tasks_by_step: list[list[Task]]
    open_by_step: list[int]

    def is_step_ready(self, step: Step) -> bool:
        """Tells whether all steps that a step waits for are done."""
        return all(self.open_by_step[number] == 0 for number in step.after)

    def is_done(self) -> bool:
        """Tells whether every task is done."""
        return not any(self.open_by_step)


class Job(msgspec.Struct):
    """A job that was accepted.

    Attributes:
        id: The caller's id of it.
        request: What was submitted.
        state: How far it is.
        stored_state: How far it is by what the journal holds; callers are
            told no more than that.
        occurrences_by_number: Occurrences that were begun.
        finished_occurrences: Occurrences whose tasks are all done.
        ended_ms: When it reached a final state, Unix milliseconds.
        known_s: When this process learned of it, monotonic seconds.
    """

    id: str
    request: JobRequest
    state: JobState = JobState.QUEUED
    stored_state: JobState = JobState.QUEUED
    occurrences_by_number: dict[int, Occurrence] = {}
    finished_occurrences: set[int] = set()
    ended_ms: int = 0
    known_s: float = 0.0

    def tasks(self) -> list[Task]:
        """Returns all tasks of the occurrences that were begun."""
        return [
            task
            for occurrence in self.occurrences_by_number.values()
            for tasks in occurrence.tasks_by_step
            for task in tasks
        ]

    def has_started(self) -> bool:
        """Tells whether a task is known to have started on a worker.

        An order that is written down may still wait to be sent.
        """
        return bool(self.finished_occurrences) or any(
            task.is_done
            or task.failures
            or any(run.running_s is not None for run in task.runs)
            for task in self.tasks()
        )

    def occurrence(self, number: int) -> Occurrence:
        """Returns an occurrence, making its tasks where it is new."""
        found = self.occurrences_by_number.get(number)
        if found is None:
            found = _new_occurrence(self, number)
            self.occurrences_by_number[number] = found
        return found

    def task(self, task_id: TaskId) -> Task | None:
        """Returns a task by name, ``None`` if the job has no such task."""
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
        open_by_step=[step.count for step in steps],
    )
