"""Quotas of teams, as operators see them."""

import msgspec

from coltsfootseam.jobs import Resources, Task
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.manager.quotas.coordinator import QuotaCoordinator
from coltsfootseam.manager.quotas.pool_quotas import PoolQuotas
from coltsfootseam.manager.quotas.usage import UNITS
from coltsfootseam.scheduling import step_key


class TeamStatus(msgspec.Struct):
    """What a team may use, uses and waits for, over all pools.

    Attributes:
        team: Name of the team.
        limit: Its limit; 0 is no limit in a resource.
        granted_by_pool: What each pool may use.
        running: What its runs use.
        waiting: What its tasks that wait for quota or machines would use.
        age_s: Age of the oldest report that this is from, ``None`` if no pool
            has reported on the team.
    """

    team: str
    limit: Resources
    granted_by_pool: dict[str, Resources]
    running: Resources
    waiting: Resources
    age_s: float | None = None


class TeamsStatus(msgspec.Struct):
    """The quotas of all teams, if this host divides them.

    Attributes:
        host_id: Name of the entry host.
        is_coordinator: Whether it divides the quotas.
        epoch: Epoch of the coordinator.
        confirmed_age_s: How long ago the store confirmed that epoch.
        missing_pools: Pools that it hasn't heard from; nothing more is granted
            before it has.
        teams: The teams that have a limit or use something.
    """

    host_id: str
    is_coordinator: bool
    epoch: int = 0
    confirmed_age_s: float = 0.0
    missing_pools: list[str] = []
    teams: list[TeamStatus] = []


def teams_status(
    context: Context,
    cluster: ClusterState,
    coordinator: QuotaCoordinator | None,
) -> TeamsStatus:
    """Returns the quotas of all teams, as the coordinator knows them."""
    if coordinator is None:
        return TeamsStatus(context.host_id, is_coordinator=False)
    configuration = cluster.configuration
    teams = {} if configuration is None else configuration.teams_by_name
    names = set(teams)
    for pool in coordinator.pools_by_name.values():
        names.update(pool.teams)
    now_s = context.timers.now_s()
    return TeamsStatus(
        host_id=context.host_id,
        is_coordinator=True,
        epoch=coordinator.ledger.epoch,
        confirmed_age_s=round(coordinator.confirmed_age_s(), 2),
        missing_pools=coordinator.ledger.missing_pools(),
        teams=[
            _team_status(
                coordinator,
                name,
                teams[name].limit if name in teams else Resources(),
                now_s,
            )
            for name in sorted(names)
        ],
    )


def quota_reason(state: PoolState, task: Task) -> str:
    """Returns that a task waits for its team's quota, empty if it doesn't."""
    quotas = state.quotas
    if quotas is None:
        return ""
    wait = quotas.waits.by_step.get(step_key(task.id))
    if wait is None:
        return ""
    age_s = quotas.granted_age_s()
    age = "not granted yet" if age_s is None else f"granted {age_s:.1f} s ago"
    amount = _binding_amount(quotas, wait.team, wait.request)
    return f"its team's quota: {amount} in this pool, {age}"


def _binding_amount(quotas: PoolQuotas, team: str, request: Resources) -> str:
    """Returns use and quota of the resource that a task lacks."""
    used = quotas.used(team)
    held = quotas.held(team)
    lacking = [
        unit
        for unit in UNITS
        if getattr(request, unit[0]) > 0
        and getattr(used, unit[0]) + getattr(request, unit[0])
        > getattr(held, unit[0])
    ]
    name, scale, label = (lacking or UNITS)[0]
    used_amount = getattr(used, name) / scale
    return f"{used_amount:.1f} of {getattr(held, name) / scale:.1f} {label}"


def _team_status(
    coordinator: QuotaCoordinator, team: str, limit: Resources, now_s: float
) -> TeamStatus:
    running = Resources()
    waiting = Resources()
    ages_s = []
    for pool in coordinator.pools_by_name.values():
        report = pool.teams.get(team)
        if report is None:
            continue
        running = running.plus(report.used)
        waiting = waiting.plus(report.waiting)
        ages_s.append(now_s - pool.received_s)
    return TeamStatus(
        team,
        limit,
        dict(coordinator.ledger.grants_by_pool(team)),
        running,
        waiting,
        round(max(ages_s), 2) if ages_s else None,
    )
