"""The coordinator's side of quotas: what each pool may use, by team."""

from collections.abc import Collection, Mapping

from coltsfootseam.jobs import Resources
from coltsfootseam.teams.quota.accounts import TeamAccount
from coltsfootseam.teams.quota.amounts import NOTHING
from coltsfootseam.teams.quota.messages import (
    UNLIMITED,
    QuotaReply,
    QuotaReport,
    TeamGrant,
    TeamReport,
)
from coltsfootseam.teams.quota.rules import (
    CONFIRMED_WITHIN_S,
    NO_GROWTH_S,
    SUCCESSOR_SILENT_S,
)


class _PoolRecord:
    """What the coordinator knows of a pool.

    Attributes:
        epoch: The highest pool epoch that has reported.
        sequence: Number of its latest report.
        teams: The teams that the pool has an account for.
        has_reported: Whether an owner that was confirmed after this
            coordinator's claim has reported.
    """

    __slots__ = ("epoch", "has_reported", "sequence", "teams")

    def __init__(self) -> None:
        self.epoch = 0
        self.sequence = 0
        self.teams: set[str] = set()
        self.has_reported = False


class QuotaLedger:
    """What each pool may use of each team's quota.

    One instance serves one epoch of the coordinator.
    """

    __slots__ = (
        "_active_teams",
        "_claimed_s",
        "_limits_by_team",
        "_missing_pools",
        "_pools",
        "_read_s",
        "_records_by_pool",
        "_teams_by_name",
        "epoch",
    )

    def __init__(self, epoch: int, claimed_s: float) -> None:
        """Starts without knowledge of any pool.

        Args:
            epoch: Epoch of the coordinator, at least 1.
            claimed_s: Time after the claim of the coordinator's duty.
        """
        self.epoch = epoch
        self._claimed_s = claimed_s
        self._read_s = float("-inf")
        self._limits_by_team: Mapping[str, Resources] = {}
        self._pools: frozenset[str] = frozenset()
        self._records_by_pool: dict[str, _PoolRecord] = {}
        self._teams_by_name: dict[str, TeamAccount] = {}
        self._missing_pools: set[str] = set()
        # Teams that a pool waits for, or that are over their limit: they are
        # decided on at each report, others only when they are listed.
        self._active_teams: set[str] = set()

    def configure(
        self,
        limits_by_team: Mapping[str, Resources],
        pools: Collection[str],
        read_s: float,
    ) -> None:
        """Takes over a version of the configuration.

        A team that the configuration doesn't have has no limit. A pool that
        it doesn't have gets no growth, and counts while it holds something.

        Args:
            limits_by_team: Limit of each team; 0 is no limit in a resource.
            pools: All pools.
            read_s: Time before the latest read of the store that found this
                version to be the newest. No grant grows until a version was
                read well after the claim, as the predecessor may have
                granted quota to pools that an older version doesn't have.
        """
        self._limits_by_team = dict(limits_by_team)
        self._pools = frozenset(pools)
        self._read_s = read_s
        self._missing_pools = {
            pool
            for pool in self._pools
            if pool not in self._records_by_pool
            or not self._records_by_pool[pool].has_reported
        }
        for name, team in self._teams_by_name.items():
            limit = limits_by_team.get(name, NOTHING)
            if limit != team.limit:
                team.set_limit(limit)
            self._note_activity(name, team)

    def apply_report(
        self, report: QuotaReport, now_s: float, confirmed_s: float
    ) -> QuotaReply:
        """Records a report and returns the reply to it.

        Args:
            report: The report.
            now_s: Present time.
            confirmed_s: Time before the latest call in which the store
                confirmed the coordinator's epoch.
        """
        is_silent = now_s - self._claimed_s < SUCCESSOR_SILENT_S
        if not self._record(report, now_s):
            return _reply(report, 0 if is_silent else self.epoch, None)
        if is_silent:
            return _reply(report, 0, None)
        record = self._records_by_pool[report.pool]
        if report.coordinator_epoch == self.epoch:
            record.has_reported = True
            self._missing_pools.discard(report.pool)
        may_change = self._may_change(now_s, confirmed_s)
        grants = self._decide(report, record, may_change, now_s)
        return _reply(report, self.epoch, grants)

    def grants_by_pool(self, team: str) -> Mapping[str, Resources]:
        """Returns what each pool is counted with of a team's quota."""
        account = self._teams_by_name.get(team)
        if account is None:
            return {}
        return {
            pool: each.counted
            for pool, each in account.accounts_by_pool.items()
        }

    def missing_pools(self) -> list[str]:
        """Returns the pools of the configuration that have not reported."""
        return sorted(self._missing_pools)

    def _record(self, report: QuotaReport, now_s: float) -> bool:
        """Records a report unless it is outdated or incomplete."""
        if report.coordinator_epoch > self.epoch:
            return False
        record = self._records_by_pool.get(report.pool)
        if record is None:
            record = self._records_by_pool[report.pool] = _PoolRecord()
        place = (report.pool_epoch, report.sequence)
        if place <= (record.epoch, record.sequence):
            return False
        if not report.is_full:
            before = (report.pool_epoch, report.sequence - 1)
            is_mine = report.coordinator_epoch == self.epoch
            if not is_mine or before != (record.epoch, record.sequence):
                return False
        record.epoch, record.sequence = place
        self._record_teams(report, record, now_s)
        return True

    def _record_teams(
        self, report: QuotaReport, record: _PoolRecord, now_s: float
    ) -> None:
        listed = {each.team for each in report.teams}
        if report.is_full:
            for name in record.teams - listed:
                self._record_team(record, report.pool, _nothing(name), now_s)
        for each in report.teams:
            self._record_team(record, report.pool, each, now_s)

    def _record_team(
        self, record: _PoolRecord, pool: str, report: TeamReport, now_s: float
    ) -> None:
        team = self._teams_by_name.get(report.team)
        if team is None:
            limit = self._limits_by_team.get(report.team, NOTHING)
            team = self._teams_by_name[report.team] = TeamAccount(limit)
        team.record(pool, report, now_s)
        self._note_activity(report.team, team)
        if pool in team.accounts_by_pool:
            record.teams.add(report.team)
            return
        record.teams.discard(report.team)
        if not team.accounts_by_pool:
            del self._teams_by_name[report.team]

    def _note_activity(self, name: str, team: TeamAccount) -> None:
        if team.waiting_pools or team.is_over_limit():
            self._active_teams.add(name)
        else:
            self._active_teams.discard(name)

    def _may_change(self, now_s: float, confirmed_s: float) -> bool:
        """Returns whether no other coordinator's grants can add up."""
        return (
            now_s - confirmed_s <= CONFIRMED_WITHIN_S
            and now_s - self._claimed_s >= NO_GROWTH_S
            and self._read_s - self._claimed_s >= CONFIRMED_WITHIN_S
            and not self._missing_pools
        )

    def _decide(
        self,
        report: QuotaReport,
        record: _PoolRecord,
        may_change: bool,
        now_s: float,
    ) -> list[TeamGrant]:
        grants = []
        may_grow = may_change and report.pool in self._pools
        listed = {each.team for each in report.teams} & record.teams
        for name in sorted(listed | (self._active_teams & record.teams)):
            team = self._teams_by_name[name]
            held = team.accounts_by_pool[report.pool].held
            granted = team.decide(report.pool, may_change, may_grow, now_s)
            if granted != held:
                is_unlimited = granted == UNLIMITED
                grants.append(TeamGrant(name, granted, is_unlimited))
        return grants


def _nothing(team: str) -> TeamReport:
    return TeamReport(team, NOTHING)


def _reply(
    report: QuotaReport, epoch: int, grants: list[TeamGrant] | None
) -> QuotaReply:
    return QuotaReply(
        grants is not None,
        epoch,
        report.pool_epoch,
        report.sequence,
        grants or [],
    )
