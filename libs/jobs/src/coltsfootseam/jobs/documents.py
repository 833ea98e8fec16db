"""The records in a pool's partitions: requests, cancellations, progress.

Entry hosts write requests and cancellations into the pool's inbox, each under
its own key, so that repeated writes have no effect. The pool's owner writes a
progress document per job into the pool's journal. Keys start with the pool, as
pools may share partitions.
"""

import msgspec

from coltsfootseam.jobs.entities import Job, PartId, Run, Task
from coltsfootseam.jobs.model import JobRequest, JobState, RunPhase, TaskId
from coltsfootseam.jobs.number_ranges import NumberRange, NumberRanges

_PART_INFIX = "/part/"
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
    """

    number: int
    worker_id: str
    is_stopping: bool = False
    is_isolated: bool = False
    is_reported: bool = False
    is_confirmed: bool = False


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
    """The progress document of a job.

    Attributes:
        state: Its state.
        ended_ms: When it reached a final state, Unix milliseconds.
        finished_occurrences: Occurrences whose tasks are all done, as hosts of
            0.7.5 and earlier have stored them.
        tasks: Its tasks; of a job in parts, those of the parts once these are
            loaded.
        failure_reason: Why it failed, if not by its limit on attempts.
        team: Team that submitted it.
        finished_ranges: Occurrences whose tasks are all done.
        parts: The parts that have a record, known once they are loaded.
    """

    state: JobState
    ended_ms: int = 0
    finished_occurrences: list[int] = []
    tasks: list[StoredTask] = []
    failure_reason: str = ""
    team: str = ""
    finished_ranges: list[NumberRange] = []
    parts: list[PartId] = []


class ProgressRecord(msgspec.Struct, frozen=True):
    """A record of a job's progress.

    Attributes:
        suffix: What follows the job's key in that of the record.
        value: The content, empty if the record is to be deleted.
    """

    suffix: str
    value: bytes


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


def parse_part_key(pool: str, key: str) -> tuple[str, PartId] | None:
    """Parses the key of a part of a job's progress.

    Returns:
        The job's id and the part, ``None`` if the key is that of no part or
        belongs to another pool.
    """
    prefix = key_prefix(pool)
    job_id, infix, rest = key.removeprefix(prefix).partition(_PART_INFIX)
    occurrence, _, number = rest.partition("/")
    is_part = occurrence.isdecimal() and number.isdecimal()
    if not key.startswith(prefix) or not infix or not is_part:
        return None
    return job_id, (int(occurrence), int(number))


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
    """Encodes the progress of a job in one document.

    Of a final job without runs only the state and the team are kept.
    """
    if _is_ended(job):
        return _encode_document(job, [])
    return _encode_document(job, _to_stored_tasks(job.tasks()))


def encode_changes(job: Job) -> list[ProgressRecord]:
    """Encodes what has changed of a job's progress since the last call.

    The progress of a large job is in parts, each with a record of its own, so
    that a record has a limited size and a change of one task rewrites few. The
    document goes first: it says which occurrences are finished, whose parts are
    deleted.
    """
    if not job.is_in_parts():
        return [ProgressRecord("", encode_progress(job))]
    records = []
    document = _encode_document(job, [])
    if document != job.stored_document:
        records.append(ProgressRecord("", document))
        job.stored_document = document
    if _is_ended(job):
        records += _delete_parts(job)
    else:
        records += _encode_parts(job)
    job.changed_parts.clear()
    return records


def decode_part(value: bytes) -> list[StoredTask]:
    """Decodes a part of a job's progress.

    Raises:
        msgspec.DecodeError: If the value is no such part.
    """
    return msgspec.msgpack.decode(value, type=list[StoredTask])


def _encode_document(job: Job, tasks: list[StoredTask]) -> bytes:
    ranges = [] if _is_ended(job) else job.finished_occurrences.ranges()
    # Hosts of earlier versions know numbers only. Large jobs have too many.
    numbers: list[int] = []
    if not job.is_in_parts():
        numbers = [n for first, last in ranges for n in range(first, last + 1)]
        ranges = []
    return msgspec.msgpack.encode(
        Progress(
            job.state,
            job.ended_ms,
            numbers,
            tasks,
            job.failure_reason,
            job.request.team,
            ranges,
        )
    )


def _encode_parts(job: Job) -> list[ProgressRecord]:
    records = []
    for part in sorted(job.changed_parts):
        tasks = _to_stored_tasks(job.tasks_of(part))
        if tasks:
            job.stored_parts.add(part)
            value = msgspec.msgpack.encode(tasks)
            records.append(ProgressRecord(_part_suffix(part), value))
        elif part in job.stored_parts:
            job.stored_parts.discard(part)
            records.append(ProgressRecord(_part_suffix(part), b""))
    return records


def _delete_parts(job: Job) -> list[ProgressRecord]:
    records = [
        ProgressRecord(_part_suffix(part), b"")
        for part in sorted(job.stored_parts)
    ]
    job.stored_parts.clear()
    return records


def _part_suffix(part: PartId) -> str:
    return f"{_PART_INFIX}{part[0]}/{part[1]}"


def _to_stored_tasks(tasks: list[Task]) -> list[StoredTask]:
    return [_to_stored_task(task) for task in tasks if task.last_run_number]


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
    job.finished_occurrences = NumberRanges(progress.finished_ranges)
    for number in progress.finished_occurrences:
        job.finished_occurrences.add(number)
    job.stored_parts = set(progress.parts)
    for stored in progress.tasks:
        task = _restore_task(job, stored, now_s)
        if task is not None and not progress.parts and job.is_in_parts():
            # The document is one of an earlier version.
            job.changed_parts.add(job.part_of(task))
    _drop_finished(job)
    job.changed_parts.update(
        part for part in progress.parts if not _is_needed(job, part)
    )


def _drop_finished(job: Job) -> None:
    """Drops the tasks of finished occurrences that have no runs."""
    for number in list(job.occurrences_by_number):
        occurrence = job.occurrences_by_number[number]
        if number in job.finished_occurrences and not occurrence.has_runs():
            del job.occurrences_by_number[number]


def _is_needed(job: Job, part: PartId) -> bool:
    """Returns whether a part that has a record must keep it."""
    return not _is_ended(job) and part[0] in job.occurrences_by_number


def _restore_task(job: Job, stored: StoredTask, now_s: float) -> Task | None:
    """Restores a task; returns ``None`` if the job has no such task."""
    if not 0 <= stored.occurrence < job.request.occurrence_count():
        return None
    # The occurrence may be finished and have runs that are being stopped.
    occurrence = job.occurrence(stored.occurrence)
    task = job.task(
        TaskId(job.id, stored.occurrence, stored.step, stored.index)
    )
    if task is None:
        return None
    task.last_run_number = stored.last_run_number
    task.failures = stored.failures
    task.last_failed_run_number = stored.last_failed_run_number
    task.checkpoint = stored.checkpoint
    task.crashed_worker_ids = stored.crashed_worker_ids
    task.suspect_since_s = now_s if stored.is_suspect else None
    task.ended_exposure_s = stored.exposure_ms / _MS_PER_S
    if stored.is_done and not task.is_done:
        occurrence.set_done(task)
    occurrence.set_runs(task, [_restore_run(run, now_s) for run in stored.runs])
    return task


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


def _is_ended(job: Job) -> bool:
    """Returns whether a job is in a final state and nothing of it runs."""
    return job.state.is_final and not any(task.runs for task in job.tasks())
