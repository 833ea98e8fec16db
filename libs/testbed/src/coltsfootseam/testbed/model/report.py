"""Metrics of a run of the model."""

import statistics

import msgspec

from coltsfootseam.testbed.model.load import Arrival

_MAX_LATE_RATIO = 3.0
"""Jobs that take longer than this multiple of their objective earn nothing."""

_LATE_CREDIT_SHARE = 0.07
"""Share of its credit that a job earns if it misses its objective."""


class Sample(msgspec.Struct, frozen=True):
    """Used and waiting cores and the machines of one pool at one time."""

    at_s: float
    pool: str
    used_cores: float
    waiting_cores: float
    machines: int


class Report(msgspec.Struct, frozen=True):
    """Metrics of one run of the model.

    A job's wait is the time that it takes beyond its critical path.

    Attributes:
        credit: Share of the possible credit that was earned; jobs are weighted
            by their work.
        late_share: Share of jobs that took longer than their objective.
        mean_wait_s: Mean wait.
        worst_wait_s: 95th percentile of the waits.
        small_wait_s: Mean wait of the half of the jobs with the least work.
        large_wait_s: Mean wait of the tenth of the jobs with the most work.
        wasted_core_s: Work that was lost, in core seconds.
        machine_s: Machine seconds outside the standby pool.
        moves: Number of moves of machines between pools.
        starts: Number of runs that were started.
        small_in_time_share: Share of the half with the least work that met
            their objective.
        large_in_time_share: The same for the tenth with the most work.
        idle_core_s: Core seconds that were free while work waited.
        rejected_starts: Starts beyond the capacity of their worker.
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
    small_in_time_share: float
    large_in_time_share: float
    idle_core_s: float
    rejected_starts: int


def make_report(
    arrivals: list[Arrival],
    done_s_by_id: dict[str, float],
    end_s: float,
    wasted_core_s: float,
    machine_s: float,
    moves: int,
    starts: int,
    idle_core_s: float = 0.0,
    rejected_starts: int = 0,
) -> Report:
    """Returns the metrics; unfinished jobs count as done at ``end_s``."""
    work_and_waits = []
    work_and_results = []
    credit = 0.0
    possible = 0.0
    late = 0
    for arrival in arrivals:
        took_s = done_s_by_id.get(arrival.job_id, end_s) - arrival.at_s
        work_and_waits.append(
            (arrival.core_s(), max(0.0, took_s - arrival.critical_path_s()))
        )
        possible += arrival.core_s()
        ratio = took_s / arrival.objective_s()
        late += ratio > 1.0
        work_and_results.append((arrival.core_s(), ratio <= 1.0))
        if ratio <= 1.0:
            credit += arrival.core_s()
        elif ratio <= _MAX_LATE_RATIO:
            credit += _LATE_CREDIT_SHARE * arrival.core_s()
    work_and_waits.sort()
    work_and_results.sort()
    waits_s = sorted(wait for _, wait in work_and_waits)
    half = max(1, len(work_and_waits) // 2)
    tenth = max(1, len(work_and_waits) // 10)
    return Report(
        credit=credit / possible,
        late_share=late / len(arrivals),
        mean_wait_s=statistics.fmean(waits_s),
        worst_wait_s=waits_s[int(0.95 * (len(waits_s) - 1))],
        small_wait_s=statistics.fmean(
            wait for _, wait in work_and_waits[:half]
        ),
        large_wait_s=statistics.fmean(
            wait for _, wait in work_and_waits[-tenth:]
        ),
        wasted_core_s=wasted_core_s,
        machine_s=machine_s,
        moves=moves,
        starts=starts,
        small_in_time_share=statistics.fmean(
            in_time for _, in_time in work_and_results[:half]
        ),
        large_in_time_share=statistics.fmean(
            in_time for _, in_time in work_and_results[-tenth:]
        ),
        idle_core_s=idle_core_s,
        rejected_starts=rejected_starts,
    )
