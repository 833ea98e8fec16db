"""Compares ways to find the task that crashes its workers, on one trace.

Jobs arrive at a pool of eight workers. Some have a task that crashes each
worker that starts it; two workers crash for their own cause. Each way is played
with the same arrivals by the manager itself, in virtual time.
"""

import asyncio
import random
import statistics
from collections.abc import Callable

import msgspec

from bench.results import Row, make_row, print_rows, write_rows
from coltsfootseam.jobs import JobState, RunPair, Step, Task, TaskId
from coltsfootseam.manager.pools import crash_evidence
from coltsfootseam.scheduling import (
    CrashAssessment,
    assess_crash,
    find_unproven,
)
from coltsfootseam.scheduling.registry import Registry
from coltsfootseam.testbed.switchboard import replace
from tests.common.fleets import Fleet, running_fleet

RESULT_PATH = "bench/results/quarantine.json"

_SEED = 1
_WORKERS = 8
_CORES = 16
_JOBS = 60
_DEADLY_JOBS = (10, 11, 30)
_ARRIVAL_S = 0.2
_OWN_CRASHES_BY_JOB = {20: "i-3", 40: "i-6"}
_CULPRIT_CRASHES = 2
_MIN_TASK_S = 0.4
_MAX_TASK_S = 1.4
_LIMIT_S = 40.0
_PERCENTILE_95 = 18
"""Index among the 19 cuts that divide the values into twentieths."""

AssessCrash = Callable[[list[RunPair], float], CrashAssessment]

WAYS: Registry[AssessCrash] = Registry("way to assess a crash")


@WAYS.register("nothing")
def assess_nobody(pairs: list[RunPair], rate: float) -> CrashAssessment:
    """No crash counts."""
    del pairs, rate
    return CrashAssessment([], [])


@WAYS.register("everyone")
def assess_everyone(pairs: list[RunPair], rate: float) -> CrashAssessment:
    """Any task fails after two crashes, and nothing is isolated."""
    return CrashAssessment(
        [], [task for task, _ in pairs if _is_second_crash(task)]
    )


@WAYS.register("youngest")
def assess_youngest(pairs: list[RunPair], rate: float) -> CrashAssessment:
    """The task that started last fails after two crashes."""
    unproven = find_unproven(pairs)[:1]
    return CrashAssessment(
        [], [task for task, _ in unproven if _is_second_crash(task)]
    )


@WAYS.register("all alone")
def assess_all_alone(pairs: list[RunPair], rate: float) -> CrashAssessment:
    """Every task of a crashed worker is isolated."""
    assessment = assess_crash(pairs, rate)
    suspects = [] if assessment.culprits else [task for task, _ in pairs]
    return CrashAssessment(suspects, assessment.culprits)


@WAYS.register("spread")
def assess_spread(pairs: list[RunPair], rate: float) -> CrashAssessment:
    """Nothing is isolated; the only unproven task with two crashes is it."""
    again = [task for task, _ in find_unproven(pairs) if _is_second_crash(task)]
    return CrashAssessment([], again if len(again) == 1 else [])


WAYS.register("likely alone")(assess_crash)


def _is_second_crash(task: Task) -> bool:
    return len(task.crashed_worker_ids) >= _CULPRIT_CRASHES


class Outcome(msgspec.Struct):
    """What one way led to.

    Attributes:
        crashes: Crashes under tasks that crash their workers.
        lost_runs: Runs of other tasks that ended with a worker.
        failed_jobs: Other jobs that were failed.
        durations_s: Time from arrival to completion of the other jobs.
        max_down: Most workers that were down at once.
    """

    crashes: int = 0
    lost_runs: int = 0
    failed_jobs: int = 0
    durations_s: list[float] = []
    max_down: int = 0


