"""Jobs as callers submit them, and the names of their tasks."""

import enum

import msgspec


class Step(msgspec.Struct, frozen=True, omit_defaults=True, array_like=True):
    """One step of a job: ``count`` tasks that run the same image.

    Attributes:
        count: Number of tasks.
        cpu_millis: Processor that each task asks for, in thousandths of a
            core.
        memory_mb: Memory that each task asks for, in MB.
        accelerators: Accelerators that each task asks for.
        estimate_ms: The submitter's rough estimate of a task's duration.
        after: Numbers of earlier steps that must be done first.
        checkpointing: Whether a task saves its progress as it runs.
        gang: Whether the tasks only work all together.
        same_rack: Whether the tasks run slower on more than one rack.
        label: Label that a worker must have, or empty.
        rack: Rack where the data is, or empty.
        per_worker_limit: Most tasks of the step on one worker, or 0 for any.
        duplicable: Whether copies of a task may run in parallel.
        long_running: Whether the tasks run until the job is cancelled.
        image: Name of what the tasks run.
        target_ms: Response time that the tail must stay below, or 0.
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


class JobRequest(msgspec.Struct, frozen=True, array_like=True):
    """What a caller submits.

    Attributes:
        queue: Name of the queue it came through.
        text: What the workers are told to run.
        steps: The job's steps, in the caller's order.
        accepted_ms: When the entry host took it, Unix milliseconds.
        first_ms: When its first occurrence is due, Unix milliseconds.
        interval_ms: Time between occurrences.
        occurrences: How often the steps run; 0 for a job without times.
    """

    queue: str
    text: str
    steps: tuple[Step, ...]
    accepted_ms: int
    first_ms: int = 0
    interval_ms: int = 0
    occurrences: int = 0

    def due_ms(self, occurrence: int) -> int:
        """Returns when an occurrence is due, Unix milliseconds."""
        if not self.occurrences:
            return 0
        return self.first_ms + occurrence * self.interval_ms

    def occurrence_count(self) -> int:
        """Returns how many occurrences the job has, at least one."""
        return max(1, self.occurrences)


class TaskId(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Names one task of one occurrence of a job's step."""

    job_id: str
    occurrence: int
    step: int
    index: int


class JobState(enum.IntEnum):
    """How far a job is. A final state never changes."""

    QUEUED = 0
    RUNNING = 1
    COMPLETED = 2
    FAILED = 3
    CANCELLED = 4

    @property
    def is_final(self) -> bool:
        """Tells whether nothing of the job will run again."""
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
    """How far an order to run a task is."""

    ORDERED = 0
    """Written down; the worker may or may not have it."""
    RUNNING = 1
    """Confirmed by the worker."""
    STOPPING = 2
    """To be stopped; its end hasn't been listed yet."""
