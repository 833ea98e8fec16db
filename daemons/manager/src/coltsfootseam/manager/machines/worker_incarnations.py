"""Which incarnation of a worker runs on which machine, and which have ended.

The platform lists a machine as down when its worker has crashed, long before
the worker's lease can have expired. An incarnation that was known well before
the list was requested has ended if its machine is listed as down.

The entry of a worker that crashed disappears after a while, and the list no
longer names its worker. So the incarnations are stored in the journal of the
fleet's owner, for the next owner.
"""

import msgspec

from coltsfootseam.store import KeyedRecord, LatestRecords
from coltsfootseam.workers import Machine, MachineState, WorkerEntry

_MIN_INCARNATION_AGE_S = 2.0
_KEY_PREFIX = "worker/"


class _Incarnation(msgspec.Struct, frozen=True):
    worker_id: str
    pool: str
    first_seen_s: float


class _StoredIncarnation(msgspec.Struct, frozen=True, array_like=True):
    worker_id: str
    pool: str


class EndedIncarnation(msgspec.Struct, frozen=True):
    """An incarnation that has ended, with its pool and machine."""

    worker_id: str
    pool: str
    machine_id: str


class WorkerIncarnations:
    """Latest incarnation of the worker on each machine."""

    __slots__ = ("_incarnations_by_machine", "_unstored_machine_ids")

    def __init__(self) -> None:
        self._incarnations_by_machine: dict[str, _Incarnation] = {}
        self._unstored_machine_ids: set[str] = set()

    def restore(self, latest: LatestRecords, now_s: float) -> None:
        """Restores the incarnations that earlier owners of the fleet knew."""
        for record in latest.records:
            if not record.key.startswith(_KEY_PREFIX) or not record.value:
                continue
            stored = msgspec.msgpack.decode(
                record.value, type=_StoredIncarnation
            )
            machine_id = record.key.removeprefix(_KEY_PREFIX)
            self._incarnations_by_machine[machine_id] = _Incarnation(
                stored.worker_id, stored.pool, now_s
            )

    def record_entries(self, entries: list[WorkerEntry], now_s: float) -> None:
        """Records the workers' entries; call it before listing machines."""
        for entry in entries:
            if not entry.machine_id:
                continue
            known = self._incarnations_by_machine.get(entry.machine_id)
            if known is None or known.worker_id != entry.worker_id:
                self._incarnations_by_machine[entry.machine_id] = _Incarnation(
                    entry.worker_id, entry.pool, now_s
                )
                self._unstored_machine_ids.add(entry.machine_id)

    def take_changes(self) -> list[KeyedRecord]:
        """Returns the records of new incarnations, which the caller stores."""
        records = [
            self._record_of(machine_id)
            for machine_id in sorted(self._unstored_machine_ids)
        ]
        self._unstored_machine_ids.clear()
        return records

    def _record_of(self, machine_id: str) -> KeyedRecord:
        incarnation = self._incarnations_by_machine[machine_id]
        stored = _StoredIncarnation(incarnation.worker_id, incarnation.pool)
        return KeyedRecord(
            _KEY_PREFIX + machine_id, msgspec.msgpack.encode(stored)
        )

    def find_ended(
        self, machines: list[Machine], requested_s: float
    ) -> list[EndedIncarnation]:
        """Returns the incarnations that have ended, according to the list.

        Args:
            machines: The list of machines.
            requested_s: When the list was requested, in monotonic seconds. The
                list may lag behind, so younger incarnations are left out.
        """
        ended = []
        for machine in machines:
            incarnation = self._incarnations_by_machine.get(machine.machine_id)
            if machine.state is not MachineState.DOWN or incarnation is None:
                continue
            if requested_s - incarnation.first_seen_s >= _MIN_INCARNATION_AGE_S:
                ended.append(
                    EndedIncarnation(
                        incarnation.worker_id,
                        incarnation.pool,
                        machine.machine_id,
                    )
                )
        return ended
