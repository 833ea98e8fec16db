"""Which life of a worker ran on which machine, and when it was over.

The platform lists a machine as down when its worker has crashed, long before
the worker's lease can have ended. A life that was known well before the list
was asked for is over if its machine is listed as down.
"""

import msgspec

from coltsfootseam.workers import Machine, MachineState, WorkerEntry

_MIN_INCARNATION_AGE_S = 2.0


class _Incarnation(msgspec.Struct, frozen=True):
    worker_id: str
    pool: str
    first_seen_s: float


class EndedIncarnation(msgspec.Struct, frozen=True):
    """A life that is over, and the pool that it worked for."""

    worker_id: str
    pool: str
    machine_id: str


class WorkerIncarnations:
    """Newest life of the worker on each machine."""

    __slots__ = ("_incarnations_by_machine",)

    def __init__(self) -> None:
        self._incarnations_by_machine: dict[str, _Incarnation] = {}

    def record_entries(self, entries: list[WorkerEntry], now_s: float) -> None:
        """Takes note of the workers' entries, before machines are listed."""
        for entry in entries:
            if not entry.machine_id:
                continue
            known = self._incarnations_by_machine.get(entry.machine_id)
            if known is None or known.worker_id != entry.worker_id:
                self._incarnations_by_machine[entry.machine_id] = _Incarnation(
                    entry.worker_id, entry.pool, now_s
                )

    def find_ended(
        self, machines: list[Machine], requested_s: float
    ) -> list[EndedIncarnation]:
        """Returns lives that are over by the list of machines.

        Args:
            machines: The list.
            requested_s: When it was asked for, monotonic seconds. A list may lag
                a little behind, so younger lives are left alone.
        """
        ended = []
        for machine in machines:
            life = self._incarnations_by_machine.get(machine.machine_id)
            if machine.state is not MachineState.DOWN or life is None:
                continue
            if requested_s - life.first_seen_s >= _MIN_INCARNATION_AGE_S:
                ended.append(
                    EndedIncarnation(
                        life.worker_id, life.pool, machine.machine_id
                    )
                )
        return ended
