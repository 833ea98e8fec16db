"""How often the workers of a pool crash, whatever runs on them.

The rate tells how likely it is that a task was on workers that crashed for
another cause. A crash that a task may have caused is left out for as long as
that isn't known, as several such tasks at once would explain each other.
"""

import math

import msgspec

from coltsfootseam.jobs import Task

_HALF_LIFE_S = 60.0
_FORGOTTEN_AFTER_S = 5 * _HALF_LIFE_S
_PRIOR_CRASHES = 0.5
_PRIOR_WORKER_S = 100.0
_INNOCENT_AFTER_S = 2.0
DEFAULT_RATE = _PRIOR_CRASHES / _PRIOR_WORKER_S
"""Crashes per worker and second where nothing has been observed yet."""


class _Crash(msgspec.Struct, frozen=True):
    """A crash and the tasks that may have caused it."""

    worker_id: str
    time_s: float
    candidates: list[Task]


class CrashRate:
    """Estimates the rate from the crashes and the time that workers ran.

    Earlier observations count for half after each half-life.
    """

    __slots__ = ("_crashes", "_updated_s", "_worker_count", "_worker_s")

    def __init__(self) -> None:
        self._crashes: list[_Crash] = []
        self._worker_count = 0
        self._worker_s = 0.0
        self._updated_s = 0.0

    def record_workers(self, count: int, now_s: float) -> None:
        """Records how many workers run from now on."""
        elapsed_s = now_s - self._updated_s
        self._worker_s *= _weight(elapsed_s)
        self._worker_s += self._worker_count * elapsed_s
        self._worker_count = count
        self._updated_s = now_s

    def record_crash(
        self, worker_id: str, candidates: list[Task], now_s: float
    ) -> None:
        """Records a crash.

        Args:
            worker_id: The worker.
            candidates: The tasks that may have caused it.
            now_s: Monotonic time.
        """
        self._crashes = [
            crash
            for crash in self._crashes
            if now_s - crash.time_s < _FORGOTTEN_AFTER_S
        ]
        self._crashes.append(_Crash(worker_id, now_s, candidates))

    def leave_out(self, worker_ids: frozenset[str]) -> None:
        """Leaves out the crashes of workers that a task is known to cause."""
        self._crashes = [
            crash
            for crash in self._crashes
            if crash.worker_id not in worker_ids
        ]

    def per_worker_s(self, now_s: float) -> float:
        """Returns the crashes per worker and second."""
        count = _PRIOR_CRASHES + sum(
            _weight(now_s - crash.time_s)
            for crash in self._crashes
            if all(is_innocent(task) for task in crash.candidates)
        )
        return count / (_PRIOR_WORKER_S + self._worker_s)


def is_innocent(task: Task) -> bool:
    """Returns whether a task runs too long to crash what starts it."""
    if task.is_done:
        return True
    crash_count = max(1, len(task.crashed_worker_ids))
    return task.exposure_s() >= _INNOCENT_AFTER_S * crash_count


def coincidence(rate: float, exposure_s: float, crash_count: int) -> float:
    """Returns the probability of so many crashes for another cause.

    Args:
        rate: Crashes per worker and second.
        exposure_s: How long runs of a task were on workers, in all.
        crash_count: How many of these workers crashed.
    """
    mean = rate * exposure_s
    term = math.exp(-mean)
    below = 0.0
    for number in range(crash_count):
        below += term
        term *= mean / (number + 1)
    return max(0.0, 1.0 - below)


def _weight(age_s: float) -> float:
    return math.exp2(-age_s / _HALF_LIFE_S)
