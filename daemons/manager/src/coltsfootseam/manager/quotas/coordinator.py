"""The coordinator, which divides the quotas of teams among the pools."""

import msgspec

from coltsfootseam.manager.background import logging_failures
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.store import Journal
from coltsfootseam.teams.quota import (
    QuotaLedger,
    QuotaReply,
    QuotaReport,
    TeamReport,
)
from coltsfootseam.timers import Subscription

_CONFIRM_PERIOD_S = 0.5
_CONFIGURE_PERIOD_S = 0.2
_REPORTED_LATELY_S = 2.0


class ReportedPool(msgspec.Struct):
    """The latest report of a pool's owner.

    Attributes:
        epoch: Epoch of the pool's journal under that owner.
        received_s: When it arrived, monotonic seconds.
        teams: What it lists, by team.
    """

    epoch: int
    received_s: float
    teams: dict[str, TeamReport] = {}


class QuotaCoordinator:
    """Answers the reports of the pools' owners.

    It lives as long as the ownership of the fleet's journal, whose epoch
    orders coordinators. While there are teams it has the store confirm that
    epoch, as grants may grow only with a recent confirmation.

    Attributes:
        ledger: What each pool may use.
        pools_by_name: The latest report of each pool.
    """

    __slots__ = (
        "_cluster",
        "_configured_s",
        "_configured_version",
        "_context",
        "_journal",
        "_reported_s",
        "_subscription",
        "ledger",
        "pools_by_name",
    )

    def __init__(
        self, context: Context, cluster: ClusterState, journal: Journal
    ) -> None:
        self._context = context
        self._cluster = cluster
        self._journal = journal
        self._configured_s = float("-inf")
        self._configured_version = 0
        self._reported_s = float("-inf")
        self._subscription: Subscription | None = None
        self.ledger = QuotaLedger(journal.epoch, journal.claimed_s)
        self.pools_by_name: dict[str, ReportedPool] = {}

    def start(self) -> None:
        """Starts to confirm the epoch while there are teams."""
        confirm = logging_failures(
            self._context, "epoch of the quotas", self._confirm
        )
        self._subscription = self._context.timers.subscribe(
            _CONFIRM_PERIOD_S, confirm
        )

    def close(self) -> None:
        """Stops confirming the epoch."""
        if self._subscription is not None:
            self._subscription.cancel()

    def handle_report(self, report: QuotaReport) -> QuotaReply:
        """Records a report and returns what its pool may use."""
        if self._journal.is_lost or self._cluster.configuration is None:
            return not_coordinator(report)
        now_s = self._context.timers.now_s()
        self._reported_s = now_s
        self._configure(now_s)
        missing = self.ledger.missing_pools()
        reply = self.ledger.apply_report(
            report, now_s, self._journal.confirmed_s
        )
        if not reply.coordinator_epoch:
            # Too new to tell its epoch. The owner must not search all hosts
            # for another coordinator meanwhile.
            return msgspec.structs.replace(reply, is_coordinator=True)
        self._record(report, now_s)
        if missing and not self.ledger.missing_pools():
            self._context.log.write(
                "quota.pools_reported",
                epoch=self.ledger.epoch,
                pools=len(self.pools_by_name),
            )
        return reply

    def confirmed_age_s(self) -> float:
        """Returns how long ago the store confirmed the epoch."""
        return self._context.timers.now_s() - self._journal.confirmed_s

    def _record(self, report: QuotaReport, now_s: float) -> None:
        known = self.pools_by_name.get(report.pool)
        if known is not None and known.epoch > report.pool_epoch:
            return
        teams = {item.team: item for item in report.teams}
        if known is not None and not report.is_full:
            teams = {**known.teams, **teams}
        self.pools_by_name[report.pool] = ReportedPool(
            report.pool_epoch, now_s, teams
        )

    def _configure(self, now_s: float) -> None:
        """Passes on the configuration, and how recently it was read."""
        configuration = self._cluster.configuration
        assert configuration is not None
        is_new = configuration.version != self._configured_version
        if not is_new and now_s - self._configured_s < _CONFIGURE_PERIOD_S:
            return
        self._configured_version = configuration.version
        self._configured_s = now_s
        self.ledger.configure(
            {
                name: team.limit
                for name, team in configuration.teams_by_name.items()
            },
            configuration.pools_by_name,
            self._cluster.configuration_read_s(),
        )

    async def _confirm(self) -> None:
        """Has the store confirm the epoch, unless it just accepted a call."""
        now_s = self._context.timers.now_s()
        configuration = self._cluster.configuration
        has_teams = configuration is not None and configuration.teams_by_name
        is_reported_to = now_s - self._reported_s < _REPORTED_LATELY_S
        if not has_teams and not is_reported_to:
            return
        if now_s - self._journal.confirmed_s >= _CONFIRM_PERIOD_S / 2:
            await self._journal.confirm()


def not_coordinator(report: QuotaReport) -> QuotaReply:
    """Returns the reply of a host that isn't the coordinator."""
    return QuotaReply(False, 0, report.pool_epoch, report.sequence, [])
