"""Loads of several teams in one pool, and how each team was served."""

import statistics
from collections.abc import Sequence

import msgspec

from coltsfootseam.jobs import Team
from coltsfootseam.scheduling import Policies, PoolRules
from coltsfootseam.testbed.model.fleet import FleetModel
from coltsfootseam.testbed.model.load import (
    Arrival,
    JobKind,
    draw_arrivals,
)
from coltsfootseam.testbed.model.machines import ModelPlan
from coltsfootseam.testbed.model.report import Report

_PEAK_FACTOR = 5.0


class TeamDemand(msgspec.Struct, frozen=True):
    """What a team submits at a steady rate for a while.

    Attributes:
        kind: Its jobs; ``per_s`` is the rate.
        start_s: When it begins.
        length_s: For how long.
    """

    kind: JobKind
    start_s: float
    length_s: float


class TeamFigures(msgspec.Struct, frozen=True):
    """How the teams of one run were served.

    Attributes:
        report: Figures over all jobs.
        in_time_by_team: Share of each team's jobs in time.
        wait_s_by_team: Mean time beyond the critical path.
        longest_wait_s_by_team: Longest such time.
    """

    report: Report
    in_time_by_team: dict[str, float]
    wait_s_by_team: dict[str, float]
    longest_wait_s_by_team: dict[str, float]

    def worst_tenth(self, teams: Sequence[str]) -> float:
        """Returns the mean share in time of the worst tenth of some teams."""
        shares = sorted(
            self.in_time_by_team[team]
            for team in teams
            if team in self.in_time_by_team
        )
        return statistics.fmean(shares[: max(1, len(shares) // 10)])

    def mean_in_time(self, teams: Sequence[str]) -> float:
        """Returns the mean share in time of some teams."""
        return statistics.fmean(
            self.in_time_by_team[team]
            for team in teams
            if team in self.in_time_by_team
        )


def draw_team_arrivals(demands: list[TeamDemand], seed: int) -> list[Arrival]:
    """Draws the arrivals of all teams, in order of time.

    The draws of one demand don't depend on the others.
    """
    arrivals: list[Arrival] = []
    for number, demand in enumerate(demands):
        kind = msgspec.structs.replace(
            demand.kind, per_s=demand.kind.per_s / _PEAK_FACTOR
        )
        drawn = draw_arrivals(
            [kind], demand.length_s, demand.length_s, seed * 1000 + number
        )
        arrivals.extend(
            msgspec.structs.replace(
                arrival,
                at_s=demand.start_s + arrival.at_s,
                job_id=f"{number}-{arrival.job_id}",
            )
            for arrival in drawn
        )
    return sorted(arrivals, key=lambda arrival: (arrival.at_s, arrival.job_id))


def serve_teams(
    plan: ModelPlan,
    rule: str,
    teams: tuple[Team, ...],
    arrivals: list[Arrival],
    length_s: float,
) -> TeamFigures:
    """Runs the arrivals on a pool of fixed size under a share rule."""
    policies = Policies(shares=rule, pools=PoolRules(need="still"))
    model = FleetModel(plan, policies, teams)
    report = model.run(arrivals, length_s)
    done_s_by_id = model.done_s_by_id()
    in_time: dict[str, list[bool]] = {}
    waits_s: dict[str, list[float]] = {}
    for arrival in arrivals:
        done_s = done_s_by_id.get(arrival.job_id, model.now_s())
        took_s = done_s - arrival.at_s
        team = arrival.kind.team
        in_time.setdefault(team, []).append(took_s <= arrival.objective_s())
        waits_s.setdefault(team, []).append(
            max(0.0, took_s - arrival.critical_path_s())
        )
    return TeamFigures(
        report,
        {team: statistics.fmean(flags) for team, flags in in_time.items()},
        {team: statistics.fmean(waits) for team, waits in waits_s.items()},
        {team: max(waits) for team, waits in waits_s.items()},
    )
