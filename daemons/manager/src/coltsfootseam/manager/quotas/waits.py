"""Steps of a pool that wait for their team's quota."""

from collections.abc import Mapping

import msgspec

from coltsfootseam.jobs import Resources
from coltsfootseam.scheduling import Shortage, StepKey
from coltsfootseam.teams.quota import TeamUsage


class QuotaWait(msgspec.Struct):
    """A step with tasks that wait for their team's quota.

    Attributes:
        team: The team.
        request: What each task requests.
        start_size: How many tasks have to start at once.
        count: How many tasks wait.
        since_s: When one of them was last started or the wait began.
    """

    team: str
    request: Resources
    start_size: int
    count: int
    since_s: float


class QuotaWaits:
    """The steps that wait for their team's quota.

    Attributes:
        by_step: The waiting steps.
    """

    __slots__ = ("_short_by_team", "by_step")

    def __init__(self) -> None:
        self.by_step: dict[StepKey, QuotaWait] = {}
        self._short_by_team: dict[str, Resources] = {}

    def update(
        self,
        over_quota: list[Shortage],
        shortages: list[Shortage],
        now_s: float,
    ) -> list[StepKey]:
        """Applies a plan; returns the steps that have begun to wait.

        Args:
            over_quota: What the quotas held back.
            shortages: What is within the quotas and lacks machines.
            now_s: Monotonic time.
        """
        waits: dict[StepKey, QuotaWait] = {}
        for shortage in over_quota:
            wait = waits.get(shortage.key())
            if wait is None:
                waits[shortage.key()] = _to_wait(shortage, now_s)
            else:
                wait.count += shortage.count
        for key, wait in waits.items():
            before = self.by_step.get(key)
            # A step that starts in waves waits anew after each of them, so
            # that it doesn't take precedence over other pools for good.
            if before is not None and wait.count >= before.count:
                wait.since_s = before.since_s
        begun = [key for key in waits if key not in self.by_step]
        self.by_step = waits
        self._short_by_team = _sum_by_team(shortages)
        return begun

    def usage_by_team(
        self, used_by_team: Mapping[str, Resources], now_s: float
    ) -> dict[str, TeamUsage]:
        """Returns what each team uses and waits for.

        What lacks machines counts as waiting: without its quota it would not
        be planned, and the pool would ask for no machines.
        """
        waiting = dict(self._short_by_team)
        first_by_team: dict[str, QuotaWait] = {}
        for wait in self.by_step.values():
            amount = wait.request.times(wait.count)
            before = waiting.get(wait.team, Resources())
            waiting[wait.team] = before.plus(amount)
            first = first_by_team.get(wait.team)
            if first is None or wait.since_s < first.since_s:
                first_by_team[wait.team] = wait
        usage = {}
        for team in {**used_by_team, **waiting}:
            first = first_by_team.get(team)
            usage[team] = TeamUsage(
                used=used_by_team.get(team, Resources()),
                waiting=waiting.get(team, Resources()),
                next_start=Resources()
                if first is None
                else first.request.times(first.start_size),
                waited_s=0.0 if first is None else now_s - first.since_s,
            )
        return usage

    def count_of(self, job_id: str, step_number: int) -> int:
        """Returns how many tasks of a job's step wait for quota."""
        return sum(
            wait.count
            for (job, _, number), wait in self.by_step.items()
            if job == job_id and number == step_number
        )

    def teams(self) -> set[str]:
        """Returns the teams with steps that wait."""
        return {wait.team for wait in self.by_step.values()}


def _to_wait(shortage: Shortage, now_s: float) -> QuotaWait:
    ready = shortage.ready
    return QuotaWait(
        team=ready.job.request.team,
        request=ready.step.resources(),
        start_size=ready.step.count if ready.step.gang else 1,
        count=shortage.count,
        since_s=now_s,
    )


def _sum_by_team(shortages: list[Shortage]) -> dict[str, Resources]:
    sums: dict[str, Resources] = {}
    for shortage in shortages:
        team = shortage.ready.job.request.team
        if team:
            amount = shortage.ready.step.resources().times(shortage.count)
            sums[team] = sums.get(team, Resources()).plus(amount)
    return sums
