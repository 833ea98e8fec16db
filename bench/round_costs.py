"""Measures how long a planning round holds the loop, by the shape of jobs.

All runs in one process without a network. A round is planned on a pool whose
workers are full after a few rounds, and its changes are encoded. The same pool
takes steps that are independent or depend on each other, wide steps, small
jobs, and occurrences that are all overdue.
"""

import asyncio
import time
from collections.abc import Callable

from bench.pool_states import QUEUE, make_state
from bench.results import Row, make_row, print_rows, write_rows
from coltsfootseam.jobs import JobRequest, RunEnd, Step
from coltsfootseam.manager.pools.planning import Planner
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.manager.pools.ticket_cache import TicketCache

_SIZES = (1, 10, 100, 1_000, 10_000, 100_000)
_WORKERS = 40
_ROUNDS = 12
_ENDS_PER_ROUND = 20
_MAX_STARTS = 100
_MAX_PER_JOB = 3_000
_MS_PER_S = 1000
_LIMIT_S = 60.0
"""Rounds that take longer in all are not measured to the end."""

OVERDUE_JOB = "0" * 16
_SMALL = Step(cpu_millis=200, memory_mb=64, estimate_ms=900)
_TOO_LARGE = Step(cpu_millis=10**9, estimate_ms=900)


def _independent(count: int) -> tuple[Step, ...]:
    return (_SMALL,) * count


def _chained(count: int) -> tuple[Step, ...]:
    first = (_SMALL,)
    return first + tuple(
        Step(cpu_millis=200, memory_mb=64, estimate_ms=900, after=(number,))
        for number in range(count - 1)
    )


def _wide(count: int) -> tuple[Step, ...]:
    return (Step(count=count, cpu_millis=200, memory_mb=64, estimate_ms=900),)


def _unplaceable(count: int) -> tuple[Step, ...]:
    return (_TOO_LARGE,) * count


SHAPES: dict[str, Callable[[int], tuple[Step, ...]]] = {
    "independent steps": _independent,
    "chained steps": _chained,
    "tasks of wide steps": _wide,
    "steps that never fit": _unplaceable,
}


def add_large_jobs(state: PoolState, shape: str, size: int) -> None:
    """Adds jobs of a shape that have ``size`` tasks together."""
    number = 0
    while size > 0:
        steps = SHAPES[shape](min(size, _MAX_PER_JOB))
        request = JobRequest(QUEUE, "x", steps, state.wall_ms())
        state.job_table.add(f"{number:016x}", request, state.now_s())
        size -= _MAX_PER_JOB
        number += 1


def _add_small_jobs(state: PoolState, size: int) -> None:
    for number in range(size):
        request = JobRequest(QUEUE, "x", (_SMALL,), state.wall_ms())
        state.job_table.add(f"{number:016x}", request, state.now_s())


def _add_overdue_job(state: PoolState, size: int) -> None:
    request = JobRequest(
        QUEUE,
        "x",
        (_SMALL,),
        state.wall_ms(),
        first_ms=1,
        interval_ms=1,
        occurrences=size,
    )
    state.job_table.add(OVERDUE_JOB, request, state.now_s())


def measure(case: str, state: PoolState) -> list[Row]:
    """Measures rounds of a pool whose jobs have just arrived."""
    planner = Planner(state, TicketCache(state, asyncio.Event()))
    longest_s = 0.0
    total_s = 0.0
    stored_bytes = 0
    for _ in range(_ROUNDS):
        started_s = time.process_time()
        planner.plan_runs(_MAX_STARTS)
        changes = state.job_table.drain_changes()
        took_s = time.process_time() - started_s
        longest_s = max(longest_s, took_s)
        total_s += took_s
        stored_bytes += sum(
            len(change.value) for items in changes.values() for change in items
        )
        if total_s > _LIMIT_S:
            break
        for task, run in state.job_table.runs.all_runs()[:_ENDS_PER_ROUND]:
            state.job_table.end_run(task, run, RunEnd.DONE, "", 1)
    return [
        make_row(case, "longest round", "ms", longest_s * _MS_PER_S),
        make_row(case, "stored a round", "bytes", stored_bytes / _ROUNDS),
    ]


def _main() -> None:
    rows = []
    for size in _SIZES:
        for name in SHAPES:
            state = make_state(_WORKERS)
            add_large_jobs(state, name, size)
            rows += measure(f"{size} {name}", state)
        for name, add in (
            ("small jobs", _add_small_jobs),
            ("overdue occurrences", _add_overdue_job),
        ):
            state = make_state(_WORKERS)
            add(state, size)
            rows += measure(f"{size} {name}", state)
    print_rows(rows)
    write_rows("bench/results/round-costs.json", rows)


if __name__ == "__main__":
    _main()
