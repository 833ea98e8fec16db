"""Jobs as callers submit them, and the ids of their tasks."""

import enum

import msgspec

from coltsfootseam.jobs.configuration import QueueTerms
from coltsfootseam.jobs.resources import Resources


class Step(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """One step of a job: ``count`` tasks that run the same image.

    Attributes:
        count: Number of tasks.
        cpu_millis: Processor that each task requests, in thousandths of a
            core.
        memory_mb: Memory that each task requests, in MB.
        accelerators: Accelerators that each task requests.
        estimate_ms: The submitter's rough estimate of a task's duration.
        after: Numbers of earlier steps that must be done first.
        checkpointing: Whether a task saves checkpoints as it runs.
        gang: Whether the tasks have to run all at once.
        same_rack: Whether the tasks run slower on more than one rack.
        label: Label that a worker must have, or empty.
        rack: Rack of the tasks' data, or empty.
        per_worker_limit: How many tasks of the step may run on one worker, 0
            for no limit.
        duplicable: Whether copies of a slow task may run in parallel.
        long_running: Whether the tasks run until the job is cancelled.
        image: Name of the image that the tasks run.
        target_ms: Target for the tail latency of a serving task, or 0.
        best_effort: Whether the tasks run on capacity that other tasks leave
            unused.
        may_miss: How many tasks the system may interrupt at once, ``None`` for
            no limit.
    """

    count: int = 1
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    rack: str = ""
    per_worker_limit: int = 0
    duplicable: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    best_effort: bool = False
    may_miss: int | None = None

    def resources(self) -> Resources:
        """Returns what one task requests."""
        return Resources(self.cpu_millis, self.memory_mb, self.accelerators)


class JobRequest(msgspec.Struct, frozen=True, array_like=True):
    """What a caller submits.

    Attributes:
        queue: Name of the queue that it was submitted to.
        text: Specification that is passed on to the workers.
        steps: The job's steps, in the caller's order.
        accepted_ms: When the entry host accepted it, Unix milliseconds.
        first_ms: When its first occurrence is due, Unix milliseconds.
        interval_ms: Time between occurrences.
        occurrences: How often the steps run, 0 for a job without a schedule.
        team: Team that submitted it, empty if its queue is open to all.
        terms: Settings of its queue when it was accepted.
    """

    queue: str
    text: str
    steps: tuple[Step, ...]
    accepted_ms: int
    first_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0
    team: str = ""
    terms: QueueTerms = QueueTerms()

    def due_ms(self, occurrence: int) -> int:
        """Returns when an occurrence is due, Unix milliseconds, or 0."""
        if not self.occurrences:
            return 0
        return self.first_ms + occurrence * self.interval_ms

    def occurrence_count(self) -> int:
        """Returns how many occurrences the job has, at least one."""
        return max(1, self.occurrences)


class TaskId(
    msgspec.Struct, frozen=True, order=True, array_like=True, gc=False
):
    """Identifies a task of one occurrence of a job's step."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def position(self) -> list[int]:
        """Returns occurrence, step and index, as log lines show them."""
        return [self.occurrence, self.step, self.index]


class JobState(enum.IntEnum):
    """State of a job. A final state never changes."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def is_final(self) -> bool:
        """Whether no task of the job will be started again."""
        return self >= JobState.COMPLETED


class RunEnd(enum.IntEnum):
    """How a run of a task ended."""

    DONE = 0
    FAILED = 1
    STOPPED = 2
    LAPSED = 3
    BROKEN = 4
    ALONE = 5
    NEVER_STARTED = 6


class RunPhase(enum.IntEnum):
    """Phase of a run."""

    ORDERED = 0
    """Recorded; the worker may or may not have the order."""
    RUNNING = 1
    """Confirmed by the worker."""
    STOPPING = 2
    """To be stopped; the worker hasn't listed its end yet."""
