"""What the quotas of teams allow to start in one planning round."""

from collections.abc import Mapping

from coltsfootseam.jobs import Resources
from coltsfootseam.manager.quotas.usage import count_within
from coltsfootseam.scheduling import ReadyStep
from coltsfootseam.teams.quota import QuotaHolding


class TeamLimits:
    """Limits the starts of one planning round to what the pool holds.

    A job without a team isn't limited.
    """

    __slots__ = ("_holding", "_room_by_team", "_used_by_team")

    def __init__(
        self, holding: QuotaHolding, used_by_team: Mapping[str, Resources]
    ) -> None:
        self._holding = holding
        self._used_by_team = used_by_team
        self._room_by_team: dict[str, Resources | None] = {}

    def allowed(self, ready: ReadyStep, count: int) -> int:
        """Returns how many of ``count`` tasks of a step may start."""
        team = ready.job.request.team
        if not team:
            return count
        room = self._room(team)
        if room is None:
            return count
        return count_within(ready.step.resources(), room, count)

    def take(self, ready: ReadyStep, count: int) -> None:
        """Records that ``count`` tasks of a step are planned to start."""
        team = ready.job.request.team
        if not team or not count:
            return
        room = self._room(team)
        if room is not None:
            taken = ready.step.resources().times(count)
            self._room_by_team[team] = room.minus(taken)

    def _room(self, team: str) -> Resources | None:
        if team not in self._room_by_team:
            used = self._used_by_team.get(team, Resources())
            self._room_by_team[team] = self._holding.room(team, used)
        return self._room_by_team[team]
