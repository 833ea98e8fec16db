"""Estimates of how long each kind of request runs."""

from collections import deque
from statistics import median

import msgspec

_MEDIAN_WINDOW_RUNS = 256
_MAX_KINDS = 1000
_SMOOTHING_FACTOR = 0.2
_LONG_FACTOR = 4.0
_MIN_RELIABLE_RUNS = 5


class _KindEstimate(msgspec.Struct):
    expected_s: float
    runs: int


class RunTimeEstimator:
    """Estimates run times from the observed runs of one service.

    Sizes that callers declare are not used. A kind without a run counts as
    short.
    """

    __slots__ = (
        "_kinds_by_name",
        "_median_s",
        "_recent_s",
        "_runs_since_median",
    )

    def __init__(self) -> None:
        self._kinds_by_name: dict[str, _KindEstimate] = {}
        self._recent_s: deque[float] = deque(maxlen=_MEDIAN_WINDOW_RUNS)
        self._median_s = 0.0
        self._runs_since_median = 0

    def record_run(self, kind: str, ran_s: float) -> None:
        """Records how long a request of a kind ran."""
        self._recent_s.append(ran_s)
        self._runs_since_median += 1
        # Refreshes the median at every few runs at first, later less often.
        if self._runs_since_median > len(self._recent_s) // 8:
            self._median_s = median(self._recent_s)
            self._runs_since_median = 0
        known = self._kinds_by_name.get(kind)
        if known is not None:
            known.expected_s += _SMOOTHING_FACTOR * (ran_s - known.expected_s)
            known.runs += 1
        elif len(self._kinds_by_name) < _MAX_KINDS:
            self._kinds_by_name[kind] = _KindEstimate(ran_s, 1)

    def expected_s(self, kind: str) -> float:
        """Returns the expected run time of a kind.

        A kind without a run is expected to take the median of recent runs.
        """
        known = self._kinds_by_name.get(kind)
        return self._median_s if known is None else known.expected_s

    def is_reliable(self, kind: str) -> bool:
        """Returns whether a kind ran often enough for a reliable estimate."""
        known = self._kinds_by_name.get(kind)
        return known is not None and known.runs >= _MIN_RELIABLE_RUNS

    def is_long(self, kind: str) -> bool:
        """Returns whether a kind runs much longer than the median run."""
        known = self._kinds_by_name.get(kind)
        if known is None or not self._median_s:
            return False
        return known.expected_s > _LONG_FACTOR * self._median_s
