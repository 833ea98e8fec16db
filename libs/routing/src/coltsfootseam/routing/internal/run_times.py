"""Learning how long each kind of request runs."""

from collections import deque
from statistics import median

import msgspec

_RECENT_RUNS = 256
_KINDS_AT_MOST = 1000
_WEIGHT = 0.2
_LONG_FACTOR = 4.0
_RUNS_TO_TRUST = 5


class _Kind(msgspec.Struct):
    expected_s: float
    runs: int


class RunTimeEstimator:
    """Observed run times of one service.

    Declared sizes are not used. A kind that was never seen counts as short.
    """

    __slots__ = ("_kinds_by_name", "_recent_s", "_runs_since", "_typical_s")

    def __init__(self) -> None:
        self._kinds_by_name: dict[str, _Kind] = {}
        self._recent_s: deque[float] = deque(maxlen=_RECENT_RUNS)
        self._typical_s = 0.0
        self._runs_since = 0

    def note_run(self, kind: str, ran_s: float) -> None:
        """Takes note of how long a request of a kind ran."""
        self._recent_s.append(ran_s)
        self._runs_since += 1
        # The median is refreshed often at first and then now and then.
        if self._runs_since > len(self._recent_s) // 8:
            self._typical_s = median(self._recent_s)
            self._runs_since = 0
        known = self._kinds_by_name.get(kind)
        if known is not None:
            known.expected_s += _WEIGHT * (ran_s - known.expected_s)
            known.runs += 1
        elif len(self._kinds_by_name) < _KINDS_AT_MOST:
            self._kinds_by_name[kind] = _Kind(ran_s, 1)

    def expected_s(self, kind: str) -> float:
        """Returns how long a request of a kind is likely to run."""
        known = self._kinds_by_name.get(kind)
        return self._typical_s if known is None else known.expected_s

    def is_known(self, kind: str) -> bool:
        """Tells whether a kind ran often enough to rely on its figure."""
        known = self._kinds_by_name.get(kind)
        return known is not None and known.runs >= _RUNS_TO_TRUST

    def is_long(self, kind: str) -> bool:
        """Tells whether a kind runs much longer than is usual."""
        known = self._kinds_by_name.get(kind)
        if known is None or not self._typical_s:
            return False
        return known.expected_s > _LONG_FACTOR * self._typical_s
