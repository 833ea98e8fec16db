"""Counters by team, for a bounded number of teams."""

from coltsfootseam.manager.context import Context

_MAX_TEAMS = 200
_OTHER_TEAMS = "other"


def count_for_team(
    context: Context, name: str, team: str, amount: int = 1
) -> None:
    """Adds to a team's counter; teams beyond the first 200 share one."""
    counted = context.counted_teams
    if team not in counted and len(counted) < _MAX_TEAMS:
        counted.add(team)
    label = team if team in counted else _OTHER_TEAMS
    context.counters.increment(f"{name}.{label}", amount)
