"""Planning rounds of the fleet's owner: maintenance waves, then moves."""

import asyncio

from coltsfootseam.calls import EVACUATE, EvacuationReply, EvacuationRequest
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.machines.fleet_view import FleetView
from coltsfootseam.manager.machines.machine_orders import MachineOrders
from coltsfootseam.manager.machines.waves import Waves
from coltsfootseam.manager.machines.worker_incarnations import (
    EndedIncarnation,
    WorkerIncarnations,
)
from coltsfootseam.manager.membership.duties import pool_duty
from coltsfootseam.manager.membership.duty_progress import DutyProgress
from coltsfootseam.manager.membership.locator import Locator
from coltsfootseam.results import Refusal
from coltsfootseam.scheduling import (
    DemandHistory,
    IdleTimes,
    MachineSupply,
    Move,
    PoolDemand,
    plan_moves,
    surplus_counts,
)
from coltsfootseam.store import Journal, LatestRecordsReader
from coltsfootseam.workers import MachineState

_ROUND_PERIOD_S = 0.4
_POOL_CALL_TIMEOUT_S = 0.5
_MAX_CONCURRENT_MOVES = 4
_MAX_STORE_SILENCE_S = 1.0
"""Time without an answer after which nothing is stored that can wait."""


class MachineRounds:
    """Plans and orders machines from the demand that pool owners report."""

    __slots__ = (
        "_cluster",
        "_context",
        "_ended",
        "_history",
        "_idle_times",
        "_incarnations",
        "_journal",
        "_listed_s",
        "_locator",
        "_move_limit",
        "_orders",
        "_progress",
        "_requested_ids",
        "_rules",
        "_spare_by_pool",
        "_view",
        "_waves",
    )

    def __init__(
        self,
        context: Context,
        cluster: ClusterState,
        locator: Locator,
        journal: Journal,
        progress: DutyProgress,
    ) -> None:
        self._context = context
        self._cluster = cluster
        self._locator = locator
        self._journal = journal
        self._progress = progress
        self._orders = MachineOrders(context, journal)
        self._waves = Waves(context, cluster, journal, self._orders)
        self._move_limit = asyncio.Semaphore(_MAX_CONCURRENT_MOVES)
        self._incarnations = WorkerIncarnations()
        self._ended: list[EndedIncarnation] = []
        self._listed_s = context.timers.now_s()
        self._history = DemandHistory()
        self._rules = context.policies.pools
        self._view = FleetView()
        self._requested_ids: set[str] = set()
        self._spare_by_pool: dict[str, int] = {}
        self._idle_times = IdleTimes()

    async def run(self) -> None:
        """Runs planning rounds until the journal is lost."""
        reader = LatestRecordsReader(
            self._context.ports.store,
            self._journal.partition,
            self._progress.record_progress,
        )
        while not await self._restore(reader):
            await self._context.timers.sleep(_ROUND_PERIOD_S)
        self._progress.is_active = True
        while not self._journal.is_lost:
            await self.run_round()
            await self._context.timers.sleep(_ROUND_PERIOD_S)

    async def _restore(self, reader: LatestRecordsReader) -> bool:
        latest = await reader.read()
        if isinstance(latest, Refusal):
            self._progress.record_failure()
            self._context.log.write(
                "fleet.load_failed",
                code=latest.code.name,
                why=latest.reason,
                pages=reader.pages,
            )
            return False
        self._waves.restore(latest)
        self._orders.restore(latest)
        self._incarnations.restore(latest, self._context.timers.now_s())
        return True

    async def run_round(self) -> None:
        """Runs one planning round."""
        requested_s = self._context.timers.now_s()
        entries = self._cluster.usable_workers()
        self._incarnations.record_entries(entries, requested_s)
        machines = await self._context.ports.machines.list_machines()
        if isinstance(machines, Refusal):
            self._context.log.write("machines.unlisted", why=machines.reason)
            return
        self._ended = self._incarnations.find_ended(machines, requested_s)
        self._listed_s = requested_s
        for ended in self._ended:
            self._orders.record_ended(ended)
        self._view = FleetView(
            machines_by_id={item.machine_id: item for item in machines},
            workers_by_instance=self._cluster.workers_by_instance,
            standby_pool=self._standby_pool(),
        )
        self._orders.apply_listing(self._view.machines_by_id)
        await self._call_pools(set())
        self._record_idle()
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
        self._spare_by_pool = surplus_counts(
            demands, self._history, supplies, self._rules
        )
        await self._execute(due, moves)
        await self._store_incarnations()

    async def _store_incarnations(self) -> None:
        """Stores which workers run on which machines.

        While the store is away, rounds must go on without that.
        """
        if self._context.ports.store.unanswered_s() < _MAX_STORE_SILENCE_S:
            changes = self._incarnations.take_changes()
            if changes:
                await self._journal.commit(changes)

    async def _execute(self, due: list[str], moves: list[Move]) -> None:
        """Has machines evacuated, and orders those that are empty."""
        targets_by_id = {move.machine_id: move.pool for move in moves}
        requested_s = self._context.timers.now_s()
        valid_until_s = requested_s + self._context.times.order_validity_s
        # The pools' owners must stop placing tasks on the machines first.
        await self._call_pools(set(due) | set(targets_by_id))
        empty_ids = self._free_ids()
        ordered_ids = (set(due) | set(targets_by_id)) & empty_ids
        details = self._waves.record_orders(self._view, ordered_ids)
        if not await self._orders.record_orders(ordered_ids, details):
            return
        # Concurrently, as tasks are waiting for the machines that move.
        await asyncio.gather(
            self._waves.maintain(self._view, due, empty_ids, valid_until_s),
            *(
                self._move(machine_id, pool, valid_until_s)
                for machine_id, pool in targets_by_id.items()
                if machine_id in empty_ids and machine_id not in due
            ),
        )

    async def _move(
        self, machine_id: str, pool: str, valid_until_s: float
    ) -> None:
        machine = self._view.machines_by_id[machine_id]
        worker_id = self._view.worker_of(machine_id)
        async with self._move_limit:
            await self._orders.move(machine, pool, worker_id, valid_until_s)

    def _standby_pool(self) -> str:
        configuration = self._cluster.configuration
        if configuration is None:
            return ""
        for pool in configuration.pools_by_name.values():
            if pool.is_standby:
                return pool.name
        return ""

    async def _call_pools(self, requested_ids: set[str]) -> None:
        configuration = self._cluster.configuration
        if configuration is None:
            return
        self._requested_ids |= requested_ids
        if not requested_ids:
            self._requested_ids = self._waves.chosen_ids()
        pools = [
            pool.name
            for pool in configuration.pools_by_name.values()
            if not pool.is_standby
        ]
        replies = await asyncio.gather(
            *(self._call_pool(pool) for pool in pools)
        )
        self._view.replies_by_pool = {
            pool: reply
            for pool, reply in zip(pools, replies, strict=True)
            if reply is not None
        }

    async def _call_pool(self, pool: str) -> EvacuationReply | None:
        machines = self._view.machines_by_id
        machine_ids = [
            machine_id
            for machine_id in sorted(self._requested_ids)
            if machine_id in machines and machines[machine_id].pool == pool
        ]
        request = EvacuationRequest(
            pool,
            [
                worker_id
                for machine_id in machine_ids
                if (worker_id := self._view.worker_of(machine_id)) is not None
            ],
            self._orders.released_ids(pool),
            self._spare_by_pool.get(pool, 0),
            token=self._journal.epoch,
            held_s=self._context.timers.now_s() - self._journal.claimed_s,
            machine_ids=machine_ids,
            down_ids=[
                ended.worker_id for ended in self._ended if ended.pool == pool
            ],
            listed_age_s=self._context.timers.now_s() - self._listed_s,
        )
        reply = await self._locator.call(
            pool_duty(pool),
            EVACUATE,
            request,
            _POOL_CALL_TIMEOUT_S,
            lambda reply: reply.is_owner,
        )
        if not isinstance(reply, EvacuationReply):
            return None
        if reply.token > self._journal.epoch:
            self._context.log.write(
                "fleet.superseded",
                pool=pool,
                token=self._journal.epoch,
                latest_token=reply.token,
            )
            self._journal.is_lost = True
            return None
        return reply

    def _free_ids(self) -> set[str]:
        """Returns machines that are off, or run nothing and get no tasks."""
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

    def _record_idle(self) -> None:
        idle_workers = self._view.idle_workers()
        idle_ids = {
            machine_id
            for machine_id in self._view.machines_by_id
            if self._view.worker_of(machine_id) in idle_workers
        }
        self._idle_times.record_idle(idle_ids, self._context.timers.now_s())

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
                apart=demand.min_workers,
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
            is_on_standby = machine.pool == self._view.standby_pool
            is_in_pool = (
                machine.state is MachineState.UP and pool == machine.pool
            )
            is_idle = is_on_standby or self._idle_times.is_idle(
                machine.machine_id
            )
            supplies.append(
                MachineSupply(
                    machine_id=machine.machine_id,
                    pool=pool,
                    cores=self._view.cores_of(machine),
                    is_free=is_in_pool
                    and is_idle
                    and not self._orders.is_reserved(machine.machine_id)
                    and machine.machine_id not in due,
                    idle_s=self._idle_times.idle_s(machine.machine_id, now_s),
                    labels=frozenset(machine.labels),
                    is_due=self._waves.is_due(machine.machine_id),
                    is_evacuating=machine.machine_id in due,
                )
            )
        return supplies
