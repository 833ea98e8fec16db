"""Which task crashed a worker, by the runs that were on it.

A run that its worker has reported for a while is proven: it is an unlikely
cause of a crash. Among the others a few likely ones are suspects, which run in
isolation from then on. A task that crashes a worker in isolation as well may be
the cause. Workers crash for other causes too, so it is the cause only if so
many crashes, in so little time on workers, are next to impossible at the rate
at which the pool's workers crash. Only runs that the worker confirmed count as
proof, as an order that was not answered may have reached a worker that had
crashed already. A task that crashes workers only after a while becomes a
suspect as its crashes add up.
"""

import msgspec

from coltsfootseam.jobs import Run, RunPair, Task
from coltsfootseam.scheduling.crash_rate import (
    DEFAULT_RATE,
    coincidence,
    is_innocent,
)
from coltsfootseam.scheduling.worker_capacity import step_key

_PROVEN_AFTER_S = 0.25
_MAX_SUSPECTS_PER_CRASH = 8
_SUSPECT_AFTER_UNPROVEN_CRASHES = 2
_SUSPECT_AFTER_CRASHES = 3
_CULPRIT_AFTER_CRASHES = 2
_CULPRIT_BELOW = 2e-6
"""Probability of coincidence below which a task is the cause. A pool starts
thousands of tasks, each of which may be on workers that crash."""
_SUSPECT_BELOW = 1e-3
_MAX_PROMPT_CRASHES = 5
_CRASH_RESOLUTION_S = 0.05
"""Error of the time at which a worker is known to have crashed."""


class CrashAssessment(msgspec.Struct, frozen=True):
    """What a crash says about the tasks that were on the worker.

    Attributes:
        suspects: Tasks to run in isolation.
        culprits: Tasks that have crashed a worker in isolation.
    """

    suspects: list[Task]
    culprits: list[Task]


def is_proven(run: Run) -> bool:
    """Returns whether a worker has run a run for a while without a crash."""
    if run.started_s is None or run.progress_s is None:
        return False
    return run.progress_s - run.started_s >= _PROVEN_AFTER_S


def is_confirmed(run: Run) -> bool:
    """Returns whether the worker is known to have started a run."""
    return run.started_s is not None


def find_unproven(pairs: list[RunPair]) -> list[RunPair]:
    """Returns the runs that aren't proven, the likeliest cause first.

    Args:
        pairs: All runs on a worker that has crashed.
    """
    unproven = [pair for pair in pairs if not is_proven(pair[1])]
    return sorted(unproven, key=_likelihood)


def assess_crash(
    pairs: list[RunPair], rate: float = DEFAULT_RATE
) -> CrashAssessment:
    """Returns which tasks are suspect or culprits after a crash.

    Args:
        pairs: All runs on the worker; their tasks include this crash already.
        rate: Crashes per worker and second that no task caused.
    """
    unproven = find_unproven(pairs)
    culprits = [pair[0] for pair in pairs if _is_culprit(pair, unproven, rate)]
    if culprits:
        return CrashAssessment([], culprits)
    suspects = [task for task, _ in unproven[:_MAX_SUSPECTS_PER_CRASH]]
    suspects += [
        task
        for task, _ in unproven[_MAX_SUSPECTS_PER_CRASH:]
        if len(task.crashed_worker_ids) >= _SUSPECT_AFTER_UNPROVEN_CRASHES
    ]
    suspects += [
        task
        for task, run in pairs
        if is_proven(run) and crashes_late(task, rate)
    ]
    return CrashAssessment(suspects, [])


def crashes_late(task: Task, rate: float) -> bool:
    """Returns whether a task may crash workers on which it seemed proven."""
    if len(task.crashed_worker_ids) < _SUSPECT_AFTER_CRASHES:
        return False
    return _coincidence_of(task, rate) < _SUSPECT_BELOW


def is_cleared(task: Task, rate: float) -> bool:
    """Returns whether a suspect ran for long enough to be trusted again."""
    return is_innocent(task) and not crashes_late(task, rate)


def _is_culprit(pair: RunPair, unproven: list[RunPair], rate: float) -> bool:
    task, run = pair
    if not run.is_isolated or not is_confirmed(run):
        return False
    if any(not _is_same_unit(task, other) for other, _ in unproven):
        return False
    crash_count = len(task.crashed_worker_ids)
    if crash_count < _CULPRIT_AFTER_CRASHES:
        return False
    if crash_count >= _MAX_PROMPT_CRASHES and not is_innocent(task):
        return True
    return _coincidence_of(task, rate) < _CULPRIT_BELOW


def _coincidence_of(task: Task, rate: float) -> float:
    """Returns how likely the crashes under a task have another cause."""
    crash_count = len(task.crashed_worker_ids)
    exposure_s = max(task.exposure_s(), crash_count * _CRASH_RESOLUTION_S)
    return coincidence(rate, exposure_s, crash_count)


def _is_same_unit(task: Task, other: Task) -> bool:
    """Returns whether two tasks are the same, or of the same gang."""
    if not task.step.gang:
        return task is other
    return step_key(task.id) == step_key(other.id)


def _likelihood(pair: RunPair) -> tuple[int, bool, bool, float]:
    """Returns a sort key: earlier crashes, confirmed, never reported, young."""
    task, run = pair
    return (
        -len(task.crashed_worker_ids),
        not is_confirmed(run),
        run.progress_s is not None,
        -(run.started_s or run.ordered_s),
    )
