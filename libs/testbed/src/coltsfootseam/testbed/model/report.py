"""What a play of the model came to."""

import statistics

import msgspec

from coltsfootseam.testbed.model.load import Arrival

_LATE_FACTOR = 3.0
_LATE_CREDIT = 0.07


class Sample(msgspec.Struct, frozen=True):
    """One pool at one moment, in cores, and its number of machines."""

    at_s: float
    pool: str
    used_cores: float
    waiting_cores: float
    machines: int


class Report(msgspec.Struct, frozen=True):
    """Figures of one play.

    Attributes:
        credit: Credit earned against the credit owed, by work.
        late_share: Share of jobs past their objective.
        mean_wait_s: Mean time beyond the longest chain of work.
        worst_wait_s: What 95 of 100 jobs stay below.
        small_wait_s: Mean of the smaller half of the jobs.
        large_wait_s: Mean of the largest tenth.
        wasted_core_s: Work thrown away.
        machine_s: Seconds of machines that were not on standby.
        moves: Machines that changed their pool.
        starts: Runs that were begun.
    """

    credit: float
    late_share: float
    mean_wait_s: float
    worst_wait_s: float
    small_wait_s: float
    large_wait_s: float
    wasted_core_s: float
    machine_s: float
    moves: int
    starts: int


def make_report(
    arrivals: list[Arrival],
    done_s_by_id: dict[str, float],
    end_s: float,
    wasted_core_s: float,
    machine_s: float,
    moves: int,
    starts: int,
) -> Report:
    """Sums a play up; jobs that aren't done count as done at its end."""
    waits = []
    credit = 0.0
    owed = 0.0
    late = 0
    for arrival in arrivals:
        took_s = done_s_by_id.get(arrival.job_id, end_s) - arrival.at_s
        waits.append(
            (arrival.core_s(), max(0.0, took_s - arrival.critical_path_s()))
        )
        owed += arrival.core_s()
        lateness = took_s / arrival.objective_s()
        late += lateness > 1.0
        if lateness <= 1.0:
            credit += arrival.core_s()
        elif lateness <= _LATE_FACTOR:
            credit += _LATE_CREDIT * arrival.core_s()
    waits.sort()
    ordered = sorted(wait for _, wait in waits)
    half = max(1, len(waits) // 2)
    tenth = max(1, len(waits) // 10)
    return Report(
        credit=credit / owed,
        late_share=late / len(arrivals),
        mean_wait_s=statistics.fmean(ordered),
        worst_wait_s=ordered[int(0.95 * (len(ordered) - 1))],
        small_wait_s=statistics.fmean(wait for _, wait in waits[:half]),
        large_wait_s=statistics.fmean(wait for _, wait in waits[-tenth:]),
        wasted_core_s=wasted_core_s,
        machine_s=machine_s,
        moves=moves,
        starts=starts,
    )
