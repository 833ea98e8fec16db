"""Turns the loss of a worker into evidence against the tasks on it."""

from coltsfootseam.jobs import RunPair, Task
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.results import ResultCode
from coltsfootseam.scheduling import (
    assess_crash,
    find_unproven,
    is_cleared,
    is_confirmed,
)

_MAX_LOST_WORKERS = 64
_MAX_REPORTED_RUNS = 16
_MS_PER_S = 1000
_S_PER_HOUR = 3600


class CrashEvidence:
    """Records which workers were lost, and assesses the tasks on them.

    A worker whose lease has ended may be cut off and is no evidence. Its runs
    are remembered until it is known whether it has crashed.
    """

    __slots__ = ("_lost_pairs_by_worker", "_state")

    def __init__(self, state: PoolState) -> None:
        self._state = state
        self._lost_pairs_by_worker: dict[str, list[RunPair]] = {}

    def lost_worker_ids(self) -> list[str]:
        """Returns the workers that lost their runs and may have crashed."""
        return list(self._lost_pairs_by_worker)

    def record_contact(self, worker_id: str) -> None:
        """Records that a worker answers again, so it has not crashed."""
        self._lost_pairs_by_worker.pop(worker_id, None)

    def record_loss(
        self, worker_id: str, pairs: list[RunPair], reason: str
    ) -> None:
        """Records the runs on a worker whose lease has ended."""
        if not pairs:
            return
        self._report("contact.lost", worker_id, pairs, reason)
        lost = self._lost_pairs_by_worker.setdefault(worker_id, [])
        lost.extend(pairs)
        if len(self._lost_pairs_by_worker) > _MAX_LOST_WORKERS:
            # Oldest first, as a dict keeps insertion order.
            oldest_id = next(iter(self._lost_pairs_by_worker))
            del self._lost_pairs_by_worker[oldest_id]

    def record_crash(
        self, worker_id: str, pairs: list[RunPair], reason: str
    ) -> None:
        """Records that a worker has crashed, and assesses the tasks on it.

        Args:
            worker_id: The worker.
            pairs: The runs on it that have not ended otherwise.
            reason: How the crash is known.
        """
        pairs = [*self._lost_pairs_by_worker.pop(worker_id, []), *pairs]
        pairs = [pair for pair in pairs if not pair[0].is_done]
        state = self._state
        if not pairs and worker_id in state.offered_worker_ids:
            return
        candidates = [task for task, _ in find_unproven(pairs)]
        candidates += state.job_table.tasks_with_crash(worker_id)
        state.crash_rate.record_crash(worker_id, candidates, state.now_s())
        if not pairs:
            return
        self._report("crash.observed", worker_id, pairs, reason)
        job_table = state.job_table
        for task, run in pairs:
            is_known = task.id.job_id in job_table.jobs_by_id
            if is_known and is_confirmed(run):
                job_table.record_crash(task, worker_id)
        assessment = assess_crash(pairs, state.crashes_per_worker_s())
        for task in assessment.suspects:
            self._suspect(task)
        for task in assessment.culprits:
            self._give_up(task)

    def clear_if_trusted(self, task: Task) -> None:
        """Clears a suspect that has run for long enough since."""
        state = self._state
        if not task.is_suspect:
            return
        if not is_cleared(task, state.crashes_per_worker_s()):
            return
        state.job_table.clear_suspicion(task)
        state.context.log.write(
            "crash.suspicion_cleared",
            job=task.id.job_id,
            task=task.id.position(),
            exposed_ms=round(task.exposure_s() * _MS_PER_S),
        )

    def _suspect(self, task: Task) -> None:
        state = self._state
        if task.id.job_id not in state.job_table.active_by_id:
            return
        if not task.is_suspect:
            state.context.counters.increment("crash.suspects")
            state.context.log.write(
                "crash.suspected",
                job=task.id.job_id,
                task=task.id.position(),
                workers=task.crashed_worker_ids,
            )
        state.job_table.suspect(task, state.now_s())

    def _give_up(self, task: Task) -> None:
        state = self._state
        job = state.job_table.jobs_by_id.get(task.id.job_id)
        if job is None or job.state.is_final:
            # It was cancelled, or another task of it was given up.
            return
        explained_ids = frozenset(task.crashed_worker_ids)
        state.crash_rate.leave_out(explained_ids)
        state.context.counters.increment("crash.given_up")
        state.context.log.write(
            "crash.task_given_up",
            job=task.id.job_id,
            task=task.id.position(),
            workers=task.crashed_worker_ids,
            exposed_ms=round(task.exposure_s() * _MS_PER_S),
            crashes_per_hour=self._crashes_per_hour(),
            code=ResultCode.JOB_CRASHES_WORKERS.value,
        )
        job = state.job_table.jobs_by_id[task.id.job_id]
        state.job_table.give_up(job, _failure_reason(task), state.wall_ms())
        cleared = state.job_table.clear_crashes(explained_ids)
        state.context.counters.increment("crash.cleared", len(cleared))
        state.context.log.write(
            "crash.cleared",
            job=task.id.job_id,
            tasks=[[item.id.job_id, *item.id.position()] for item in cleared],
        )

    def _report(
        self, event: str, worker_id: str, pairs: list[RunPair], reason: str
    ) -> None:
        state = self._state
        state.context.counters.increment(event)
        state.context.log.write(
            event,
            worker=worker_id,
            pool=state.pool,
            runs=len(pairs),
            unproven=[
                [task.id.job_id, *task.id.position(), run.number]
                for task, run in find_unproven(pairs)
            ],
            exposed_ms=[
                round(run.exposure_s() * _MS_PER_S)
                for _, run in pairs[:_MAX_REPORTED_RUNS]
            ],
            crashes_per_hour=self._crashes_per_hour(),
            why=reason,
        )

    def _crashes_per_hour(self) -> float:
        return round(self._state.crashes_per_worker_s() * _S_PER_HOUR, 1)


def _failure_reason(task: Task) -> str:
    code = ResultCode.JOB_CRASHES_WORKERS
    position = ".".join(str(number) for number in task.id.position())
    workers = ", ".join(task.crashed_worker_ids)
    return f"{code.value} {code.name}: task {position} crashed {workers}"
