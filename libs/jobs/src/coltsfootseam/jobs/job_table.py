"""The table of a pool's jobs, and the changes of their state."""

from collections.abc import Callable

from coltsfootseam.jobs.documents import (
    Progress,
    ProgressRecord,
    encode_changes,
    restore_progress,
)
from coltsfootseam.jobs.entities import Job, Occurrence, Run, Task
from coltsfootseam.jobs.model import (
    JobRequest,
    JobState,
    RunEnd,
    RunPhase,
    TaskId,
)
from coltsfootseam.jobs.run_index import RunIndex

MaxAttemptsOf = Callable[[JobRequest], int]
"""Returns the number of failed runs of a task that fail its job, by queue."""


class JobTable:
    """Jobs of one pool by id, and which of them changed.

    Requests, cancellations and ends of runs may arrive repeatedly and in any
    order; the result is the same.

    Attributes:
        jobs_by_id: All jobs; the request of an ended job may be empty.
        active_by_id: The jobs that aren't in a final state or still have runs.
        changed_ids: Jobs whose progress isn't stored yet.
        runs: All runs that may be active, by worker.
    """

    __slots__ = (
        "_cancelled_before_request",
        "_max_attempts_of",
        "active_by_id",
        "changed_ids",
        "jobs_by_id",
        "runs",
    )

    def __init__(self, max_attempts_of: MaxAttemptsOf) -> None:
        self._max_attempts_of = max_attempts_of
        self._cancelled_before_request: set[str] = set()
        self.jobs_by_id: dict[str, Job] = {}
        self.active_by_id: dict[str, Job] = {}
        self.changed_ids: set[str] = set()
        self.runs = RunIndex()

    def add(
        self,
        job_id: str,
        request: JobRequest,
        now_s: float,
        progress: Progress | None = None,
    ) -> Job:
        """Adds a job and returns it; returns the existing job if it is known.

        Args:
            job_id: The caller's id of the job.
            request: The submitted request.
            now_s: Monotonic time.
            progress: Progress to restore, ``None`` for a new job.
        """
        existing = self.jobs_by_id.get(job_id)
        if existing is not None:
            return existing
        job = Job(job_id, request)
        if progress is not None:
            restore_progress(job, progress, now_s)
            for task in job.tasks():
                for run in task.runs:
                    self.runs.add(task, run)
            if job.changed_parts:
                self.changed_ids.add(job_id)
        self.jobs_by_id[job_id] = job
        self._update_active(job)
        if job_id in self._cancelled_before_request:
            self._cancelled_before_request.discard(job_id)
            self.cancel(job_id, request.accepted_ms)
        return job

    def add_ended(self, job_id: str, progress: Progress) -> None:
        """Adds an ended job, of which only the final state is kept."""
        if job_id in self.jobs_by_id:
            return
        self._cancelled_before_request.discard(job_id)
        # The request of an ended job is no longer needed.
        request = JobRequest(
            "", "", (), accepted_ms=progress.ended_ms, team=progress.team
        )
        job = Job(job_id, request)
        restore_progress(job, progress, 0.0)
        if job.changed_parts:
            self.changed_ids.add(job_id)
        self.jobs_by_id[job_id] = job

    def is_open(self, job_id: str) -> bool:
        """Returns whether a job may still change or has unstored changes."""
        return job_id in self.active_by_id or job_id in self.changed_ids

    def cancel(self, job_id: str, now_ms: int) -> None:
        """Cancels a job, even if its request hasn't arrived yet."""
        job = self.jobs_by_id.get(job_id)
        if job is None:
            self._cancelled_before_request.add(job_id)
            return
        if not job.state.is_final:
            self._finish(job, JobState.CANCELLED, now_ms)

    def drop(self, job_id: str) -> None:
        """Removes a job."""
        job = self.jobs_by_id.pop(job_id, None)
        for task in job.tasks() if job is not None else ():
            for run in task.runs:
                self.runs.remove(task, run)
        self.active_by_id.pop(job_id, None)
        self.changed_ids.discard(job_id)
        self._cancelled_before_request.discard(job_id)

    def find_task(self, task_id: TaskId) -> Task | None:
        """Returns a task by id, ``None`` if it is unknown."""
        job = self.jobs_by_id.get(task_id.job_id)
        return None if job is None else job.task(task_id)

    def add_run(
        self,
        task: Task,
        worker_id: str,
        now_s: float,
        number: int = 0,
        is_isolated: bool = False,
    ) -> Run:
        """Adds and returns a run that is about to be ordered.

        Args:
            task: The task to run.
            worker_id: Worker that is to run it.
            now_s: Monotonic time.
            number: Lowest number that the run may get. All tasks of a gang get
                the same number.
            is_isolated: Whether its worker gets no other tasks meanwhile.
        """
        task.last_run_number = max(task.last_run_number + 1, number)
        run = Run(
            task.last_run_number,
            worker_id,
            ordered_s=now_s,
            checkpoint=task.checkpoint,
            is_isolated=is_isolated,
        )
        job = self.jobs_by_id[task.id.job_id]
        job.occurrence(task.id.occurrence).set_runs(task, [*task.runs, run])
        self.runs.add(task, run)
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING
        self._record_change(job, task)
        return run

    def confirm_run(self, run: Run, now_s: float) -> None:
        """Records that a worker has started a run."""
        if run.started_s is None:
            run.started_s = now_s
        if run.phase is RunPhase.ORDERED:
            run.phase = RunPhase.RUNNING

    def store_confirmation(self, task: Task, run: Run) -> None:
        """Has it stored that a run is on the worker that it was ordered from.

        The next owner then needn't wait for a worker that it can't reach.
        """
        if run.is_confirmed and not run.is_confirmation_stored:
            run.is_confirmation_stored = True
            self._record_change(self.jobs_by_id[task.id.job_id], task)

    def stop_run(self, task: Task, run: Run, reason: str) -> None:
        """Marks a run to be stopped; the stop order is sent separately."""
        if run.phase is not RunPhase.STOPPING:
            run.phase = RunPhase.STOPPING
            run.reason = reason
            self._record_change(self.jobs_by_id[task.id.job_id], task)

    def end_run(
        self, task: Task, run: Run, end: RunEnd, checkpoint: str, now_ms: int
    ) -> None:
        """Removes a run and applies its outcome to the task and the job.

        Args:
            task: The task of the run.
            run: The run that ended.
            end: How it ended.
            checkpoint: Latest checkpoint that it saved, or empty.
            now_ms: Unix milliseconds.
        """
        job = self.jobs_by_id[task.id.job_id]
        job.occurrence(task.id.occurrence).set_runs(
            task, [other for other in task.runs if other is not run]
        )
        self.runs.remove(task, run)
        for member in _members(job, task):
            member.ended_exposure_s += run.exposure_s()
            self._record_change(job, member)
        if checkpoint:
            task.checkpoint = checkpoint
        if end is RunEnd.DONE:
            self._apply_done(job, task, now_ms)
        elif end is RunEnd.FAILED:
            self._apply_failure(job, task, run, now_ms)
        if not task.runs:
            self._drop_if_finished(job, task.id.occurrence)
        self._update_active(job)

    def record_crash(self, task: Task, worker_id: str) -> None:
        """Records that a worker crashed while a run of a task was on it.

        A crash under any member of a gang counts for each of them.
        """
        job = self.jobs_by_id[task.id.job_id]
        for member in _members(job, task):
            if worker_id not in member.crashed_worker_ids:
                member.crashed_worker_ids += (worker_id,)
            self._record_change(job, member)

    def suspect(self, task: Task, now_s: float) -> None:
        """Has a task, and its whole gang, run in isolation from now on."""
        job = self.jobs_by_id[task.id.job_id]
        for member in _members(job, task):
            member.suspect_since_s = now_s
            self._record_change(job, member)

    def tasks_with_crash(self, worker_id: str) -> list[Task]:
        """Returns the tasks of active jobs under which a worker crashed."""
        return [
            task
            for job in self.active_by_id.values()
            for task in job.tasks()
            if worker_id in task.crashed_worker_ids
        ]

    def clear_suspicion(self, task: Task) -> None:
        """Has a task, and its whole gang, run beside others again."""
        job = self.jobs_by_id[task.id.job_id]
        for member in _members(job, task):
            member.suspect_since_s = None
            self._record_change(job, member)

    def withdraw_run(self, task: Task, run: Run, now_ms: int) -> None:
        """Removes a run whose start was never sent."""
        if run in task.runs:
            self.end_run(task, run, RunEnd.NEVER_STARTED, "", now_ms)

    def give_up(self, job: Job, reason: str, now_ms: int) -> None:
        """Fails a job that can't be done."""
        if not job.state.is_final:
            job.failure_reason = reason
            self._finish(job, JobState.FAILED, now_ms)

    def clear_crashes(self, explained_ids: frozenset[str]) -> list[Task]:
        """Clears tasks of crashes that another task is known to have caused.

        Args:
            explained_ids: The workers that crashed under that other task.

        Returns:
            The tasks that no crash is left for.
        """
        cleared = []
        for job in self.active_by_id.values():
            if job.state.is_final:
                continue
            for task in job.tasks():
                if explained_ids.isdisjoint(task.crashed_worker_ids):
                    continue
                task.crashed_worker_ids = tuple(
                    worker_id
                    for worker_id in task.crashed_worker_ids
                    if worker_id not in explained_ids
                )
                self._record_change(job, task)
                if not task.crashed_worker_ids:
                    task.suspect_since_s = None
                    cleared.append(task)
        return cleared

    def drain_changes(self) -> dict[str, list[ProgressRecord]]:
        """Returns the records of each job that has changed, by the job's id.

        Afterwards no job counts as changed.
        """
        records_by_id = {
            job_id: encode_changes(self.jobs_by_id[job_id])
            for job_id in sorted(self.changed_ids)
            if job_id in self.jobs_by_id
        }
        self.changed_ids.clear()
        return records_by_id

    def _record_change(self, job: Job, task: Task) -> None:
        """Records that the progress of a task isn't stored as it is."""
        self.changed_ids.add(job.id)
        if job.is_in_parts():
            job.changed_parts.add(job.part_of(task))

    def _apply_done(self, job: Job, task: Task, now_ms: int) -> None:
        occurrence = job.occurrence(task.id.occurrence)
        if task.step.gang:
            for member in occurrence.tasks_by_step[task.id.step]:
                self._mark_done(occurrence, member)
        else:
            self._mark_done(occurrence, task)
        if occurrence.is_done():
            self._finish_occurrence(job, occurrence, now_ms)

    def _mark_done(self, occurrence: Occurrence, task: Task) -> None:
        if task.is_done or task.step.long_running:
            return
        occurrence.set_done(task)
        task.checkpoint = ""
        if task.step.gang:
            # The other tasks of the gang end on their own at the same time, so
            # their runs are not stopped.
            return
        for run in task.runs:
            self.stop_run(task, run, "another copy is done")

    def _finish_occurrence(
        self, job: Job, occurrence: Occurrence, now_ms: int
    ) -> None:
        job.finished_occurrences.add(occurrence.number)
        count = job.request.occurrence_count()
        if len(job.finished_occurrences) == count:
            self._finish(job, JobState.COMPLETED, now_ms)

    def _drop_if_finished(self, job: Job, number: int) -> None:
        """Drops the tasks of a finished occurrence that has no runs left."""
        is_scheduled = job.request.occurrences > 0
        if not is_scheduled or number not in job.finished_occurrences:
            return
        if job.occurrences_by_number[number].has_runs():
            return
        del job.occurrences_by_number[number]
        job.changed_parts.update(job.parts_of(number) & job.stored_parts)

    def _apply_failure(
        self, job: Job, task: Task, run: Run, now_ms: int
    ) -> None:
        task.failed_worker_ids = task.failed_worker_ids | {run.worker_id}
        if task.step.long_running or task.is_done:
            return
        if task.step.gang:
            self._count_gang_failure(job, task, run.number)
        else:
            task.failures += 1
        attempt_limit = self._max_attempts_of(job.request)
        if task.failures >= attempt_limit and not job.state.is_final:
            self._finish(job, JobState.FAILED, now_ms)

    def _count_gang_failure(
        self, job: Job, task: Task, run_number: int
    ) -> None:
        """Counts a failure for all members, once for each run of the gang."""
        if task.last_failed_run_number >= run_number:
            return
        for member in _members(job, task):
            member.failures += 1
            member.last_failed_run_number = run_number

    def _finish(self, job: Job, state: JobState, now_ms: int) -> None:
        job.state = state
        job.ended_ms = now_ms
        self.changed_ids.add(job.id)
        for task in job.tasks():
            for run in task.runs:
                self.stop_run(task, run, f"the job is {state.name.lower()}")
        self._update_active(job)

    def _update_active(self, job: Job) -> None:
        is_active = not job.state.is_final or any(
            task.runs for task in job.tasks()
        )
        if is_active:
            self.active_by_id[job.id] = job
        else:
            self.active_by_id.pop(job.id, None)


def _members(job: Job, task: Task) -> list[Task]:
    """Returns the tasks that only run together with a task, itself included."""
    if not task.step.gang:
        return [task]
    return job.occurrence(task.id.occurrence).tasks_by_step[task.id.step]
