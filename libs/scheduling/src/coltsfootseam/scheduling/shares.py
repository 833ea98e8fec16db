"""Rules that share a full pool among teams.

A rule gets the ready steps in the job order and returns the order in which they
are served. Rules are registered by name in :data:`SHARE_RULES`.
"""

import heapq
from collections import deque
from collections.abc import Callable, Mapping, Set

import msgspec

from coltsfootseam.jobs import Resources, Team
from coltsfootseam.scheduling.ordering import ReadyStep, ServiceClass
from coltsfootseam.scheduling.registry import Registry

_MIN_WEIGHT = 1e-6
"""Lower bound of weights, so that a weight of 0 is no division by zero."""

_MAX_DEFERRAL = 6.0
"""A late job that has waited for so many times its objective competes by its
team's share alone again, so that it isn't put off for ever by jobs in time."""


class PoolShares(msgspec.Struct, frozen=True):
    """What a rule knows of a pool and its teams.

    Attributes:
        teams_by_name: The teams of the configuration.
        usage_by_team: What each team has running in the pool.
        capacity: Capacity of the pool's workers.
        free: The part of the capacity that nothing occupies.
        beyond_ids: Jobs that their team submitted beyond its contract.
    """

    teams_by_name: Mapping[str, Team]
    usage_by_team: Mapping[str, Resources]
    capacity: Resources
    free: Resources
    beyond_ids: Set[str] = frozenset()

    def weight_of(self, team: str) -> float:
        """Returns a team's weight.

        Steps without a team and those of a team that is no longer configured
        have the mean weight.
        """
        found = self.teams_by_name.get(team)
        if found is not None:
            return max(_MIN_WEIGHT, found.weight)
        weights = [other.weight for other in self.teams_by_name.values()]
        return max(_MIN_WEIGHT, sum(weights) / max(1, len(weights)))

    def dominant_share(self, used: Resources) -> float:
        """Returns the largest part of the capacity of any resource."""
        capacity = self.capacity
        return max(
            used.cpu_millis / max(1, capacity.cpu_millis),
            used.memory_mb / max(1, capacity.memory_mb),
            used.accelerators / max(1, capacity.accelerators),
        )


ShareRule = Callable[[list[ReadyStep], PoolShares], list[ReadyStep]]

SHARE_RULES: Registry[ShareRule] = Registry("share rule")
"""Rules that turn the job order into the order of service."""

_Level = tuple[ServiceClass, int, bool, bool]
"""Class, priority, whether beyond the contract, whether late."""


@SHARE_RULES.register("none")
def keep_job_order(
    ready_steps: list[ReadyStep], shares: PoolShares
) -> list[ReadyStep]:
    """Serves steps in the job order, whatever their teams use."""
    del shares
    return ready_steps


@SHARE_RULES.register("dominant")
def order_by_dominant_share(
    ready_steps: list[ReadyStep], shares: PoolShares
) -> list[ReadyStep]:
    """Serves the team with the least dominant share for its weight first.

    Teams are compared only within a class of service and a priority. There, all
    jobs within a contract come before those beyond one, and of both those that
    can be in time come before late ones. A team's own steps stay in the job
    order.

    Source: Ghodsi et al., "Dominant Resource Fairness", 2011.
    """
    steps_by_level: dict[_Level, dict[str, deque[ReadyStep]]] = {}
    for ready in ready_steps:
        steps_by_team = steps_by_level.setdefault(_level(ready, shares), {})
        team = ready.job.request.team
        steps_by_team.setdefault(team, deque()).append(ready)
    filling = _Filling(shares)
    served: list[ReadyStep] = []
    for level in sorted(steps_by_level):
        served.extend(filling.drain(steps_by_level[level]))
    return served


def _level(ready: ReadyStep, shares: PoolShares) -> _Level:
    service_class = ready.service_class()
    is_beyond = ready.job.id in shares.beyond_ids
    is_late = (
        service_class is ServiceClass.NORMAL
        and ready.slack_s() < 0
        and ready.waited_s < _MAX_DEFERRAL * ready.objective_s
    )
    return service_class, ready.queue.priority, is_beyond, is_late


class _Filling:
    """Progressive filling: serves one step at a time and counts it."""

    __slots__ = (
        "_capacity",
        "_free",
        "_shares",
        "_used_by_team",
        "_weights_by_team",
    )

    def __init__(self, shares: PoolShares) -> None:
        self._shares = shares
        self._used_by_team = {
            team: _amounts(used) for team, used in shares.usage_by_team.items()
        }
        self._free = _amounts(shares.free)
        self._capacity = [max(1, one) for one in _amounts(shares.capacity)]
        self._weights_by_team: dict[str, float] = {}

    def drain(
        self, steps_by_team: dict[str, deque[ReadyStep]]
    ) -> list[ReadyStep]:
        """Returns the steps of one level in the order of service."""
        queue = [
            (*self._rank(team), position, team)
            for position, team in enumerate(steps_by_team)
        ]
        heapq.heapify(queue)
        served = []
        while queue:
            _, _, position, team = queue[0]
            steps = steps_by_team[team]
            is_counted = False
            # A team keeps its rank until a step of it is counted.
            while steps and not is_counted:
                ready = steps.popleft()
                served.append(ready)
                is_counted = self._count(team, ready)
            if steps:
                heapq.heapreplace(queue, (*self._rank(team), position, team))
            else:
                heapq.heappop(queue)
        return served

    def _rank(self, team: str) -> tuple[float, int]:
        """Returns the share for the weight, then the team's priority."""
        share = 0.0
        used = self._used_by_team.get(team, (0, 0, 0))
        for amount, capacity in zip(used, self._capacity, strict=True):
            share = max(share, amount / capacity)
        found = self._shares.teams_by_name.get(team)
        priority = 0 if found is None else found.priority
        return share / self._weight(team), priority

    def _weight(self, team: str) -> float:
        if team not in self._weights_by_team:
            self._weights_by_team[team] = self._shares.weight_of(team)
        return self._weights_by_team[team]

    def _count(self, team: str, ready: ReadyStep) -> bool:
        """Counts a step as served, at most what it can get in this round.

        A wide step or gang that doesn't fit would otherwise be counted in full
        in each round, and its team's other steps would never get their turn.

        Returns:
            Whether anything was counted.
        """
        step = ready.step
        if step.best_effort:
            return False
        cpu_millis, memory_mb, accelerators = self._free
        if (
            step.cpu_millis > cpu_millis
            or step.memory_mb > memory_mb
            or step.accelerators > accelerators
        ):
            return False
        tasks = ready.occurrence.tasks_by_step[ready.number]
        waiting = sum(task.is_pending() for task in tasks)
        used = self._used_by_team.setdefault(team, [0, 0, 0])
        for index, amount in enumerate(_amounts(step.resources())):
            used[index] += min(amount * waiting, self._free[index])
        return True


def _amounts(resources: Resources) -> list[int]:
    return [
        resources.cpu_millis,
        resources.memory_mb,
        resources.accelerators,
    ]
