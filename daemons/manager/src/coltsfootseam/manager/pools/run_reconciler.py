"""Reconciles the job table with what workers report."""

from coltsfootseam.jobs import Run, RunEnd, RunPair, Task, TaskId
from coltsfootseam.manager.orders.orders import Orders
from coltsfootseam.manager.pools.crash_evidence import CrashEvidence
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.workers import (
    EndedRun,
    HeartbeatReply,
    RunningRun,
    WorkerLink,
    instance_of,
)

_MS_PER_S = 1000
_FULL_PERCENT = 100


class RunReconciler:
    """Applies heartbeat replies and the loss of workers to the job table."""

    __slots__ = ("_assessed_ids", "_crashes", "_orders", "_state")

    def __init__(self, state: PoolState, orders: Orders) -> None:
        self._state = state
        self._orders = orders
        self._crashes = CrashEvidence(state)
        # Workers that have ended, some of whose runs are not known to have.
        self._assessed_ids: set[str] = set()

    def apply_reply(
        self, link: WorkerLink, report: HeartbeatReply, sent_s: float
    ) -> None:
        """Applies a worker's heartbeat reply.

        Args:
            link: The link to the worker.
            report: The worker's ended and current runs.
            sent_s: When the heartbeat was sent; the reply is no older.
        """
        self._crashes.record_contact(link.worker_id)
        for ended in report.ended:
            self._apply_end(link, ended)
        listed = set()
        for reported in report.running:
            listed.add((reported.task, reported.number))
            self._apply_running(link, reported, sent_s)
        if report.has_more_ends:
            self._record_partial_reply(link)
        else:
            self._end_unlisted_runs(link, listed, sent_s)

    def end_lost_runs(
        self, worker_id: str, reason: str, silent_s: float | None = None
    ) -> None:
        """Ends the runs on a worker whose lease has ended.

        Those that the worker's next incarnation may have stay active.

        Args:
            worker_id: The worker.
            reason: How that is known.
            silent_s: When it stopped replying, ``None`` if that isn't known.
        """
        if worker_id not in self._assessed_ids:
            pairs = self._silenced_pairs(worker_id, silent_s)
            ended = [pair for pair in pairs if self._has_ended(pair)]
            self._crashes.record_loss(worker_id, ended, reason)
        self._lapse_ended(worker_id, reason)

    def end_crashed_runs(
        self, worker_id: str, reason: str, silent_s: float | None = None
    ) -> None:
        """Ends the runs on a worker that has crashed, see ``end_lost_runs``.

        All of them are weighed as the cause, also those that stay active.
        """
        if worker_id not in self._assessed_ids:
            pairs = self._silenced_pairs(worker_id, silent_s)
            self._crashes.record_crash(worker_id, pairs, reason)
            self._assessed_ids.add(worker_id)
        self._lapse_ended(worker_id, reason)

    def end_evacuated_runs(self, worker_id: str, reason: str) -> None:
        """Ends the runs on a worker that has left as planned."""
        self._lapse_ended(worker_id, reason)

    def lost_worker_ids(self) -> list[str]:
        """Returns the workers that lost their runs and may have crashed."""
        return self._crashes.lost_worker_ids()

    def _silenced_pairs(
        self, worker_id: str, silent_s: float | None
    ) -> list[RunPair]:
        """Returns the runs on a worker, with when it stopped replying."""
        pairs = self._state.job_table.runs.runs_of(worker_id)
        for _, run in pairs:
            run.silent_s = silent_s
        return pairs

    def _has_ended(self, pair: RunPair) -> bool:
        """Returns whether a run has ended, as its worker has."""
        return not self._state.lives.may_be_redirected(*pair)

    def _lapse_ended(self, worker_id: str, reason: str) -> None:
        """Ends the runs on a worker that no other incarnation may have."""
        runs = self._state.job_table.runs
        for task, run in runs.runs_of(worker_id):
            if self._has_ended((task, run)):
                self._end_run(task, run, RunEnd.LAPSED, run.saved, reason)
        if not runs.runs_of(worker_id):
            self._assessed_ids.discard(worker_id)

    def _apply_end(self, link: WorkerLink, ended: EndedRun) -> None:
        state = self._state
        last_sequence = state.end_sequences_by_worker.get(link.worker_id, 0)
        state.end_sequences_by_worker[link.worker_id] = max(
            last_sequence, ended.sequence
        )
        task = state.job_table.find_task(ended.task)
        if task is None:
            return
        run = _find_run(task, ended.number, link)
        if run is None:
            return
        now_s = state.now_s()
        is_first_failure = not task.failed_worker_ids
        state.health.record_end(
            link.worker_id, ended.end, is_first_failure, now_s
        )
        self._record_duration(task, run, ended.end)
        self._end_run(task, run, ended.end, ended.saved or run.saved, "listed")

    def _apply_running(
        self, link: WorkerLink, reported: RunningRun, sent_s: float
    ) -> None:
        task = self._state.job_table.find_task(reported.task)
        run = None
        if task is not None:
            run = task.find_run(reported.number, link.worker_id)
        if task is None or run is None:
            self._orders.stop_unknown_run(link, reported)
            return
        self._state.job_table.confirm_run(run, self._state.now_s())
        if self._state.lives.have_copies_arrived(run, sent_s):
            run.is_confirmed = True
        self._state.store_confirmation(task, run)
        run.saved = reported.saved or run.saved
        run.load = reported.load
        run.progress = reported.progress
        run.progress_s = self._state.now_s()
        self._crashes.clear_if_trusted(task)

    def _record_partial_reply(self, link: WorkerLink) -> None:
        """Logs that further runs may have ended without being listed yet."""
        self._state.context.log.write(
            "worker.ends_unlisted",
            worker=link.worker_id,
            acknowledged=link.acknowledged,
            listed=self._state.end_sequences_by_worker.get(link.worker_id, 0),
        )
        self._state.context.counters.increment("worker.ends_unlisted")

    def _end_unlisted_runs(
        self,
        link: WorkerLink,
        listed: set[tuple[TaskId, int]],
        sent_s: float,
    ) -> None:
        for task, run in self._state.job_table.runs.runs_of(link.worker_id):
            if (task.id, run.number) in listed or run.settled_s is None:
                continue
            if run.settled_s < sent_s:
                self._end_run(
                    task, run, RunEnd.NEVER_STARTED, run.saved, "not listed"
                )

    def _record_duration(self, task: Task, run: Run, end: RunEnd) -> None:
        is_plain = not run.checkpoint and run.pace == _FULL_PERCENT
        estimate_ms = task.step.estimate_ms
        if end is not RunEnd.DONE or not is_plain or not estimate_ms:
            return
        lasted_ms = (self._state.now_s() - run.ordered_s) * _MS_PER_S
        self._state.health.record_duration(
            run.worker_id, lasted_ms / estimate_ms
        )
        self._state.estimate_ratios.record(task.step, lasted_ms / estimate_ms)

    def _end_run(
        self, task: Task, run: Run, end: RunEnd, saved: str, why: str
    ) -> None:
        state = self._state
        state.job_table.end_run(task, run, end, saved, state.wall_ms())
        state.context.log.write(
            "run.ended",
            job=task.id.job_id,
            task=task.id.position(),
            run=run.number,
            worker=run.worker_id,
            end=end.name,
            failures=task.failures,
            lasted_ms=round((state.now_s() - run.ordered_s) * _MS_PER_S),
            estimate_ms=task.step.estimate_ms,
            load=run.load,
            why=run.reason or why,
        )


def _find_run(task: Task, number: int, link: WorkerLink) -> Run | None:
    """Returns the run that a worker reports as ended.

    It may have been ordered from a former incarnation of the worker.
    """
    for run in task.runs:
        is_same = instance_of(run.worker_id) == link.entry.instance_id
        if is_same and run.number == number:
            return run
    return None
