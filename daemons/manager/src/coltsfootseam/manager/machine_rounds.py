"""Rounds of the fleet's owner: waves of maintenance, then moves."""

import asyncio

from coltsfootseam.calls import VACATE, VacateReply, VacateRequest
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.duties import pool_duty
from coltsfootseam.manager.duty_progress import DutyProgress
from coltsfootseam.manager.fleet_view import FleetView
from coltsfootseam.manager.knowledge import Knowledge
from coltsfootseam.manager.lives import Lives
from coltsfootseam.manager.locator import Locator
from coltsfootseam.manager.machine_orders import MachineOrders
from coltsfootseam.manager.waves import Waves
from coltsfootseam.results import Refusal
from coltsfootseam.scheduling import (
    DemandHistory,
    IdleTimes,
    MachineSupply,
    Move,
    PoolDemand,
    plan_moves,
    spare_counts,
)
from coltsfootseam.store import Journal, NewestReader
from coltsfootseam.workers import MachineState

_ROUND_S = 0.4
_ASK_TIMEOUT_S = 0.5
_MOST_MOVES_AT_ONCE = 4
_MILLIS_PER_CORE = 1000


class MachineRounds:
    """Plans and orders, with what the pools' owners say of their work."""

    __slots__ = (
        "_context",
        "_history",
        "_idle_times",
        "_journal",
        "_knowledge",
        "_lives",
        "_locator",
        "_moving",
        "_orders",
        "_progress",
        "_rules",
        "_spare_by_pool",
        "_view",
        "_wanted_ids",
        "_waves",
    )

    def __init__(
        self,
        context: Context,
        knowledge: Knowledge,
        locator: Locator,
        journal: Journal,
        progress: DutyProgress,
    ) -> None:
        self._context = context
        self._knowledge = knowledge
        self._locator = locator
        self._journal = journal
        self._progress = progress
        self._orders = MachineOrders(context, journal)
        self._waves = Waves(context, knowledge, journal, self._orders)
        self._moving = asyncio.Semaphore(_MOST_MOVES_AT_ONCE)
        self._lives = Lives()
        self._history = DemandHistory()
        self._rules = context.policies.pools
        self._view = FleetView()
        self._wanted_ids: set[str] = set()
        self._spare_by_pool: dict[str, int] = {}
        self._idle_times = IdleTimes()

    async def run(self) -> None:
        """Plays rounds until the journal is lost."""
        reader = NewestReader(
            self._context.ports.store,
            self._journal.partition,
            self._progress.record_step,
        )
        while not await self._restore(reader):
            await self._context.timers.sleep(_ROUND_S)
        self._progress.is_active = True
        while not self._journal.lost:
            await self.play()
            await self._context.timers.sleep(_ROUND_S)

    async def _restore(self, reader: NewestReader) -> bool:
        newest = await reader.read()
        if isinstance(newest, Refusal):
            self._progress.record_failure()
            self._context.log.write(
                "fleet.load_failed",
                code=newest.code.name,
                why=newest.reason,
                pages=reader.pages,
            )
            return False
        self._waves.restore(newest)
        self._orders.restore(newest)
        return True

    async def play(self) -> None:
        """Plays one round."""
        asked_s = self._context.timers.now_s()
        entries = list(self._knowledge.workers_by_instance.values())
        self._lives.note(entries, asked_s)
        machines = await self._context.ports.machines.list_machines()
        if isinstance(machines, Refusal):
            self._context.log.write("machines.unlisted", why=machines.reason)
            return
        for life in self._lives.find_ended(machines, asked_s):
            self._orders.release(life)
        self._view = FleetView(
            machines_by_id={item.machine_id: item for item in machines},
            workers_by_instance=self._knowledge.workers_by_instance,
            standby_pool=self._standby_pool(),
        )
        self._orders.note_listed(self._view.machines_by_id)
        await self._ask_pools(set())
        self._note_idle()
        due = await self._waves.plan(self._view, self._free_ids())
        demands = self._demands()
        supplies = self._supplies(set(due))
        moves = plan_moves(
            demands,
            self._history,
            supplies,
            self._view.standby_pool,
            self._rules,
        )
        self._spare_by_pool = spare_counts(
            demands, self._history, supplies, self._rules
        )
        await self._carry_out(due, moves)

    async def _carry_out(self, due: list[str], moves: list[Move]) -> None:
        """Empties machines and orders those that are empty."""
        targets_by_id = {move.machine_id: move.pool for move in moves}
        # The owners close the machines to new work before they are taken.
        await self._ask_pools(set(due) | set(targets_by_id))
        empty_ids = self._free_ids()
        ordered_ids = (set(due) | set(targets_by_id)) & empty_ids
        if not await self._orders.note(ordered_ids):
            return
        # Work waits for the moves, so they don't wait for one another.
        await asyncio.gather(
            self._waves.maintain(self._view, due, empty_ids),
            *(
                self._move(machine_id, pool)
                for machine_id, pool in targets_by_id.items()
                if machine_id in empty_ids and machine_id not in due
            ),
        )

    async def _move(self, machine_id: str, pool: str) -> None:
        machine = self._view.machines_by_id[machine_id]
        worker_id = self._view.worker_of(machine_id)
        async with self._moving:
            await self._orders.move(machine, pool, worker_id)

    def _standby_pool(self) -> str:
        configuration = self._knowledge.configuration
        if configuration is None:
            return ""
        for pool in configuration.pools_by_name.values():
            if pool.is_standby:
                return pool.name
        return ""

    async def _ask_pools(self, wanted_ids: set[str]) -> None:
        configuration = self._knowledge.configuration
        if configuration is None:
            return
        self._wanted_ids |= wanted_ids
        if not wanted_ids:
            self._wanted_ids = self._waves.wanted_ids()
        pools = [
            pool.name
            for pool in configuration.pools_by_name.values()
            if not pool.is_standby
        ]
        replies = await asyncio.gather(
            *(self._ask_pool(pool) for pool in pools)
        )
        self._view.replies_by_pool = {
            pool: reply
            for pool, reply in zip(pools, replies, strict=True)
            if reply is not None
        }

    async def _ask_pool(self, pool: str) -> VacateReply | None:
        machines = self._view.machines_by_id
        worker_ids = [
            worker_id
            for machine_id in sorted(self._wanted_ids)
            if machine_id in machines
            and machines[machine_id].pool == pool
            and (worker_id := self._view.worker_of(machine_id)) is not None
        ]
        request = VacateRequest(
            pool,
            worker_ids,
            self._orders.released_ids(pool),
            self._spare_by_pool.get(pool, 0),
        )
        reply = await self._locator.call(
            pool_duty(pool),
            VACATE,
            request,
            _ASK_TIMEOUT_S,
            lambda answer: answer.is_owner,
        )
        return reply if isinstance(reply, VacateReply) else None

    def _free_ids(self) -> set[str]:
        """Returns machines that are off, or run nothing and are closed."""
        empty_workers = self._view.empty_workers()
        return {
            machine.machine_id
            for machine in self._view.machines_by_id.values()
            if machine.state is MachineState.UP
            and (
                machine.pool == self._view.standby_pool
                or self._view.worker_of(machine.machine_id) in empty_workers
            )
        }

    def _note_idle(self) -> None:
        idle_workers = self._view.idle_workers()
        idle_ids = {
            machine_id
            for machine_id in self._view.machines_by_id
            if self._view.worker_of(machine_id) in idle_workers
        }
        self._idle_times.note(idle_ids, self._context.timers.now_s())

    def _demands(self) -> list[PoolDemand]:
        now_s = self._context.timers.now_s()
        demands = self._view.demands()
        for demand in demands:
            self._history.add(demand, now_s)
            self._context.log.write(
                "pool.sized",
                pool=demand.pool,
                used_cores=round(demand.used_cores, 1),
                waiting_cores=round(demand.waiting_cores, 1),
                growth_cores=round(self._history.growth_cores(demand.pool), 1),
                apart=demand.worker_limit,
                machines=sum(
                    1
                    for machine in self._view.machines_by_id.values()
                    if machine.pool == demand.pool
                ),
            )
        return demands

    def _supplies(self, due: set[str]) -> list[MachineSupply]:
        now_s = self._context.timers.now_s()
        supplies = []
        for machine in self._view.machines_by_id.values():
            pool = self._orders.pool_of(machine)
            if pool is None:
                continue
            is_off = machine.pool == self._view.standby_pool
            is_here = machine.state is MachineState.UP and pool == machine.pool
            is_idle = is_off or self._idle_times.is_idle(machine.machine_id)
            supplies.append(
                MachineSupply(
                    machine_id=machine.machine_id,
                    pool=pool,
                    cores=machine.cpu_millis / _MILLIS_PER_CORE,
                    is_free=is_here
                    and is_idle
                    and not self._orders.is_reserved(machine.machine_id)
                    and machine.machine_id not in due,
                    idle_s=self._idle_times.idle_s(machine.machine_id, now_s),
                    labels=frozenset(machine.labels),
                    is_due=self._waves.is_due(machine.machine_id),
                    is_leaving=machine.machine_id in due,
                )
            )
        return supplies
