"""Orders machines, and tracks moves until the platform lists them.

Two owners must not order the same machine within one machine lease. An owner
records in the journal that it is about to order a machine, and deletes the
record when the lease has expired. A new owner doesn't order machines that still
have a record until the lease has expired, counted from its claim.
"""

import msgspec

from coltsfootseam.manager.context import Context
from coltsfootseam.manager.machines.worker_incarnations import EndedIncarnation
from coltsfootseam.store import Journal, KeyedRecord, LatestRecords
from coltsfootseam.workers import (
    Holder,
    Machine,
    MachineOutcome,
    MachineState,
)

_LISTING_DELAY_S = 1.5
"""How long the list of machines may lag behind a completed move."""

_ORDER_KEY_PREFIX = "order/"
_ORDER_RECORD_MARGIN_S = 0.5
"""How long the record of an order is kept after the machine lease."""


class _PendingMove(msgspec.Struct, frozen=True):
    pool: str
    until_s: float


class MachineOrders:
    """Orders machines under one claim of the journal and tracks the effects."""

    __slots__ = (
        "_context",
        "_holder",
        "_journal",
        "_pending_moves_by_id",
        "_recorded_until_s_by_id",
        "_released_until_s_by_pool",
        "_reserved_until_s_by_id",
    )

    def __init__(self, context: Context, journal: Journal) -> None:
        self._context = context
        self._journal = journal
        self._holder = Holder(context.incarnation, journal.epoch)
        self._pending_moves_by_id: dict[str, _PendingMove] = {}
        self._recorded_until_s_by_id: dict[str, float] = {}
        self._reserved_until_s_by_id: dict[str, float] = {}
        self._released_until_s_by_pool: dict[str, dict[str, float]] = {}

    def restore(self, latest: LatestRecords) -> None:
        """Restores which machines an earlier owner may have ordered."""
        times = self._context.times
        until_s = self._journal.claimed_s + times.machine_lease_s
        for record in latest.records:
            if record.key.startswith(_ORDER_KEY_PREFIX) and record.value:
                machine_id = record.key.removeprefix(_ORDER_KEY_PREFIX)
                self._reserved_until_s_by_id[machine_id] = until_s
                self._recorded_until_s_by_id[machine_id] = (
                    until_s + _ORDER_RECORD_MARGIN_S
                )

    def is_reserved(self, machine_id: str) -> bool:
        """Returns whether an earlier owner's order may still be in effect."""
        until_s = self._reserved_until_s_by_id.get(machine_id)
        return until_s is not None and self._context.timers.now_s() < until_s

    async def record_orders(
        self, machine_ids: set[str], details: list[KeyedRecord]
    ) -> bool:
        """Records that machines are about to be ordered.

        Args:
            machine_ids: The machines.
            details: Further records on the orders, stored before them.

        Returns:
            Whether the record is stored; nothing may be ordered without it.
        """
        now_s = self._context.timers.now_s()
        expired_ids = {
            machine_id
            for machine_id, until_s in self._recorded_until_s_by_id.items()
            if until_s < now_s and machine_id not in machine_ids
        }
        records = details + [
            KeyedRecord(_ORDER_KEY_PREFIX + machine_id, b"1")
            for machine_id in sorted(machine_ids)
        ]
        records += [
            KeyedRecord(_ORDER_KEY_PREFIX + machine_id)
            for machine_id in sorted(expired_ids)
        ]
        if not records:
            return True
        if await self._journal.commit(records) is not None:
            return False
        lease_s = self._context.times.machine_lease_s + _ORDER_RECORD_MARGIN_S
        until_s = self._context.timers.now_s() + lease_s
        for machine_id in expired_ids:
            del self._recorded_until_s_by_id[machine_id]
        for machine_id in machine_ids:
            self._recorded_until_s_by_id[machine_id] = until_s
        return True

    def apply_listing(self, machines_by_id: dict[str, Machine]) -> None:
        """Removes pending moves that are completed or overdue."""
        now_s = self._context.timers.now_s()
        for machine_id, move in list(self._pending_moves_by_id.items()):
            machine = machines_by_id.get(machine_id)
            is_completed = (
                machine is not None
                and machine.pool == move.pool
                and machine.state is MachineState.UP
            )
            if is_completed or now_s > move.until_s:
                del self._pending_moves_by_id[machine_id]

    def pool_of(self, machine: Machine) -> str | None:
        """Returns the pool a machine is in or moves to, ``None`` if down."""
        move = self._pending_moves_by_id.get(machine.machine_id)
        if move is not None:
            return move.pool
        if machine.state is MachineState.DOWN:
            return None
        return machine.pool

    def released_ids(self, pool: str) -> list[str]:
        """Returns ids of a pool's workers that recently lost their machines."""
        now_s = self._context.timers.now_s()
        released = self._released_until_s_by_pool.get(pool, {})
        for worker_id, until_s in list(released.items()):
            if until_s < now_s:
                del released[worker_id]
        return sorted(released)

    def record_ended(self, incarnation: EndedIncarnation) -> None:
        """Records, for its pool, that an incarnation of a worker has ended."""
        released = self._released_until_s_by_pool.setdefault(
            incarnation.pool, {}
        )
        if incarnation.worker_id not in released:
            self._context.log.write(
                "machine.released",
                machine=incarnation.machine_id,
                worker=incarnation.worker_id,
            )
        keep_s = self._context.times.longest_lease_s
        released[incarnation.worker_id] = self._context.timers.now_s() + keep_s

    async def move(
        self,
        machine: Machine,
        pool: str,
        worker_id: str | None,
        valid_until_s: float,
    ) -> None:
        """Orders the move of a machine to a pool.

        Args:
            machine: The machine, in another pool.
            pool: The pool.
            worker_id: The worker on it in the pool that it leaves, which has
                ended once the machine is in the other pool, whenever the move
                was carried out. ``None`` if there is none.
            valid_until_s: Until when the pool that it leaves allows the order.
        """
        times = self._context.times
        started_s = self._context.timers.now_s()
        valid_s = self._remaining_s(valid_until_s)
        outcome = MachineOutcome.NOT_SENT
        if valid_s > 0:
            outcome = await self._context.ports.machines.move(
                self._holder, machine.machine_id, pool, valid_s
            )
        self._record_outcome(
            machine, outcome, worker_id, "machine.moved", pool=pool
        )
        if outcome is MachineOutcome.DONE:
            until_s = started_s + times.move_s + _LISTING_DELAY_S
            self._pending_moves_by_id[machine.machine_id] = _PendingMove(
                pool, until_s
            )

    async def maintain(
        self,
        machine: Machine,
        wave: int,
        worker_id: str,
        valid_until_s: float,
    ) -> MachineOutcome:
        """Orders a machine's maintenance, and returns the outcome.

        Args:
            machine: The machine.
            wave: The wave. The platform also reports an order as done if the
                machine has had its maintenance of this wave before.
            worker_id: The worker that ran on the machine before the first such
                order, empty if there was none.
            valid_until_s: Until when its pool allows the order.
        """
        valid_s = self._remaining_s(valid_until_s)
        outcome = MachineOutcome.NOT_SENT
        if valid_s > 0:
            outcome = await self._context.ports.machines.maintain(
                self._holder, machine.machine_id, wave, valid_s
            )
        self._record_outcome(
            machine, outcome, worker_id, "machine.maintained", wave=wave
        )
        return outcome

    def _remaining_s(self, valid_until_s: float) -> float:
        """Returns for how long an order may still be sent, 0 if not at all.

        The pools may use the machines again afterwards: this process may have
        been frozen since they answered, or earlier orders were slow.
        """
        if self._journal.is_lost:
            return 0.0
        return max(0.0, valid_until_s - self._context.timers.now_s())

    def _record_outcome(
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
            worker_before=worker_id,
            token=self._holder.token,
            outcome=outcome.name,
            **fields,
        )
        self._context.counters.increment(f"{event}.{outcome.name.lower()}")
        if outcome is MachineOutcome.FENCED:
            self._journal.is_lost = True
        if outcome is MachineOutcome.DONE and worker_id:
            self.record_ended(
                EndedIncarnation(worker_id, machine.pool, machine.machine_id)
            )
