"""Distinguishes bad workers from bad tasks by how runs end.

A worker on which consecutive runs fail is quarantined for a while, then gets
one task on probation. A task that fails on several workers counts against the
first of them only.
"""

import msgspec

from coltsfootseam.jobs import RunEnd

_QUARANTINE_AFTER_FAILURES = 2
_MIN_QUARANTINE_S = 1.5
_MAX_QUARANTINE_S = 12.0
_SMOOTHING_WEIGHT = 0.2
_MAX_SLOWNESS = 20.0


class _Record(msgspec.Struct):
    consecutive_failures: int = 0
    quarantined_until_s: float = 0.0
    next_quarantine_s: float = _MIN_QUARANTINE_S
    is_on_probation: bool = False
    duration_ratio: float = 1.0


class WorkerHealth:
    """Health of each worker, by the ends and durations of its runs."""

    __slots__ = ("_pool_duration_ratio", "_records_by_id")

    def __init__(self) -> None:
        self._records_by_id: dict[str, _Record] = {}
        self._pool_duration_ratio = 1.0

    def record_end(
        self, worker_id: str, end: RunEnd, is_first_failure: bool, now_s: float
    ) -> None:
        """Records an end that the worker or the task caused.

        Args:
            worker_id: Worker of the run.
            end: How the run ended.
            is_first_failure: Whether the task had not failed before on another
                worker.
            now_s: Monotonic time.
        """
        record = self._record(worker_id)
        if end is RunEnd.DONE:
            record.consecutive_failures = 0
            record.is_on_probation = False
            record.next_quarantine_s = _MIN_QUARANTINE_S
        elif end is RunEnd.FAILED and is_first_failure:
            record.consecutive_failures += 1
            if record.consecutive_failures >= _QUARANTINE_AFTER_FAILURES:
                self._quarantine(record, now_s)

    def record_refusal(self, worker_id: str, now_s: float) -> None:
        """Records that a worker refused an order as unhealthy."""
        self._quarantine(self._record(worker_id), now_s)

    def record_stall(self, worker_id: str, now_s: float) -> None:
        """Records that tasks on a worker stall or are very slow."""
        if not self.is_quarantined(worker_id, now_s):
            self._quarantine(self._record(worker_id), now_s)

    def record_duration(self, worker_id: str, duration_ratio: float) -> None:
        """Records the ratio of a run time to its estimate."""
        record = self._record(worker_id)
        record.duration_ratio += _SMOOTHING_WEIGHT * (
            duration_ratio - record.duration_ratio
        )
        self._pool_duration_ratio += (
            _SMOOTHING_WEIGHT / 4 * (duration_ratio - self._pool_duration_ratio)
        )

    def is_quarantined(self, worker_id: str, now_s: float) -> bool:
        """Returns whether a worker gets no new tasks for now."""
        record = self._records_by_id.get(worker_id)
        return record is not None and now_s < record.quarantined_until_s

    def probation_slots(self, worker_id: str) -> int | None:
        """Returns how many tasks a worker on probation may get, or ``None``."""
        record = self._records_by_id.get(worker_id)
        if record is None or not record.is_on_probation:
            return None
        return 1

    def slowness(self, worker_id: str) -> float:
        """Returns the ratio of a worker's run times to the pool's."""
        record = self._records_by_id.get(worker_id)
        if record is None:
            return 1.0
        duration_ratio = record.duration_ratio / max(
            0.1, self._pool_duration_ratio
        )
        return min(_MAX_SLOWNESS, duration_ratio)

    def estimate_ratio(self) -> float:
        """Returns the ratio of the pool's run times to their estimates."""
        return self._pool_duration_ratio

    def forget(self, worker_id: str) -> None:
        """Drops the record of a worker that is gone."""
        self._records_by_id.pop(worker_id, None)

    def _record(self, worker_id: str) -> _Record:
        return self._records_by_id.setdefault(worker_id, _Record())

    def _quarantine(self, record: _Record, now_s: float) -> None:
        record.quarantined_until_s = now_s + record.next_quarantine_s
        record.next_quarantine_s = min(
            _MAX_QUARANTINE_S, record.next_quarantine_s * 2
        )
        record.is_on_probation = True
