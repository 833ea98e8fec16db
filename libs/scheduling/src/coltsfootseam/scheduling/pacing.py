"""Controls the pace of best-effort tasks, which run on unused capacity.

They slow down the serving tasks on the same worker. The controller lowers their
pace well before the tail latency of a serving task reaches its target, and
raises it again in smaller steps.
"""

import msgspec

from coltsfootseam.jobs import Run, RunPair, Task

_LOWER_FROM_RATIO = 0.85
_RAISE_BELOW_RATIO = 0.6
_LOWER_FACTOR = 0.5
_RAISE_STEP_PERCENT = 10
_MIN_PERCENT = 10
_FULL_PERCENT = 100


class PaceChange(msgspec.Struct, frozen=True):
    """A new pace for a run, in percent of its full speed."""

    task: Task
    run: Run
    percent: int


def plan_pace(
    serving: list[RunPair], best_effort: list[RunPair]
) -> list[PaceChange]:
    """Returns the pace changes for the best-effort tasks of one worker.

    Args:
        serving: Tasks on the worker that have a target for their tail latency.
        best_effort: Tasks on it that run on unused capacity.
    """
    worst_ratio = max(
        (run.load / task.step.target_ms for task, run in serving),
        default=0.0,
    )
    changes = []
    for task, run in best_effort:
        pace = _FULL_PERCENT if run.pace is None else run.pace
        percent = _next_percent(pace, worst_ratio)
        if percent != run.pace:
            changes.append(PaceChange(task, run, percent))
    return changes


def _next_percent(percent: int, worst_ratio: float) -> int:
    if worst_ratio >= 1.0:
        return 0 if percent <= _MIN_PERCENT else _MIN_PERCENT
    if worst_ratio >= _LOWER_FROM_RATIO:
        return max(_MIN_PERCENT, round(percent * _LOWER_FACTOR))
    if worst_ratio < _RAISE_BELOW_RATIO:
        return min(_FULL_PERCENT, percent + _RAISE_STEP_PERCENT)
    return percent
