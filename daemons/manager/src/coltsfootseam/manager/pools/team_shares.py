"""Shares a pool among teams: what the rule needs, counters and log lines."""

from collections.abc import Mapping

from coltsfootseam.jobs import Resources, Team
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.manager.pools.team_usage import usage_by_team
from coltsfootseam.scheduling import (
    SHARE_RULES,
    ContractRates,
    PoolShares,
    ReadyStep,
    Shortage,
    WorkerCapacity,
)

_MAX_COUNTED_TEAMS = 200
_OTHER_TEAMS = "others"
_CATCH_UP_S = 5.0
"""A team that was behind for its share is logged again only after this time
without a shortage, so that a team at the limit of its share isn't logged in
every round."""


class TeamShares:
    """Orders the ready steps of one pool by the shares of their teams."""

    __slots__ = (
        "_behind_s_by_team",
        "_beyond_ids",
        "_counted_teams",
        "_is_enabled",
        "_judged_ids",
        "_rates",
        "_rule",
        "_shares",
        "_state",
    )

    def __init__(self, state: PoolState) -> None:
        self._state = state
        rule = state.context.policies.shares
        self._is_enabled = rule != "none"
        self._rule = SHARE_RULES.lookup(rule)
        self._rates = ContractRates()
        self._judged_ids: set[str] = set()
        self._beyond_ids: set[str] = set()
        self._counted_teams: set[str] = set()
        self._behind_s_by_team: dict[str, float] = {}
        self._shares: PoolShares | None = None

    def order(
        self, ready: list[ReadyStep], workers: list[WorkerCapacity]
    ) -> list[ReadyStep]:
        """Returns the order of service; without teams it is the job order."""
        teams_by_name = self._teams_by_name()
        if not teams_by_name or not self._is_enabled:
            self._shares = None
            return ready
        self._judge_new_jobs(teams_by_name)
        self._shares = PoolShares(
            teams_by_name,
            usage_by_team(self._state.job_table, includes_best_effort=False),
            _capacity(workers),
            _free(workers),
            self._beyond_ids,
        )
        return self._rule(ready, self._shares)

    def beyond_ids(self) -> frozenset[str]:
        """Returns the open jobs beyond their team's contract."""
        return frozenset(self._beyond_ids)

    def record_shortages(self, shortages: list[Shortage]) -> None:
        """Logs each team that begins to wait because it is over its share."""
        shares = self._shares
        if shares is None:
            return
        now_s = self._state.now_s()
        waiting_by_team: dict[str, int] = {}
        for shortage in shortages:
            team = shortage.ready.job.request.team
            waiting = waiting_by_team.get(team, 0)
            waiting_by_team[team] = waiting + shortage.count
        for team, waiting in waiting_by_team.items():
            share, fair_share = _shares_of(team, shares, waiting_by_team)
            if share <= fair_share:
                continue
            if team not in self._behind_s_by_team:
                self._log_behind(team, share, fair_share, waiting)
            self._behind_s_by_team[team] = now_s
        self._behind_s_by_team = {
            team: seen_s
            for team, seen_s in self._behind_s_by_team.items()
            if now_s - seen_s < _CATCH_UP_S
        }

    def _teams_by_name(self) -> Mapping[str, Team]:
        configuration = self._state.cluster.configuration
        return {} if configuration is None else configuration.teams_by_name

    def _judge_new_jobs(self, teams_by_name: Mapping[str, Team]) -> None:
        """Finds out which new jobs are beyond their team's contract.

        A new owner judges all open jobs in the order of their acceptance.
        """
        active_by_id = self._state.job_table.active_by_id
        new_ids = active_by_id.keys() - self._judged_ids
        self._judged_ids &= active_by_id.keys()
        self._beyond_ids &= active_by_id.keys()
        for accepted_ms, job_id in sorted(
            (active_by_id[job_id].request.accepted_ms, job_id)
            for job_id in new_ids
        ):
            self._judged_ids.add(job_id)
            team = teams_by_name.get(active_by_id[job_id].request.team)
            if team is None or team.weight <= 0:
                continue
            if self._rates.is_beyond(team.name, team.weight, accepted_ms):
                self._beyond_ids.add(job_id)
                self._count_beyond(team.name)

    def _count_beyond(self, team: str) -> None:
        if len(self._counted_teams) < _MAX_COUNTED_TEAMS:
            self._counted_teams.add(team)
        name = team if team in self._counted_teams else _OTHER_TEAMS
        self._state.context.counters.increment(f"team.beyond_contract.{name}")

    def _log_behind(
        self, team: str, share: float, fair_share: float, waiting: int
    ) -> None:
        beyond = sum(
            1
            for job_id in self._beyond_ids
            if self._state.job_table.jobs_by_id[job_id].request.team == team
        )
        self._state.context.log.write(
            "team.behind_for_share",
            pool=self._state.pool,
            team=team,
            share=round(share, 3),
            fair_share=round(fair_share, 3),
            waiting_tasks=waiting,
            jobs_beyond_contract=beyond,
        )


def _shares_of(
    team: str, shares: PoolShares, waiting_by_team: Mapping[str, int]
) -> tuple[float, float]:
    """Returns a team's dominant share and its fair share of the pool.

    The fair share is its part of the weights of all teams that run or wait in
    the pool.
    """
    present = {*shares.usage_by_team, *waiting_by_team}
    total = sum(shares.weight_of(other) for other in present)
    used = shares.usage_by_team.get(team, Resources())
    return shares.dominant_share(used), shares.weight_of(team) / total


def _capacity(workers: list[WorkerCapacity]) -> Resources:
    return Resources(
        sum(worker.size.cpu_millis for worker in workers),
        sum(worker.size.memory_mb for worker in workers),
        sum(worker.size.accelerators for worker in workers),
    )


def _free(workers: list[WorkerCapacity]) -> Resources:
    """Returns what is free on the workers that may get tasks."""
    is_open = [worker for worker in workers if worker.is_open]
    return Resources(
        sum(max(0, worker.free_cpu_millis) for worker in is_open),
        sum(max(0, worker.free_memory_mb) for worker in is_open),
        sum(max(0, worker.free_accelerators) for worker in is_open),
    )
