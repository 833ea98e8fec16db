"""Jobs of any shape: what a planning round looks at is limited.

The loop that plans also renews leases and answers callers.
"""

import asyncio
import time

import pytest

from bench.pool_states import QUEUE, make_state
from bench.round_costs import OVERDUE_JOB, SHAPES, add_large_jobs
from coltsfootseam.jobs import JobRequest, JobState, RunEnd, Step
from coltsfootseam.manager.pools import ready_steps
from coltsfootseam.manager.pools.planning import Planner
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.manager.pools.ready_steps import ReadySteps
from coltsfootseam.manager.pools.ticket_cache import TicketCache
from coltsfootseam.scheduling import critical_path_s
from tests.common.fleets import running_fleet

JOB = "a" * 16
OTHER_JOB = "b" * 16
SMALL = Step(cpu_millis=100, estimate_ms=900)
MAX_PROCESSOR_S = 0.5
"""A lease must be renewed within a fraction of its 4.3 s."""


def make_planner(state: PoolState) -> Planner:
    """Returns a planner without tickets."""
    return Planner(state, TicketCache(state, asyncio.Event()))


# Guards against rounds whose cost grows with the square of a job's steps, or
# with occurrences that are long overdue: leases lapsed meanwhile.
@pytest.mark.parametrize("shape", list(SHAPES))
def test_a_round_takes_a_limited_time_whatever_is_accepted(shape: str) -> None:
    state = make_state(8)
    add_large_jobs(state, shape, 20_000)
    planner = make_planner(state)
    for _ in range(6):
        started_s = time.process_time()
        planner.plan_runs(100)
        state.job_table.drain_changes()
        assert time.process_time() - started_s < MAX_PROCESSOR_S
        for task, run in state.job_table.runs.all_runs()[:20]:
            state.job_table.end_run(task, run, RunEnd.DONE, "", 1)


# Guards against steps that no round reaches: those behind many that never fit.
def test_steps_behind_many_that_never_fit_start_soon() -> None:
    state = make_state(2)
    never = Step(cpu_millis=10**9, estimate_ms=900)
    steps = (never,) * 3_000 + (SMALL,)
    state.job_table.add(JOB, JobRequest(QUEUE, "", steps, 1), 0.0)
    planner = make_planner(state)
    for _ in range(20):
        if planner.plan_runs(100):
            return
    pytest.fail("the last step was not placed")


# Guards against jobs that wait behind those that fill a round.
def test_a_small_job_behind_many_large_ones_starts_soon() -> None:
    state = make_state(2)
    add_large_jobs(state, "steps that never fit", 30_000)
    state.job_table.add(JOB, JobRequest(QUEUE, "", (SMALL,), 1), 0.0)
    planner = make_planner(state)
    for _ in range(30):
        if planner.plan_runs(100):
            return
    pytest.fail("the small job was not placed")


# Guards against 200,000 occurrences that all begin at once, each with a record.
def test_overdue_occurrences_begin_as_others_are_finished() -> None:
    state = make_state(2)
    request = JobRequest(QUEUE, "", (SMALL,), 1, 1, 1, 200_000)
    job = state.job_table.add(OVERDUE_JOB, request, 0.0)
    planner = make_planner(state)
    for _ in range(200):
        planner.plan_runs(100)
        pairs = state.job_table.runs.all_runs()
        assert pairs
        for task, run in pairs:
            state.job_table.end_run(task, run, RunEnd.DONE, "", 1)
        assert len(job.occurrences_by_number) < 1_000
    ranges = job.finished_occurrences.ranges()
    assert len(ranges) <= len(job.occurrences_by_number) + 1
    assert ranges[0][0] == 0


# Guards against starts before their time: an earlier owner, whose clock was
# ahead, has begun an occurrence that isn't due by the clock of this one.
def test_an_occurrence_that_was_begun_early_waits_until_it_is_due() -> None:
    state = make_state(2)
    due_ms = state.wall_ms() + 5_000
    request = JobRequest(QUEUE, "", (SMALL,), 1, due_ms, 1_000, 3)
    job = state.job_table.add(JOB, request, 0.0)
    job.occurrence(0)
    assert ReadySteps(state).collect() == []


def test_rounds_reach_every_step_of_a_large_job(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ready_steps, "_MAX_LOOKS_PER_JOB", 7)
    state = make_state(2)
    request = JobRequest(QUEUE, "", (SMALL,) * 10, 1, 1, 1, 3)
    state.job_table.add(JOB, request, 0.0)
    collector = ReadySteps(state)
    reached = set()
    for _ in range(12):
        for ready in collector.collect():
            reached.add((ready.occurrence.number, ready.number))
    assert reached == {(k, number) for k in range(3) for number in range(10)}


def test_remaining_paths_follow_the_steps_that_are_done() -> None:
    state = make_state(2)
    steps = (
        Step(estimate_ms=1000),
        Step(estimate_ms=2000, after=(0,)),
        Step(estimate_ms=5000),
        Step(estimate_ms=1000, after=(1, 2)),
    )
    job = state.job_table.add(JOB, JobRequest(QUEUE, "", steps, 1), 0.0)
    occurrence = job.occurrence(0)
    assert critical_path_s(job) == 6.0
    remaining_s = []
    for number in (2, 0, 1, 3):
        task = occurrence.tasks_by_step[number][0]
        run = state.job_table.add_run(task, "i-1@1", 0.0)
        state.job_table.end_run(task, run, RunEnd.DONE, "", 1)
        remaining_s.append(critical_path_s(job, occurrence))
    assert remaining_s == [4.0, 3.0, 1.0, 0.0]


# Guards against an owner that stops renewing leases for large jobs: lasting
# tasks of others lapsed and did not come back (review/12).
async def test_lasting_tasks_work_on_beside_jobs_of_many_steps() -> None:
    lasting = Step(count=3, cpu_millis=100, long_running=True)
    async with running_fleet(
        workers=3,
        duration_of=lambda task: 1e9 if task.job_id == OTHER_JOB else 0.5,
    ) as fleet:
        await fleet.accept(fleet.hosts[0], OTHER_JOB, lasting)
        await fleet.wait_until(lambda: fleet.started(OTHER_JOB) == 3)
        await fleet.accept(fleet.hosts[0], JOB, *(SMALL,) * 600)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, 60.0)
        assert fleet.started(OTHER_JOB) == 3
