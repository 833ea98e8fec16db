"""Which of the runs on a worker may have crashed it.

A worker may crash because of a task that it runs. A run that the worker has
reported for a while since its start is an unlikely cause; one that it never
reported, or only just after the start, is a likely one.
"""

from coltsfootseam.jobs import Run, RunPair

_PROVEN_AFTER_S = 0.25


def is_proven(run: Run) -> bool:
    """Returns whether a worker has run a run for a while without a crash."""
    if run.started_s is None or run.progress_s is None:
        return False
    return run.progress_s - run.started_s >= _PROVEN_AFTER_S


def find_unproven(pairs: list[RunPair]) -> list[RunPair]:
    """Returns the runs that aren't proven, the likeliest cause first.

    Args:
        pairs: All runs on a worker that has crashed.
    """
    unproven = [pair for pair in pairs if not is_proven(pair[1])]
    return sorted(unproven, key=_likelihood)


def _likelihood(pair: RunPair) -> tuple[bool, float]:
    """Returns a sort key: never reported first, then started last."""
    _, run = pair
    started_s = run.ordered_s if run.started_s is None else run.started_s
    return run.progress_s is not None, -started_s
