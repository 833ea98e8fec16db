"""Plans which tasks of a pool start now, and on which workers."""

import msgspec

from coltsfootseam.jobs import Run, Task
from coltsfootseam.manager.orders.worker_snapshot import worker_capacities
from coltsfootseam.manager.pools.look_ahead import LookAheadPlanner
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.manager.pools.preemption import preempt
from coltsfootseam.manager.pools.ready_steps import ReadySteps
from coltsfootseam.manager.pools.speculation import SpeculationPlanner
from coltsfootseam.manager.pools.team_shares import TeamShares
from coltsfootseam.manager.pools.ticket_cache import TicketCache
from coltsfootseam.scheduling import (
    FITS,
    JOB_ORDERS,
    NO_LIMITS,
    IsolationPlan,
    Placement,
    Plan,
    ReadyStep,
    StartLimits,
    WorkerCapacity,
    max_isolating_workers,
    plan_isolated_starts,
    plan_starts,
    step_key,
)


class NewRun(msgspec.Struct, frozen=True):
    """A run to be started once the journal has recorded it."""

    task: Task
    run: Run
    ticket: str


class Planner:
    """Plans the starts of one pool.

    Attributes:
        plan: The latest plan.
        isolation: The latest plan for suspects.
    """

    __slots__ = (
        "_fit",
        "_look_ahead",
        "_order",
        "_ready_steps",
        "_shares",
        "_speculation",
        "_state",
        "_tickets",
        "isolation",
        "plan",
    )

    def __init__(self, state: PoolState, tickets: TicketCache) -> None:
        self._state = state
        self._tickets = tickets
        self._ready_steps = ReadySteps(state)
        self._speculation = SpeculationPlanner(state, tickets)
        self._look_ahead = LookAheadPlanner(state, tickets)
        policies = state.context.policies
        self._order = JOB_ORDERS.lookup(policies.job_order)
        self._fit = FITS.lookup(policies.fit)
        self._shares = TeamShares(state)
        self.plan = Plan()
        self.isolation = IsolationPlan()

    def plan_runs(
        self, max_starts: int | None = None, max_late_starts: int = 0
    ) -> list[NewRun]:
        """Returns the runs to start now, after adding them to the job table.

        Args:
            max_starts: Limit on new starts, ``None`` for no limit.
            max_late_starts: Limit up to which late jobs are started besides.
        """
        ready = sorted(self._ready_steps.collect(), key=self._order)
        slow = self._speculation.find_slow_steps()
        if not ready and not slow:
            self._look_ahead.clear()
            self.plan = Plan()
            self.isolation = IsolationPlan()
            self._record_over_quota()
            return []
        workers = worker_capacities(self._state)
        ready = self._shares.order(ready, workers)
        limits = self._start_limits()
        self._plan(ready, workers, max_starts, max_late_starts, limits)
        self._shares.record_shortages(self.plan.shortages)
        self._look_ahead.report()
        self._tickets.request_tickets(
            self.plan.shortages, self.isolation.lacking_tickets, workers
        )
        copies = []
        if not self.plan.shortages and not self.plan.undecided:
            copies = self._speculation.place(slow, workers, limits)
        new_runs = self._record_runs(
            self.isolation.placements, is_isolated=True
        )
        new_runs += self._record_runs(self.plan.placements + copies)
        preempt(self._state, self.plan.shortages, workers)
        self._record_over_quota()
        return new_runs

    def _plan(
        self,
        ready: list[ReadyStep],
        workers: list[WorkerCapacity],
        max_starts: int | None,
        max_late_starts: int,
        limits: StartLimits,
    ) -> None:
        """Plans the suspects, then all other tasks."""
        now_s = self._state.now_s()
        self.isolation = plan_isolated_starts(
            ready,
            workers,
            now_s,
            self._tickets.find,
            self._fit,
            self._max_isolating(len(workers)),
            self.isolation.reserved_ids,
            limits,
        )
        self.plan = plan_starts(
            ready,
            workers,
            now_s,
            self._tickets.find,
            self._fit,
            max_starts,
            limits,
            self._look_ahead.begin_round(workers),
            max_late_starts,
        )

    def _start_limits(self) -> StartLimits:
        """Returns what the quotas of teams allow in this round."""
        quotas = self._state.quotas
        return NO_LIMITS if quotas is None else quotas.start_limits()

    def _record_over_quota(self) -> None:
        quotas = self._state.quotas
        if quotas is not None:
            quotas.record_plan(
                self.isolation.over_quota + self.plan.over_quota,
                self.plan.shortages,
            )

    def _max_isolating(self, worker_count: int) -> int:
        share = self._state.context.policies.isolation_share
        return max_isolating_workers(worker_count, share)

    def _record_runs(
        self, placements: list[Placement], is_isolated: bool = False
    ) -> list[NewRun]:
        now_s = self._state.now_s()
        run_numbers_by_gang: dict[tuple[str, int, int], int] = {}
        new_runs = []
        for placement in placements:
            task = placement.task
            number = 0
            if task.step.gang:
                key = step_key(task.id)
                number = run_numbers_by_gang.setdefault(
                    key, self._next_gang_run_number(task)
                )
            run = self._state.job_table.add_run(
                task, placement.worker_id, now_s, number, is_isolated
            )
            new_runs.append(NewRun(task, run, placement.ticket))
        return new_runs

    def _next_gang_run_number(self, task: Task) -> int:
        job = self._state.job_table.jobs_by_id[task.id.job_id]
        members = job.occurrence(task.id.occurrence).tasks_by_step[task.id.step]
        latest = max(members, key=lambda member: member.last_run_number)
        # The checkpoint of any member is valid for the whole gang, and all
        # members have to start from the same one.
        checkpoint = max((member.checkpoint for member in members), default="")
        for member in members:
            member.checkpoint = checkpoint
        return latest.last_run_number + 1
