"""What the teams may use of one pool, as its owner keeps it."""

from collections.abc import Callable, Iterable

from coltsfootseam.jobs import JobTable, Resources
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.quotas.machine_demand import demand_within_limits
from coltsfootseam.manager.quotas.team_counters import count_for_team
from coltsfootseam.manager.quotas.team_limits import TeamLimits
from coltsfootseam.manager.quotas.usage import describe_amounts, used_by_team
from coltsfootseam.manager.quotas.waits import QuotaWaits
from coltsfootseam.scheduling import (
    NO_LIMITS,
    Plan,
    Shortage,
    StartLimits,
    StepKey,
)
from coltsfootseam.store import Journal
from coltsfootseam.teams.quota import QuotaHolding, QuotaReply, QuotaReport

_MS_PER_S = 1000
_MAX_LINES_PER_ROUND = 20
"""Lines on steps that begin to wait; the rest of a burst is only counted."""

Change = tuple[str, Resources, Resources]
"""A team, and what the pool held for it before and afterwards."""


class PoolQuotas:
    """Holds what the coordinator granted to a pool, by team.

    A new owner starts with a holding equal to what runs, so that it starts
    nothing for a team before the coordinator has answered.

    Attributes:
        waits: Steps that wait for their team's quota.
        has_team_jobs: Whether the pool has had a job of a team.
        granted_s: When the coordinator last answered, monotonic seconds, or
            ``None``.
        on_wait: Called when steps have begun to wait.
    """

    __slots__ = (
        "_cluster",
        "_context",
        "_held_by_team",
        "_holding",
        "_job_table",
        "_journal",
        "granted_s",
        "has_team_jobs",
        "on_wait",
        "waits",
    )

    def __init__(
        self,
        pool: str,
        context: Context,
        cluster: ClusterState,
        journal: Journal,
        job_table: JobTable,
    ) -> None:
        """Starts with what runs in a pool that was just loaded."""
        self._context = context
        self._cluster = cluster
        self._journal = journal
        self._job_table = job_table
        used = used_by_team(job_table)
        self._holding = QuotaHolding(pool, journal.epoch, used)
        self._held_by_team = dict(used)
        self.waits = QuotaWaits()
        self.has_team_jobs = any(
            job.request.team for job in job_table.active_by_id.values()
        )
        self.granted_s: float | None = None
        self.on_wait: Callable[[], None] = lambda: None

    def is_enabled(self) -> bool:
        """Returns whether there are teams, here or in the configuration."""
        configuration = self._cluster.configuration
        return self.has_team_jobs or (
            configuration is not None and bool(configuration.teams_by_name)
        )

    def start_limits(self) -> StartLimits:
        """Returns what the teams may start in a planning round."""
        if not self.is_enabled():
            return NO_LIMITS
        return TeamLimits(self._holding, used_by_team(self._job_table))

    def record_plan(
        self, over_quota: list[Shortage], shortages: list[Shortage]
    ) -> None:
        """Records what a planning round could not start.

        Args:
            over_quota: What the quotas held back.
            shortages: What is within the quotas and lacks machines.
        """
        if not self.is_enabled():
            return
        now_s = self._context.timers.now_s()
        begun = self.waits.update(over_quota, shortages, now_s)
        if begun:
            self._log_waits(begun)
            self.on_wait()

    def machine_demand(self, plan: Plan) -> list[Shortage]:
        """Returns what waits for quota and needs machines of the pool."""
        configuration = self._cluster.configuration
        if configuration is None or not plan.over_quota:
            return []
        return demand_within_limits(
            plan.over_quota,
            plan.shortages + plan.undecided,
            configuration.teams_by_name,
            used_by_team(self._job_table),
        )

    def is_in_use(self) -> bool:
        """Returns whether a team has jobs in the pool or holds quota."""
        return bool(self._held_by_team) or any(
            job.request.team for job in self._job_table.active_by_id.values()
        )

    def should_report_soon(self) -> bool:
        """Returns whether the coordinator waits for news from this pool."""
        return self._holding.should_report_soon()

    def make_report(self) -> QuotaReport:
        """Returns the next report of what the teams use and wait for."""
        now_s = self._context.timers.now_s()
        usage = self.waits.usage_by_team(used_by_team(self._job_table), now_s)
        return self._holding.make_report(
            usage, now_s, self._journal.confirmed_s
        )

    def apply_reply(self, reply: QuotaReply, sent_s: float) -> bool:
        """Takes over grants; returns whether a waiting team got more.

        Args:
            reply: The coordinator's reply.
            sent_s: When the report was sent, monotonic seconds.
        """
        now_s = self._context.timers.now_s()
        if not self._holding.apply_reply(reply, now_s):
            self._context.counters.increment("quota.reply_refused")
            return False
        if reply.coordinator_epoch:
            self.granted_s = now_s
        changes = self._update_held(grant.team for grant in reply.grants)
        raised = [
            change for change in changes if not change[2].fits_within(change[1])
        ]
        lowered = [change for change in changes if change not in raised]
        self._log_changes("quota.granted", raised, reply.sequence, sent_s)
        self._log_changes("quota.lowered", lowered, reply.sequence, sent_s)
        waiting_teams = self.waits.teams()
        return any(team in waiting_teams for team, _, _ in raised)

    def used(self, team: str) -> Resources:
        """Returns what a team's runs use of the pool."""
        return used_by_team(self._job_table).get(team, Resources())

    def held(self, team: str) -> Resources:
        """Returns what a team may use of the pool."""
        return self._holding.held(team)

    def granted_age_s(self) -> float | None:
        """Returns how long ago the coordinator answered, if ever."""
        if self.granted_s is None:
            return None
        return self._context.timers.now_s() - self.granted_s

    def _update_held(self, teams: Iterable[str]) -> list[Change]:
        """Returns the changes of what is held since the last call."""
        changes = []
        for team in {*teams, *self._held_by_team}:
            before = self._held_by_team.get(team, Resources())
            held = self._holding.held(team)
            if held != before:
                changes.append((team, before, held))
            if held == Resources():
                self._held_by_team.pop(team, None)
            else:
                self._held_by_team[team] = held
        return changes

    def _log_changes(
        self, event: str, changes: list[Change], sequence: int, since_s: float
    ) -> None:
        """Writes one line on all teams whose grant a message changed."""
        if not changes:
            return
        used = used_by_team(self._job_table)
        age_s = self._context.timers.now_s() - since_s
        self._context.log.write(
            event,
            pool=self._holding.pool,
            epoch=self._holding.pool_epoch,
            report=sequence,
            age_ms=round(age_s * _MS_PER_S),
            changes=[
                [
                    team,
                    describe_amounts(before),
                    describe_amounts(held),
                    describe_amounts(used.get(team, Resources())),
                ]
                for team, before, held in sorted(
                    changes, key=lambda change: change[0]
                )
            ],
        )
        for team, _, _ in changes:
            count_for_team(self._context, event, team)

    def _log_waits(self, begun: list[StepKey]) -> None:
        age_s = self.granted_age_s()
        used = used_by_team(self._job_table)
        for position, key in enumerate(begun):
            wait = self.waits.by_step[key]
            count_for_team(self._context, "quota.held_back", wait.team)
            if position >= _MAX_LINES_PER_ROUND:
                continue
            job_id, occurrence, step = key
            self._context.log.write(
                "quota.held_back",
                job=job_id,
                step=[occurrence, step],
                team=wait.team,
                pool=self._holding.pool,
                waiting=wait.count,
                request=describe_amounts(wait.request),
                used=describe_amounts(used.get(wait.team, Resources())),
                held=describe_amounts(self._holding.held(wait.team)),
                age_ms=None if age_s is None else round(age_s * _MS_PER_S),
            )
