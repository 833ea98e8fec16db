"""The modelled fleet: pools, machines and the fleet owner's rounds."""

import msgspec

from coltsfootseam.calls import EvacuationRequest
from coltsfootseam.jobs import Configuration, Pool, Queue, Step, Team
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.machines.fleet_view import FleetView
from coltsfootseam.scheduling import (
    DemandHistory,
    IdleTimes,
    MachineSupply,
    Policies,
    PoolDemand,
    plan_moves,
    surplus_counts,
)
from coltsfootseam.testbed.model.context import ModelTimers, make_context
from coltsfootseam.testbed.model.load import (
    Arrival,
    JobKind,
    long_running_arrival,
)
from coltsfootseam.testbed.model.machines import (
    STANDBY,
    ModelMachine,
    ModelPlan,
    make_machines,
)
from coltsfootseam.testbed.model.pool import PoolModel
from coltsfootseam.testbed.model.report import Report, Sample, make_report

_TIME_STEP_S = 0.05
_PLANNING_INTERVAL_S = 0.4
_MOVE_DURATION_S = 1.5
_DRAIN_S = 14.0
_MAX_ATTEMPTS = 3
_MS_PER_S = 1000


class FleetModel:
    """Runs job arrivals under given policies.

    Attributes:
        samples: One sample for each pool and planning round of the fleet's
            owner.
    """

    def __init__(
        self, plan: ModelPlan, policies: Policies, teams: tuple[Team, ...] = ()
    ) -> None:
        self._plan = plan
        self._teams_by_name = {team.name: team for team in teams}
        self._timers = ModelTimers()
        self._context = make_context(self._timers, policies)
        self._cluster = ClusterState(self._context)
        self._pools = {
            pool: PoolModel(pool, self._context, self._cluster)
            for pool in plan.pools
        }
        self._history = DemandHistory()
        self._idle_times = IdleTimes()
        self._machines_by_id: dict[str, ModelMachine] = {}
        self._requested_ids: set[str] = set()
        self._surplus_by_pool: dict[str, int] = {}
        self._queues_by_name: dict[str, Queue] = {}
        self._next_round_s = 0.0
        self._moves = 0
        self._machine_s = 0.0
        self.samples: list[Sample] = []
        self._add_machines()

    def run(self, arrivals: list[Arrival], length_s: float) -> Report:
        """Submits all arrivals, then runs on so that jobs can finish.

        Args:
            arrivals: Jobs in order of their arrival.
            length_s: Time in which jobs arrive; the model runs for some
                seconds more.
        """
        end_s = length_s + _DRAIN_S
        for arrival in arrivals:
            self.advance(arrival.at_s - self.now_s())
            self.submit(arrival)
        self.advance(end_s - self.now_s())
        pools = list(self._pools.values())
        return make_report(
            arrivals,
            self.done_s_by_id(),
            end_s,
            sum(pool.wasted_core_s for pool in pools),
            self._machine_s,
            self._moves,
            sum(pool.starts for pool in pools),
            sum(pool.idle_core_s for pool in pools),
            sum(pool.rejected_starts for pool in pools),
        )

    def counters(self) -> dict[str, int]:
        """Returns the manager's counters."""
        return self._context.counters.totals_by_name

    def now_s(self) -> float:
        """Returns the time since the start of the model."""
        return self._timers.now_s()

    def submit(self, arrival: Arrival) -> None:
        """Submits a job now."""
        self._configure(arrival.kind)
        self._pools[arrival.kind.pool].submit(arrival)

    def advance(self, duration_s: float) -> None:
        """Runs for a duration, in whole time steps."""
        until_s = self.now_s() + duration_s
        while self.now_s() < until_s:
            self._run_step()

    def started_s(self, pool: str, job_id: str) -> float | None:
        """Returns when a job's first run was started, if it was."""
        return self._pools[pool].started_s_by_id.get(job_id)

    def done_s_by_id(self) -> dict[str, float]:
        """Returns when each job was done, without those that aren't."""
        done_s_by_id: dict[str, float] = {}
        for pool in self._pools.values():
            done_s_by_id.update(pool.done_s_by_id)
        return done_s_by_id

    def _run_step(self) -> None:
        now_s = self.now_s()
        self._complete_moves(now_s)
        for pool in self._pools.values():
            pool.advance(_TIME_STEP_S)
        if now_s >= self._next_round_s:
            self._next_round_s += _PLANNING_INTERVAL_S
            self._run_planning_round()
        self._machine_s += _TIME_STEP_S * self._active_machine_count()
        self._timers.advance(_TIME_STEP_S)

    def add_long_running(self, pool: str, step: Step) -> None:
        """Adds tasks that run in a pool until the end."""
        self.submit(long_running_arrival(pool, step))

    def _configure(self, kind: JobKind) -> None:
        """Adds the queue of a kind of jobs to the configuration."""
        if kind.queue() in self._queues_by_name:
            return
        self._queues_by_name[kind.queue()] = Queue(
            kind.queue(),
            "host",
            f"/{kind.queue()}/",
            kind.pool,
            priority=kind.priority,
            attempts=_MAX_ATTEMPTS,
            stretch=kind.stretch,
            target_ms=round(kind.target_s * _MS_PER_S),
        )
        self._cluster.configuration = Configuration(
            1,
            self._queues_by_name,
            {pool: Pool(pool) for pool in self._pools},
            self._teams_by_name,
        )

    def _add_machines(self) -> None:
        for machine in make_machines(self._plan):
            self._machines_by_id[machine.machine_id] = machine
            if machine.pool != STANDBY:
                self._add_worker(machine)

    def _add_worker(self, machine: ModelMachine) -> None:
        entry = machine.worker.entry
        self._cluster.workers_by_instance[entry.instance_id] = entry
        self._pools[machine.pool].add_worker(machine.worker)

    def _complete_moves(self, now_s: float) -> None:
        for machine in self._machines_by_id.values():
            if machine.arrives_s is None or machine.arrives_s > now_s:
                continue
            machine.arrives_s = None
            machine.incarnation += 1
            old = machine.worker.entry
            machine.worker.entry = msgspec.structs.replace(
                old,
                pool=machine.pool,
                worker_id=f"{old.instance_id}@{machine.incarnation}",
                started_ms=machine.incarnation,
            )
            if machine.pool != STANDBY:
                self._add_worker(machine)

    def _active_machine_count(self) -> int:
        return sum(
            1
            for machine in self._machines_by_id.values()
            if machine.pool != STANDBY
        )

    def _run_planning_round(self) -> None:
        rules = self._context.policies.pools
        view = self._query_pools()
        self._record_idle(view)
        demands = self._demands(view)
        supplies = self._supplies()
        moves = plan_moves(demands, self._history, supplies, STANDBY, rules)
        self._surplus_by_pool = surplus_counts(
            demands, self._history, supplies, rules
        )
        self._requested_ids = {move.machine_id for move in moves}
        empty_workers = self._query_pools().empty_workers()
        for move in moves:
            machine = self._machines_by_id[move.machine_id]
            worker_id = machine.worker.entry.worker_id
            if machine.pool == STANDBY or worker_id in empty_workers:
                self._move(machine, move.pool)
        self._requested_ids = set()

    def _query_pools(self) -> FleetView:
        replies = {}
        for name, pool in self._pools.items():
            worker_ids = [
                machine.worker.entry.worker_id
                for machine in self._machines_by_id.values()
                if machine.machine_id in self._requested_ids
                and machine.pool == name
            ]
            surplus = self._surplus_by_pool.get(name, 0)
            replies[name] = pool.handle_evacuation_request(
                EvacuationRequest(
                    name, worker_ids, [], surplus, held_s=float("inf")
                )
            )
        return FleetView(replies_by_pool=replies)

    def _record_idle(self, view: FleetView) -> None:
        idle_workers = view.idle_workers()
        idle_ids = {
            machine.machine_id
            for machine in self._machines_by_id.values()
            if machine.worker.entry.worker_id in idle_workers
        }
        self._idle_times.record_idle(idle_ids, self.now_s())

    def _demands(self, view: FleetView) -> list[PoolDemand]:
        now_s = self.now_s()
        demands = view.demands()
        for demand in demands:
            self._history.add(demand, now_s)
            machines = sum(
                1
                for machine in self._machines_by_id.values()
                if machine.pool == demand.pool
            )
            self.samples.append(
                Sample(
                    now_s,
                    demand.pool,
                    demand.used_cores,
                    demand.waiting_cores,
                    machines,
                )
            )
        return demands

    def _supplies(self) -> list[MachineSupply]:
        now_s = self.now_s()
        return [
            MachineSupply(
                machine.machine_id,
                machine.pool,
                float(self._plan.cores),
                is_free=machine.arrives_s is None
                and (
                    machine.pool == STANDBY
                    or self._idle_times.is_idle(machine.machine_id)
                ),
                idle_s=self._idle_times.idle_s(machine.machine_id, now_s),
            )
            for machine in self._machines_by_id.values()
        ]

    def _move(self, machine: ModelMachine, pool: str) -> None:
        if machine.pool != STANDBY:
            self._pools[machine.pool].remove_worker(
                machine.worker.entry.worker_id
            )
        self._moves += 1
        machine.pool = pool
        machine.arrives_s = self.now_s() + _MOVE_DURATION_S
