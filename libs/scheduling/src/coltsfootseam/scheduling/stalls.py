"""Finds workers on which tasks stall or are very slow, by their progress.

A single slow task may just be larger than its estimate. If all tasks of a
worker are slow, or one makes no progress at all, the worker is the cause. A
task that was moved once for being slow is no further evidence: if it is slow
on a second worker, its estimate is as likely to be wrong.
"""

import statistics

from coltsfootseam.jobs import Run, RunPair, RunPhase, Task

_MS_PER_S = 1000
_FULL_PERCENT = 100
_MIN_AGE_S = 0.8
_MIN_AGE_ESTIMATE_RATIO = 0.6
_NO_PROGRESS_AGE_S = 1.2
_MIN_SPEED = 0.25
_MIN_COMPARED_RUNS = 2
_MIN_PERCENT_TO_KEEP = 70


def find_stalled(pairs: list[RunPair], estimate_ratio: float) -> list[RunPair]:
    """Returns the runs of a worker that should move to another one.

    Args:
        pairs: All runs on the worker.
        estimate_ratio: Ratio of the pool's run times to their estimates.
    """
    comparable = [pair for pair in pairs if _has_comparable_progress(*pair)]
    unmoved = [pair for pair in comparable if not pair[0].stall_count]
    slow = _slow_runs(unmoved, estimate_ratio)
    stuck = [pair for pair in comparable if _has_no_progress(pair[1])]
    keys = {(task.id, run.number) for task, run in slow + stuck}
    return [
        (task, run) for task, run in comparable if (task.id, run.number) in keys
    ]


def _slow_runs(pairs: list[RunPair], estimate_ratio: float) -> list[RunPair]:
    """Returns the runs worth moving, if the worker as a whole is slow."""
    speeds = [_speed(task, run) * estimate_ratio for task, run in pairs]
    if (
        len(pairs) < _MIN_COMPARED_RUNS
        or statistics.median(speeds) >= _MIN_SPEED
    ):
        return []
    return [pair for pair in pairs if pair[1].progress < _MIN_PERCENT_TO_KEEP]


def _has_comparable_progress(task: Task, run: Run) -> bool:
    step = task.step
    if (
        step.long_running
        or step.gang
        or step.best_effort
        or not step.estimate_ms
    ):
        return False
    if run.phase is not RunPhase.RUNNING or run.started_s is None:
        return False
    if run.progress_s is None:
        return False
    estimate_s = step.estimate_ms / _MS_PER_S
    min_age_s = max(_MIN_AGE_S, _MIN_AGE_ESTIMATE_RATIO * estimate_s)
    return run.progress_s - run.started_s >= min_age_s


def _speed(task: Task, run: Run) -> float:
    """Returns the ratio of the progress to the one expected by the estimate."""
    assert run.started_s is not None
    assert run.progress_s is not None
    age_s = run.progress_s - run.started_s
    expected = age_s / (task.step.estimate_ms / _MS_PER_S)
    return run.progress / _FULL_PERCENT / expected


def _has_no_progress(run: Run) -> bool:
    assert run.started_s is not None
    assert run.progress_s is not None
    age_s = run.progress_s - run.started_s
    return run.progress == 0 and age_s >= _NO_PROGRESS_AGE_S
