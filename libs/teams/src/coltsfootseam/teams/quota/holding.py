"""The owner's side of quotas: what a pool may have running, by team."""

from collections.abc import Mapping

from coltsfootseam.jobs import Resources
from coltsfootseam.teams.quota.amounts import NOTHING
from coltsfootseam.teams.quota.messages import (
    UNLIMITED,
    QuotaReply,
    QuotaReport,
    TeamReport,
)
from coltsfootseam.teams.quota.rules import REPLY_WITHIN_S
from coltsfootseam.teams.quota.significance import Listed, is_significant
from coltsfootseam.teams.quota.usage import TeamUsage

_NO_USAGE = TeamUsage()


class QuotaHolding:
    """What a pool may have running, by team.

    One instance serves one epoch of the pool's journal. What it holds changes
    by replies only, so it stays as it is while no coordinator replies.
    """

    __slots__ = (
        "_answered_epoch",
        "_has_lowered",
        "_held_by_team",
        "_is_waiting_for_reply",
        "_known_epoch",
        "_learned_s",
        "_listed_by_team",
        "_reported_epoch",
        "_sent_s",
        "_sequence",
        "pool",
        "pool_epoch",
    )

    def __init__(
        self,
        pool: str,
        pool_epoch: int,
        running_by_team: Mapping[str, Resources],
    ) -> None:
        """Starts with what is running according to the pool's journal."""
        self.pool = pool
        self.pool_epoch = pool_epoch
        self._held_by_team = dict(running_by_team)
        self._listed_by_team: dict[str, Listed] = {}
        self._sequence = 0
        self._sent_s = 0.0
        self._is_waiting_for_reply = False
        self._answered_epoch = 0
        self._reported_epoch = 0
        self._known_epoch = 0
        self._learned_s = 0.0
        self._has_lowered = False

    def make_report(
        self,
        usage_by_team: Mapping[str, TeamUsage],
        now_s: float,
        confirmed_s: float,
    ) -> QuotaReport:
        """Returns the next report; it invalidates replies to earlier ones.

        Args:
            usage_by_team: Each team that has runs or waiting tasks.
            now_s: Present time.
            confirmed_s: Time before the latest call in which the store
                confirmed this owner's epoch (an append or a confirmation).
        """
        if confirmed_s >= self._learned_s:
            self._reported_epoch = self._known_epoch
        is_answered = self._answered_epoch != 0
        is_full = not (
            is_answered and self._answered_epoch == self._reported_epoch
        )
        if is_full:
            self._listed_by_team.clear()
        self._sequence += 1
        self._sent_s = now_s
        self._is_waiting_for_reply = True
        self._answered_epoch = 0
        self._has_lowered = False
        return QuotaReport(
            self.pool,
            self.pool_epoch,
            self._sequence,
            self._reported_epoch,
            self._list_teams(usage_by_team, now_s),
            is_full,
        )

    def apply_reply(self, reply: QuotaReply, now_s: float) -> bool:
        """Takes over the grants of a reply.

        Returns:
            Whether the reply was valid.
        """
        if not self._is_reply_valid(reply, now_s):
            return False
        self._is_waiting_for_reply = False
        if reply.coordinator_epoch > self._known_epoch:
            self._known_epoch = reply.coordinator_epoch
            self._learned_s = now_s
        if not reply.is_coordinator:
            return False
        self._answered_epoch = reply.coordinator_epoch
        for grant in reply.grants:
            held = self.held(grant.team)
            if not held.fits_within(grant.granted):
                self._has_lowered = True
            self._held_by_team[grant.team] = grant.granted
        return True

    def room(self, team: str, used: Resources) -> Resources | None:
        """Returns what a team may start beside what it uses.

        Amounts may be negative, and are very large for a resource that has no
        limit. ``None`` means that none has.
        """
        held = self.held(team)
        return None if held == UNLIMITED else held.minus(used)

    def held(self, team: str) -> Resources:
        """Returns what a team may use."""
        return self._held_by_team.get(team, NOTHING)

    def should_report_soon(self) -> bool:
        """Returns whether the coordinator waits for news from this pool.

        That is after grants were lowered, which others wait for, and after a
        reply named a new coordinator.
        """
        return self._has_lowered or self._reported_epoch != self._known_epoch

    def _is_reply_valid(self, reply: QuotaReply, now_s: float) -> bool:
        return (
            self._is_waiting_for_reply
            and reply.pool_epoch == self.pool_epoch
            and reply.sequence == self._sequence
            and reply.coordinator_epoch >= self._known_epoch
            and now_s - self._sent_s <= REPLY_WITHIN_S
        )

    def _list_teams(
        self, usage_by_team: Mapping[str, TeamUsage], now_s: float
    ) -> list[TeamReport]:
        """Returns the teams whose state differs enough from the last report."""
        reports = []
        for team in self._held_by_team.keys() | usage_by_team.keys():
            usage = usage_by_team.get(team, _NO_USAGE)
            held = self.held(team)
            listed = self._listed_by_team.get(team)
            is_over = held == NOTHING and usage == _NO_USAGE
            if is_over:
                self._held_by_team.pop(team, None)
                self._listed_by_team.pop(team, None)
            if is_over and listed is None:
                continue
            if not is_significant(listed, held, usage, now_s):
                continue
            reports.append(_report_of(team, held, usage))
            if not is_over:
                self._listed_by_team[team] = Listed(held, usage, now_s)
        return reports


def _report_of(team: str, held: Resources, usage: TeamUsage) -> TeamReport:
    return TeamReport(
        team,
        held,
        usage.used,
        usage.waiting,
        usage.next_start,
        round(usage.waited_s, 2),
    )
