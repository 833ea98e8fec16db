"""The fleet as its owner sees it in one planning round."""

import msgspec

from coltsfootseam.calls import EvacuationReply
from coltsfootseam.scheduling import PoolDemand
from coltsfootseam.workers import Machine, WorkerEntry

_MILLIS_PER_CORE = 1000


class FleetView(msgspec.Struct):
    """The fleet as its owner sees it in one planning round.

    Attributes:
        machines_by_id: All machines, as the platform lists them.
        replies_by_pool: The pool owners' replies in this round.
        workers_by_instance: Latest entry of each worker.
        standby_pool: Pool whose machines are off; empty if there is none.
    """

    machines_by_id: dict[str, Machine] = {}
    replies_by_pool: dict[str, EvacuationReply] = {}
    workers_by_instance: dict[str, WorkerEntry] = {}
    standby_pool: str = ""

    def empty_workers(self) -> set[str]:
        """Returns the requested workers that run nothing and get no tasks."""
        return {
            worker_id
            for reply in self.replies_by_pool.values()
            for worker_id in reply.empty_ids
        }

    def idle_workers(self) -> set[str]:
        """Returns all workers that run nothing."""
        return {
            worker_id
            for reply in self.replies_by_pool.values()
            for worker_id in reply.idle_ids
        }

    def demands(self) -> list[PoolDemand]:
        """Returns the demand of each pool whose owner replied."""
        return [
            PoolDemand(
                pool,
                reply.waiting_cores,
                reply.used_cores,
                reply.worker_limit,
                frozenset(reply.waiting_labels),
            )
            for pool, reply in self.replies_by_pool.items()
        ]

    def worker_of(self, machine_id: str) -> str | None:
        """Returns the incarnation of the worker on a machine, if any."""
        machine = self.machines_by_id.get(machine_id)
        entry = None if machine is None else self._entry_on(machine)
        return None if entry is None else entry.worker_id

    def cores_of(self, machine: Machine) -> float:
        """Returns the processor that a machine offers now, in cores.

        Its worker reports a capacity that shrinks or grows while it runs.
        """
        entry = self._entry_on(machine)
        cpu_millis = machine.cpu_millis if entry is None else entry.cpu_millis
        return cpu_millis / _MILLIS_PER_CORE

    def _entry_on(self, machine: Machine) -> WorkerEntry | None:
        """Returns the entry of the worker on a machine.

        A worker may keep its id when its machine changes its pool. While the
        list of machines and the entries name different pools, one of them is
        outdated, and no worker is known to run on the machine as it is listed.
        """
        if not machine.instance_id:
            return None
        entry = self.workers_by_instance.get(machine.instance_id)
        if entry is None or entry.pool != machine.pool:
            return None
        return entry
