"""The records in a pool's partitions: requests, cancellations, progress.

Entry hosts write requests and cancellations into the pool's inbox, each under
its own key, so that repeated writes have no effect. The pool's owner writes a
progress document per job into the pool's journal. Keys start with the pool, as
pools may share partitions.
"""

import msgspec

from coltsfootseam.jobs.entities import Job, Run, Task
from coltsfootseam.jobs.model import JobRequest, JobState, RunPhase, TaskId

_CANCEL_SUFFIX = "/cancel"
_MS_PER_S = 1000


class StoredRun(msgspec.Struct, array_like=True, omit_defaults=True):
    """A run that may be active.

    Attributes:
        number: Number of the run within the task.
        worker_id: Incarnation of the worker that it was ordered from.
        is_stopping: Whether it is to be stopped.
        is_isolated: Whether its worker gets no other tasks meanwhile.
        is_reported: Whether its worker is known to have it. Hosts of 0.7.5 and
            earlier take such a run for confirmed, and store no more than that.
        is_confirmed: Whether, besides, no copy of its start is under way.
        has_inherited_lease: Whether its worker may have had the longest lease
            that workers accept, from a call to an earlier incarnation.
    """

    number: int
    worker_id: str
    is_stopping: bool = False
    is_isolated: bool = False
    is_reported: bool = False
    is_confirmed: bool = False
    has_inherited_lease: bool = False


class StoredTask(msgspec.Struct, array_like=True, omit_defaults=True):
    """A task that was ordered at least once."""

    occurrence: int
    step: int
    index: int
    last_run_number: int
    is_done: bool = False
    failures: int = 0
    checkpoint: str = ""
    runs: list[StoredRun] = []
    last_failed_run_number: int = 0
    crashed_worker_ids: tuple[str, ...] = ()
    is_suspect: bool = False
    exposure_ms: int = 0


class Progress(msgspec.Struct, array_like=True, omit_defaults=True):
    """The progress document of a job."""

    state: JobState
    ended_ms: int = 0
    finished_occurrences: list[int] = []
    tasks: list[StoredTask] = []
    failure_reason: str = ""
    team: str = ""


class PoolKey(msgspec.Struct, frozen=True):
    """A parsed key of a pool's inbox or journal."""

    job_id: str
    is_cancel: bool


def key_prefix(pool: str) -> str:
    """Returns the prefix of all keys of a pool."""
    return f"{pool}/"


def job_key(pool: str, job_id: str) -> str:
    """Returns the key of a job's request and of its progress document."""
    return key_prefix(pool) + job_id


def cancel_key(pool: str, job_id: str) -> str:
    """Returns the key of a job's cancellation."""
    return job_key(pool, job_id) + _CANCEL_SUFFIX


def parse_pool_key(pool: str, key: str) -> PoolKey | None:
    """Parses a key; returns ``None`` if it belongs to another pool."""
    prefix = key_prefix(pool)
    if not key.startswith(prefix):
        return None
    rest = key.removeprefix(prefix)
    job_id = rest.removesuffix(_CANCEL_SUFFIX)
    if "/" in job_id:
        return None
    return PoolKey(job_id, is_cancel=job_id != rest)


def encode_request(request: JobRequest) -> bytes:
    """Encodes a request for the inbox."""
    return msgspec.msgpack.encode(request)


def decode_request(value: bytes) -> JobRequest:
    """Decodes a request from the inbox.

    Raises:
        msgspec.DecodeError: If the value is no request.
    """
    return msgspec.msgpack.decode(value, type=JobRequest)


def encode_progress(job: Job) -> bytes:
    """Encodes the progress of a job.

    Of a final job without runs only the state and the team are kept.
    """
    if job.state.is_final and not _has_runs(job):
        return msgspec.msgpack.encode(
            Progress(
                job.state,
                job.ended_ms,
                failure_reason=job.failure_reason,
                team=job.request.team,
            )
        )
    stored_tasks = [
        _to_stored_task(task) for task in job.tasks() if task.last_run_number
    ]
    progress = Progress(
        job.state,
        job.ended_ms,
        sorted(job.finished_occurrences),
        stored_tasks,
        job.failure_reason,
        job.request.team,
    )
    return msgspec.msgpack.encode(progress)


def decode_progress(value: bytes) -> Progress:
    """Decodes a progress document.

    Raises:
        msgspec.DecodeError: If the value is no progress document.
    """
    return msgspec.msgpack.decode(value, type=Progress)


def restore_progress(job: Job, progress: Progress, now_s: float) -> None:
    """Restores the progress of a new job from its document."""
    job.state = progress.state
    job.stored_state = progress.state
    job.ended_ms = progress.ended_ms
    job.failure_reason = progress.failure_reason
    job.finished_occurrences = set(progress.finished_occurrences)
    for stored in progress.tasks:
        _restore_task(job, stored, now_s)


def _restore_task(job: Job, stored: StoredTask, now_s: float) -> None:
    task = job.task(
        TaskId(job.id, stored.occurrence, stored.step, stored.index)
    )
    if task is None:
        return
    occurrence = job.occurrence(stored.occurrence)
    task.last_run_number = stored.last_run_number
    task.failures = stored.failures
    task.last_failed_run_number = stored.last_failed_run_number
    task.checkpoint = stored.checkpoint
    task.crashed_worker_ids = stored.crashed_worker_ids
    task.suspect_since_s = now_s if stored.is_suspect else None
    task.ended_exposure_s = stored.exposure_ms / _MS_PER_S
    if stored.is_done and not task.is_done:
        task.is_done = True
        occurrence.open_count_by_step[stored.step] -= 1
    task.runs = [_restore_run(run, now_s) for run in stored.runs]


def _restore_run(stored: StoredRun, now_s: float) -> Run:
    phase = RunPhase.STOPPING if stored.is_stopping else RunPhase.ORDERED
    # A worker that has seen this owner's token refuses orders of earlier
    # owners. So if its reply doesn't list the run, the run isn't there.
    return Run(
        stored.number,
        stored.worker_id,
        phase,
        ordered_s=now_s,
        settled_s=now_s,
        pace=None,
        is_isolated=stored.is_isolated,
        is_confirmed=stored.is_confirmed,
        is_confirmation_stored=stored.is_confirmed,
        has_inherited_lease=stored.has_inherited_lease,
    )


def _to_stored_task(task: Task) -> StoredTask:
    return StoredTask(
        occurrence=task.id.occurrence,
        step=task.id.step,
        index=task.id.index,
        last_run_number=task.last_run_number,
        is_done=task.is_done,
        failures=task.failures,
        checkpoint=task.checkpoint,
        runs=[
            StoredRun(
                run.number,
                run.worker_id,
                run.phase is RunPhase.STOPPING,
                run.is_isolated,
                is_reported=run.is_confirmed,
                is_confirmed=run.is_confirmed,
                has_inherited_lease=run.has_inherited_lease,
            )
            for run in task.runs
        ],
        last_failed_run_number=task.last_failed_run_number,
        crashed_worker_ids=task.crashed_worker_ids,
        is_suspect=task.is_suspect,
        exposure_ms=_stored_exposure_ms(task),
    )


def _stored_exposure_ms(task: Task) -> int:
    """Returns how long the task ran, 0 where no crash is weighed against it."""
    if not task.crashed_worker_ids and not task.step.long_running:
        return 0
    return round(task.exposure_s() * _MS_PER_S)


def _has_runs(job: Job) -> bool:
    return any(task.runs for task in job.tasks())
