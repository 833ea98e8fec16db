"""What waits for quota that its team's limit allows, and so needs machines."""

from collections.abc import Iterable, Mapping

import msgspec

from coltsfootseam.jobs import Resources, Team
from coltsfootseam.manager.quotas.usage import count_within
from coltsfootseam.scheduling import Shortage
from coltsfootseam.teams.quota import capacity_of


def demand_within_limits(
    over_quota: Iterable[Shortage],
    shortages: Iterable[Shortage],
    teams_by_name: Mapping[str, Team],
    used_by_team: Mapping[str, Resources],
) -> list[Shortage]:
    """Returns what of the tasks over their quota a pool needs machines for.

    The coordinator grants quota within a fraction of a second and only as far
    as it is waited for, while a machine takes seconds. If demand followed the
    grants, the pool would get its machines in many small steps.

    Args:
        over_quota: What the grants hold back.
        shortages: What is within the grants and lacks machines.
        teams_by_name: The teams and their limits.
        used_by_team: What each team's runs use in the pool.
    """
    room_by_team = {
        name: capacity_of(team.limit).minus(used_by_team.get(name, Resources()))
        for name, team in teams_by_name.items()
    }
    for shortage in shortages:
        _take(shortage, shortage.count, room_by_team)
    demand = []
    for shortage in over_quota:
        room = room_by_team.get(shortage.ready.job.request.team)
        if room is None:
            continue
        request = shortage.ready.step.resources()
        count = count_within(request, room, shortage.count)
        if count:
            demand.append(msgspec.structs.replace(shortage, count=count))
            _take(shortage, count, room_by_team)
    return demand


def _take(
    shortage: Shortage, count: int, room_by_team: dict[str, Resources]
) -> None:
    team = shortage.ready.job.request.team
    if team in room_by_team:
        request = shortage.ready.step.resources()
        room_by_team[team] = room_by_team[team].minus(request.times(count))
