"""Decides whether an evacuation or an unanswered start may end a run.

A step with ``may_miss`` allows that so many of its tasks are unavailable at the
same time by the system's doing. Cancelled and failed jobs, and workers that
drain, end their runs without asking here.
"""

from coltsfootseam.jobs import Run, RunPhase, Task
from coltsfootseam.manager.pools.pool_state import PoolState

_READY_PERCENT = 100
_MIN_READY_S = 0.5


class Interruptions:
    """Keeps interruptions within what each step may miss."""

    __slots__ = ("_state",)

    def __init__(self, state: PoolState) -> None:
        self._state = state

    def record_unavailable(self) -> None:
        """Records when each lasting task was last seen unavailable."""
        now_s = self._state.now_s()
        for job in self._state.job_table.active_by_id.values():
            if not any(step.long_running for step in job.request.steps):
                continue
            for task in job.tasks():
                if not self._is_ready(task):
                    task.last_inactive_s = now_s

    def stop_if_allowed(self, task: Task, run: Run, reason: str) -> None:
        """Stops a run of a lasting task unless its step would miss too many."""
        if self._may_interrupt(task):
            self._state.job_table.stop_run(task, run, reason)
            task.last_inactive_s = self._state.now_s()

    def may_withdraw_start(self, run: Run, sent_s: float) -> bool:
        """Returns whether a start without an answer may be taken back.

        A worker that can't be heard may have carried the order out. Its run
        either is heard of again or ends with its lease, so that a stop gains
        nothing and may end a task at work. A worker that answers heartbeats
        would have reported the run.

        Args:
            run: The run.
            sent_s: When its start was first sent, in monotonic seconds.
        """
        link = self._state.links_by_id.get(run.worker_id)
        if link is None or not link.is_reachable:
            return False
        return link.last_request_s is not None and link.last_request_s > sent_s

    def _may_interrupt(self, task: Task) -> bool:
        """Returns whether one more task of the step may be interrupted."""
        step = task.step
        if step.may_miss is None:
            return True
        job = self._state.job_table.jobs_by_id[task.id.job_id]
        members = job.occurrence(task.id.occurrence).tasks_by_step[task.id.step]
        unavailable = sum(
            1 for member in members if self._is_unavailable(member)
        )
        return unavailable < step.may_miss

    def _is_unavailable(self, task: Task) -> bool:
        """Returns whether a task is unavailable, or was so a moment ago."""
        now_s = self._state.now_s()
        since_s = task.last_inactive_s
        if since_s is not None and now_s - since_s < _MIN_READY_S:
            return True
        return not self._is_ready(task)

    def _is_ready(self, task: Task) -> bool:
        return any(
            run.phase is RunPhase.RUNNING
            and run.progress == _READY_PERCENT
            and self._is_in_touch(run.worker_id)
            for run in task.runs
        )

    def _is_in_touch(self, worker_id: str) -> bool:
        """Returns whether a worker answered its last heartbeat."""
        link = self._state.links_by_id.get(worker_id)
        return link is not None and link.is_reachable