async def _play(way: str) -> Outcome:
    replace(crash_evidence, "assess_crash", WAYS.lookup(way))

    def duration_of(task: TaskId) -> float:
        # The same in each way, whatever was started before.
        return random.Random(repr(task)).uniform(_MIN_TASK_S, _MAX_TASK_S)

    async with running_fleet(workers=0, duration_of=duration_of) as fleet:
        for number in range(1, _WORKERS + 1):
            fleet.add_worker(number, cores=_CORES)
        await fleet.timers.advance(3.0)
        return await _observe(fleet)


async def _observe(fleet: Fleet) -> Outcome:
    outcome = Outcome()
    arrived_s_by_job: dict[str, float] = {}
    rng = random.Random(_SEED)
    for number in range(_JOBS):
        job_id = f"{number:016x}"
        if number in _DEADLY_JOBS:
            fleet.workers.deadly_tasks.add(TaskId(job_id, 0, 0, 0))
        if number in _OWN_CRASHES_BY_JOB:
            fleet.workers.kill(_OWN_CRASHES_BY_JOB[number])
            fleet.workers.on_crash(_OWN_CRASHES_BY_JOB[number])
        step = Step(count=rng.randint(2, 8), cpu_millis=900, estimate_ms=900)
        await fleet.accept(fleet.hosts[0], job_id, step)
        arrived_s_by_job[job_id] = fleet.timers.now_s()
        await _advance(fleet, _ARRIVAL_S, outcome, arrived_s_by_job)
    await _advance(fleet, _LIMIT_S, outcome, arrived_s_by_job)
    workers = fleet.workers
    outcome.crashes = sum(
        len(crashed) for crashed in workers.crashes_by_task.values()
    )
    outcome.lost_runs = sum(
        len(lost)
        for task, lost in workers.lost_workers_by_task.items()
        if task not in workers.deadly_tasks
    )
    return outcome


async def _advance(
    fleet: Fleet,
    duration_s: float,
    outcome: Outcome,
    arrived_s_by_job: dict[str, float],
) -> None:
    end_s = fleet.timers.now_s() + duration_s
    while fleet.timers.now_s() < end_s and arrived_s_by_job:
        await fleet.timers.advance(0.05)
        workers = fleet.workers.workers_by_instance.values()
        down = sum(worker.is_dead for worker in workers)
        outcome.max_down = max(outcome.max_down, down)
        _record_ended(fleet, outcome, arrived_s_by_job)


def _record_ended(
    fleet: Fleet, outcome: Outcome, arrived_s_by_job: dict[str, float]
) -> None:
    manager = fleet.owner().manager
    assert manager is not None
    (owner,) = manager.duties.owners_by_pool.values()
    assert owner.state is not None
    deadly_ids = {task.job_id for task in fleet.workers.deadly_tasks}
    for job_id, arrived_s in list(arrived_s_by_job.items()):
        job = owner.state.job_table.jobs_by_id.get(job_id)
        if job is None or not job.stored_state.is_final:
            continue
        del arrived_s_by_job[job_id]
        if job_id in deadly_ids:
            continue
        if job.stored_state is JobState.FAILED:
            outcome.failed_jobs += 1
        else:
            outcome.durations_s.append(fleet.timers.now_s() - arrived_s)


def _rows(way: str, outcome: Outcome) -> list[Row]:
    cuts = statistics.quantiles(outcome.durations_s, n=20)
    per_task = outcome.crashes / len(_DEADLY_JOBS)
    return [
        make_row(way, "crashes a deadly task", "crashes", per_task),
        make_row(way, "runs of others lost", "runs", outcome.lost_runs),
        make_row(way, "jobs of others failed", "jobs", outcome.failed_jobs),
        make_row(
            way, "median of others", "s", statistics.median(outcome.durations_s)
        ),
        make_row(way, "95 of 100 of others", "s", cuts[_PERCENTILE_95]),
        make_row(way, "workers down at once", "workers", outcome.max_down),
    ]


def main() -> None:
    """Plays each way and writes the figures."""
    rows: list[Row] = []
    for way in WAYS.names():
        rows.extend(_rows(way, asyncio.run(_play(way))))
    write_rows(RESULT_PATH, rows)
    print_rows(rows)


if __name__ == "__main__":
    main()
