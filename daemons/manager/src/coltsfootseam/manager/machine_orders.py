"""Orders for machines, and what they mean until the list shows it.

Two owners must not order the same machine within the machine's lease. Before
an owner orders a machine it notes that in the journal, and takes the note back
once the lease is over. A new owner leaves the machines alone that are still
noted, until the lease has passed from its claim on.
"""

import msgspec

from coltsfootseam.manager.context import Context
from coltsfootseam.manager.lives import EndedLife
from coltsfootseam.store import Journal, KeyedRecord, LatestRecords
from coltsfootseam.workers import (
    Holder,
    Machine,
    MachineOutcome,
    MachineState,
)

_LISTED_MARGIN_S = 1.5
_NOTE_KEY = "order/"
_NOTE_MARGIN_S = 0.5


class _UnderWay(msgspec.Struct, frozen=True):
    pool: str
    until_s: float


class MachineOrders:
    """Gives orders under one ownership and follows the machines."""

    __slots__ = (
        "_context",
        "_holder",
        "_journal",
        "_moves_by_id",
        "_noted_until_s_by_id",
        "_released_by_pool",
        "_reserved_until_s_by_id",
    )

    def __init__(self, context: Context, journal: Journal) -> None:
        self._context = context
        self._journal = journal
        self._holder = Holder(context.incarnation, journal.epoch)
        self._moves_by_id: dict[str, _UnderWay] = {}
        self._noted_until_s_by_id: dict[str, float] = {}
        self._reserved_until_s_by_id: dict[str, float] = {}
        self._released_by_pool: dict[str, dict[str, float]] = {}

    def restore(self, newest: LatestRecords) -> None:
        """Reads which machines an earlier owner may just have ordered."""
        times = self._context.times
        until_s = self._journal.claimed_s + times.machine_lease_s
        now_s = self._context.timers.now_s()
        for record in newest.records:
            if record.key.startswith(_NOTE_KEY) and record.value:
                machine_id = record.key.removeprefix(_NOTE_KEY)
                self._reserved_until_s_by_id[machine_id] = until_s
                self._noted_until_s_by_id[machine_id] = now_s

    def is_reserved(self, machine_id: str) -> bool:
        """Tells whether an earlier owner may just have ordered a machine."""
        until_s = self._reserved_until_s_by_id.get(machine_id)
        return until_s is not None and self._context.timers.now_s() < until_s

    async def note(self, machine_ids: set[str]) -> bool:
        """Notes that machines are going to be ordered.

        Returns:
            Whether the note is stored; without it nothing may be ordered.
        """
        now_s = self._context.timers.now_s()
        over_ids = {
            machine_id
            for machine_id, until_s in self._noted_until_s_by_id.items()
            if until_s < now_s and machine_id not in machine_ids
        }
        records = [
            KeyedRecord(_NOTE_KEY + machine_id, b"1")
            for machine_id in sorted(machine_ids)
        ]
        records += [
            KeyedRecord(_NOTE_KEY + machine_id)
            for machine_id in sorted(over_ids)
        ]
        if not records:
            return True
        if await self._journal.commit(records) is not None:
            return False
        lease_s = self._context.times.machine_lease_s + _NOTE_MARGIN_S
        until_s = self._context.timers.now_s() + lease_s
        for machine_id in over_ids:
            del self._noted_until_s_by_id[machine_id]
        for machine_id in machine_ids:
            self._noted_until_s_by_id[machine_id] = until_s
        return True

    def note_listed(self, machines_by_id: dict[str, Machine]) -> None:
        """Forgets moves that the list shows as over."""
        now_s = self._context.timers.now_s()
        for machine_id, move in list(self._moves_by_id.items()):
            machine = machines_by_id.get(machine_id)
            is_there = (
                machine is not None
                and machine.pool == move.pool
                and machine.state is MachineState.UP
            )
            if is_there or now_s > move.until_s:
                del self._moves_by_id[machine_id]

    def pool_of(self, machine: Machine) -> str | None:
        """Returns where a machine is or will be; ``None`` if it is down."""
        move = self._moves_by_id.get(machine.machine_id)
        if move is not None:
            return move.pool
        if machine.state is MachineState.DOWN:
            return None
        return machine.pool

    def released_ids(self, pool: str) -> list[str]:
        """Returns workers whose machines were taken from a pool lately."""
        now_s = self._context.timers.now_s()
        released = self._released_by_pool.get(pool, {})
        for worker_id, until_s in list(released.items()):
            if until_s < now_s:
                del released[worker_id]
        return sorted(released)

    def release(self, life: EndedLife) -> None:
        """Takes note that the life of a worker is over, for its pool."""
        released = self._released_by_pool.setdefault(life.pool, {})
        if life.worker_id not in released:
            self._context.log.write(
                "machine.released",
                machine=life.machine_id,
                worker=life.worker_id,
            )
        keep_s = self._context.times.longest_lease_s
        released[life.worker_id] = self._context.timers.now_s() + keep_s

    async def move(
        self, machine: Machine, pool: str, worker_id: str | None
    ) -> None:
        """Orders a machine, and the worker on it, to a pool."""
        times = self._context.times
        began_s = self._context.timers.now_s()
        outcome = await self._context.ports.machines.move(
            self._holder, machine.machine_id, pool
        )
        self._note(machine, outcome, worker_id, "machine.moved", pool=pool)
        if outcome is MachineOutcome.DONE:
            until_s = began_s + times.move_s + _LISTED_MARGIN_S
            self._moves_by_id[machine.machine_id] = _UnderWay(pool, until_s)

    async def maintain(
        self, machine: Machine, wave: int, worker_id: str | None
    ) -> MachineOutcome:
        """Begins a machine's maintenance."""
        outcome = await self._context.ports.machines.maintain(
            self._holder, machine.machine_id, wave
        )
        self._note(machine, outcome, worker_id, "machine.maintained", wave=wave)
        return outcome

    def _note(
        self,
        machine: Machine,
        outcome: MachineOutcome,
        worker_id: str | None,
        event: str,
        **fields: object,
    ) -> None:
        self._context.log.write(
            event,
            machine=machine.machine_id,
            pool_before=machine.pool,
            token=self._holder.token,
            outcome=outcome.name,
            **fields,
        )
        self._context.counters.increment(f"{event}.{outcome.name.lower()}")
        if outcome is MachineOutcome.FENCED:
            self._journal.lost = True
        if outcome is MachineOutcome.DONE and worker_id is not None:
            self.release(EndedLife(worker_id, machine.pool, machine.machine_id))
