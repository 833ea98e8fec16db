"""For how long this host has known the incarnations of workers, and where.

The host counts from when it first read an incarnation's entry, on its own
monotonic clock. So an incarnation is at least that old, whatever the times of
day of the worker and of this host are.
"""

import msgspec

from coltsfootseam.timers import TimerService
from coltsfootseam.workers import WorkerEntry, instance_of

_KEPT_UNREAD_S = 60.0
"""How long an incarnation is remembered after its entry was last read."""


class _Sighting(msgspec.Struct):
    worker_id: str
    machine_id: str
    first_s: float
    last_s: float


class WorkerSightings:
    """When this host first read an entry of the latest incarnations."""

    __slots__ = ("_sightings_by_instance", "_started_s", "_timers")

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self._started_s = timers.now_s()
        self._sightings_by_instance: dict[str, _Sighting] = {}

    def record(self, entry: WorkerEntry) -> None:
        """Records that an entry was read."""
        now_s = self._timers.now_s()
        known = self._sightings_by_instance.get(entry.instance_id)
        if known is not None and known.worker_id == entry.worker_id:
            known.last_s = now_s
            return
        self._drop_unread(now_s)
        self._sightings_by_instance[entry.instance_id] = _Sighting(
            entry.worker_id, entry.machine_id, now_s, now_s
        )

    def followed_s(self) -> float:
        """Returns for how long this host has followed the entries."""
        return self._timers.now_s() - self._started_s

    def known_s(self, worker_id: str) -> float:
        """Returns for how long this host has known an incarnation.

        An incarnation that it never read of, or read of too long ago, counts as
        unknown.
        """
        known = self._sightings_by_instance.get(instance_of(worker_id))
        if known is None or known.worker_id != worker_id:
            return 0.0
        return self._timers.now_s() - known.first_s

    def machine_of(self, worker_id: str) -> str:
        """Returns the machine of an incarnation, empty if it isn't known."""
        known = self._sightings_by_instance.get(instance_of(worker_id))
        if known is None or known.worker_id != worker_id:
            return ""
        return known.machine_id

    def _drop_unread(self, now_s: float) -> None:
        """Forgets incarnations whose entries have been gone for long."""
        oldest_s = now_s - _KEPT_UNREAD_S
        self._sightings_by_instance = {
            instance_id: known
            for instance_id, known in self._sightings_by_instance.items()
            if known.last_s > oldest_s
        }
