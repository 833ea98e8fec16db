"""Bringing the book in line with what workers report."""

from coltsfootseam.jobs import Run, RunEnd, Task, TaskId
from coltsfootseam.manager.orders import Orders
from coltsfootseam.manager.pool_state import PoolState
from coltsfootseam.workers import (
    EndRow,
    HoldReport,
    RunningRow,
    WorkerLink,
)

_MS_PER_S = 1000
_FULL_PERCENT = 100


class RunReconciler:
    """Takes reports of holds and the loss of workers."""

    __slots__ = ("_orders", "_state")

    def __init__(self, state: PoolState, orders: Orders) -> None:
        self._state = state
        self._orders = orders

    def apply_reply(
        self, link: WorkerLink, report: HoldReport, sent_s: float
    ) -> None:
        """Takes a worker's report.

        Args:
            link: The link to the worker.
            report: What it says.
            sent_s: When the hold was sent; the report is no older.
        """
        for end_row in report.ended:
            self._apply_end(link, end_row)
        listed = set()
        for row in report.running:
            listed.add((row.task, row.number))
            self._apply_running(link, row)
        self._end_unlisted_runs(link, listed, sent_s)

    def lapse_runs_on(self, worker_id: str, reason: str) -> None:
        """Takes note that nothing runs on a worker any more."""
        for task, run in self._state.book.runs.runs_of(worker_id):
            self._end_run(task, run, RunEnd.LAPSED, run.saved, reason)

    def _apply_end(self, link: WorkerLink, row: EndRow) -> None:
        state = self._state
        newest = state.end_sequences_by_worker.get(link.worker_id, 0)
        state.end_sequences_by_worker[link.worker_id] = max(
            newest, row.sequence
        )
        task = state.book.find_task(row.task)
        if task is None:
            return
        run = task.run_numbered(row.number, link.worker_id)
        if run is None:
            return
        now_s = state.now_s()
        is_first_failure = not task.failed_on
        state.health.take_end(link.worker_id, row.end, is_first_failure, now_s)
        self._record_duration(task, run, row.end)
        self._end_run(task, run, row.end, row.saved or run.saved, "listed")

    def _apply_running(self, link: WorkerLink, row: RunningRow) -> None:
        task = self._state.book.find_task(row.task)
        run = None
        if task is not None:
            run = task.run_numbered(row.number, link.worker_id)
        if task is None or run is None:
            self._orders.stop_unknown_run(link, row)
            return
        self._state.book.confirm_run(run, self._state.now_s())
        run.saved = row.saved or run.saved
        run.load = row.load
        run.progress = row.progress
        run.progress_s = self._state.now_s()

    def _end_unlisted_runs(
        self,
        link: WorkerLink,
        listed: set[tuple[TaskId, int]],
        sent_s: float,
    ) -> None:
        for task, run in self._state.book.runs.runs_of(link.worker_id):
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
        self._state.health.take_duration(run.worker_id, lasted_ms / estimate_ms)

    def _end_run(
        self, task: Task, run: Run, end: RunEnd, saved: str, why: str
    ) -> None:
        state = self._state
        state.book.end_run(task, run, end, saved, state.wall_ms())
        state.context.log.write(
            "run.ended",
            job=task.id.job_id,
            task=[task.id.occurrence, task.id.step, task.id.index],
            run=run.number,
            worker=run.worker_id,
            end=end.name,
            failures=task.failures,
            lasted_ms=round((state.now_s() - run.ordered_s) * _MS_PER_S),
            estimate_ms=task.step.estimate_ms,
            load=run.load,
            why=run.reason or why,
        )
