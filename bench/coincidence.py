"""Compares ways to tell a deadly task from coincidence, on traces of crashes.

Jobs arrive at a pool of eight workers, and one job lasts. Workers crash by
themselves at random, at a base rate that differs between the traces. On half
of the traces some tasks crash each worker that starts them, one of them in a
second lasting job. Each way is played with the same arrivals and the same
crashes by the manager itself, in virtual time.
"""

import asyncio
import random
from collections.abc import Callable

import msgspec

from bench.results import Row, make_row, print_rows, write_rows
from coltsfootseam.jobs import JobState, Run, RunPair, Step, Task, TaskId
from coltsfootseam.manager.pools import crash_evidence
from coltsfootseam.scheduling import (
    CrashAssessment,
    assess_crash,
    find_unproven,
    is_confirmed,
    is_proven,
)
from coltsfootseam.scheduling.registry import Registry
from coltsfootseam.testbed.switchboard import replace
from tests.common.fleets import Fleet, running_fleet

RESULT_PATH = "bench/results/coincidence.json"

_SEEDS = range(4)
_WORKERS = 8
_CORES = 16
_JOBS = 150
_ARRIVAL_S = 0.2
_DEADLY_NUMBERS = (40, 41, 90)
_LASTING_ID = "a" * 16
_DEADLY_LASTING_ID = "b" * 16
_DEADLY_LASTING_NUMBER = 60
_LASTING = Step(
    count=5, cpu_millis=1000, long_running=True, may_miss=1, per_worker_limit=1
)
_LASTING_S = 1e9
_MIN_TASK_S = 0.4
_MAX_TASK_S = 1.4
_LIMIT_S = 30.0
_CRASH_INTERVALS_S = (0.0, 4.0, 1.6)
"""Mean time between crashes of the pool's workers, 0 for no crashes."""
_PROMPT_S = 0.25

AssessCrash = Callable[[list[RunPair], float], CrashAssessment]

WAYS: Registry[AssessCrash] = Registry("way to tell a cause from coincidence")


@WAYS.register("count crashes")
def assess_by_count(pairs: list[RunPair], rate: float) -> CrashAssessment:
    """Two crashes in isolation are proof, or three of a proven run."""
    del rate
    return _assess(pairs, lambda task, run: 3 if is_proven(run) else 2)


@WAYS.register("count crashes, spare lasting jobs")
def assess_but_lasting(pairs: list[RunPair], rate: float) -> CrashAssessment:
    """As above, but a lasting job is never given up."""
    assessment = assess_by_count(pairs, rate)
    culprits = [
        task for task in assessment.culprits if not task.step.long_running
    ]
    return CrashAssessment(assessment.suspects, culprits)


@WAYS.register("count prompt crashes")
def assess_prompt(pairs: list[RunPair], rate: float) -> CrashAssessment:
    """Two crashes are proof if the task ran for no longer than a moment."""
    del rate

    def needed(task: Task, run: Run) -> int:
        del run
        crash_count = len(task.crashed_worker_ids)
        is_prompt = task.exposure_s() <= _PROMPT_S * crash_count
        return 2 if is_prompt else crash_count + 1

    return _assess(pairs, needed)


@WAYS.register("four crashes")
def assess_four(pairs: list[RunPair], rate: float) -> CrashAssessment:
    """Four crashes are proof, the last in isolation."""
    del rate
    return _assess(pairs, lambda task, run: 4)


WAYS.register("against the base rate")(assess_crash)


def _assess(
    pairs: list[RunPair], needed: Callable[[Task, Run], int]
) -> CrashAssessment:
    """Returns culprits in isolation by a number of crashes, or suspects."""
    unproven = find_unproven(pairs)
    culprits = [
        task
        for task, run in pairs
        if run.is_isolated
        and is_confirmed(run)
        and all(other is task for other, _ in unproven)
        and len(task.crashed_worker_ids) >= max(2, needed(task, run))
    ]
    if culprits:
        return CrashAssessment([], culprits)
    return CrashAssessment(assess_crash(pairs).suspects, [])


class Outcome(msgspec.Struct):
    """What one way led to on one or more traces.

    Attributes:
        false_verdicts: Jobs without a deadly task that were failed.
        true_verdicts: Jobs with a deadly task that were failed.
        deadly_jobs: Jobs with a deadly task.
        crashes: Crashes under deadly tasks.
        most_crashes: Most crashes under one deadly task.
        lasting_stops: Stops of tasks of the lasting job without such a task.
    """

    false_verdicts: int = 0
    true_verdicts: int = 0
    deadly_jobs: int = 0
    crashes: int = 0
    most_crashes: int = 0
    lasting_stops: int = 0

    def add(self, other: "Outcome") -> None:
        """Adds the outcome on a further trace."""
        self.false_verdicts += other.false_verdicts
        self.true_verdicts += other.true_verdicts
        self.deadly_jobs += other.deadly_jobs
        self.crashes += other.crashes
        self.most_crashes = max(self.most_crashes, other.most_crashes)
        self.lasting_stops += other.lasting_stops


class Trace(msgspec.Struct, frozen=True):
    """Arrivals and crashes, the same for each way.

    Attributes:
        seed: Seed of the arrivals and crashes.
        crash_interval_s: Mean time between crashes of the pool's workers by
            themselves, 0 for none.
        has_deadly_tasks: Whether some tasks crash their workers.
    """

    seed: int
    crash_interval_s: float
    has_deadly_tasks: bool

    def deadly_ids(self) -> set[str]:
        """Returns the ids of the jobs with a deadly task."""
        if not self.has_deadly_tasks:
            return set()
        ids = {f"{number:016x}" for number in _DEADLY_NUMBERS}
        return ids | {_DEADLY_LASTING_ID}


def _duration_s(task: TaskId) -> float:
    if task.job_id in (_LASTING_ID, _DEADLY_LASTING_ID):
        return _LASTING_S
    # The same in each way, whatever was started before.
    return random.Random(repr(task)).uniform(_MIN_TASK_S, _MAX_TASK_S)


async def play(way: str, trace: Trace) -> Outcome:
    """Plays one way on one trace."""
    replace(crash_evidence, "assess_crash", WAYS.lookup(way))
    async with running_fleet(workers=0, duration_of=_duration_s) as fleet:
        for number in range(1, _WORKERS + 1):
            fleet.add_worker(number, cores=_CORES)
        await fleet.timers.advance(3.0)
        fleet.workers.deadly_tasks = {
            TaskId(job_id, 0, 0, 0) for job_id in trace.deadly_ids()
        }
        return await _observe(fleet, trace)


async def _observe(fleet: Fleet, trace: Trace) -> Outcome:
    arrivals = random.Random(trace.seed)
    crashes = random.Random(trace.seed)
    job_ids = [_LASTING_ID]
    await fleet.accept(fleet.hosts[0], _LASTING_ID, _LASTING)
    for number in range(_JOBS):
        step = Step(
            count=arrivals.randint(2, 8), cpu_millis=900, estimate_ms=900
        )
        job_ids.append(f"{number:016x}")
        await fleet.accept(fleet.hosts[0], job_ids[-1], step)
        if trace.has_deadly_tasks and number == _DEADLY_LASTING_NUMBER:
            job_ids.append(_DEADLY_LASTING_ID)
            await fleet.accept(fleet.hosts[0], _DEADLY_LASTING_ID, _LASTING)
        _crash_by_chance(fleet, trace, crashes)
        await fleet.timers.advance(_ARRIVAL_S)
    await fleet.timers.advance(_LIMIT_S)
    return _outcome(fleet, trace, job_ids)


def _crash_by_chance(fleet: Fleet, trace: Trace, rng: random.Random) -> None:
    """Crashes one of the workers, or none, whatever runs on it."""
    chance = rng.random()
    instance_id = f"i-{rng.randint(1, _WORKERS)}"
    interval_s = trace.crash_interval_s
    if not interval_s or chance > _ARRIVAL_S / interval_s:
        return
    if not fleet.workers.workers_by_instance[instance_id].is_dead:
        fleet.workers.kill(instance_id)
        fleet.workers.on_crash(instance_id)


def _outcome(fleet: Fleet, trace: Trace, job_ids: list[str]) -> Outcome:
    manager = fleet.owner().manager
    assert manager is not None
    (owner,) = manager.duties.owners_by_pool.values()
    assert owner.state is not None
    jobs_by_id = owner.state.job_table.jobs_by_id
    failed_ids = {
        job_id
        for job_id in job_ids
        if jobs_by_id[job_id].state is JobState.FAILED
    }
    deadly_ids = trace.deadly_ids()
    counts = [
        len(crashed) for crashed in fleet.workers.crashes_by_task.values()
    ]
    return Outcome(
        false_verdicts=len(failed_ids - deadly_ids),
        true_verdicts=len(failed_ids & deadly_ids),
        deadly_jobs=len(deadly_ids),
        crashes=sum(counts),
        most_crashes=max(counts, default=0),
        lasting_stops=_LASTING.count * (_LASTING_ID in failed_ids),
    )


def _rows(way: str, interval_s: float) -> list[Row]:
    """Plays one way at one base rate, with and without deadly tasks."""
    without, beside = Outcome(), Outcome()
    for seed in _SEEDS:
        without.add(asyncio.run(play(way, Trace(seed, interval_s, False))))
        beside.add(asyncio.run(play(way, Trace(seed, interval_s, True))))
    base = f"a crash each {interval_s:g} s" if interval_s else "no crashes"
    name = f"{way}; {base}"
    per_task = beside.crashes / beside.deadly_jobs
    stops = without.lasting_stops + beside.lasting_stops
    return [
        make_row(name, "false verdicts", "jobs", without.false_verdicts),
        make_row(
            name, "false beside deadly ones", "jobs", beside.false_verdicts
        ),
        make_row(
            name,
            "true verdicts",
            f"of {beside.deadly_jobs}",
            beside.true_verdicts,
        ),
        make_row(name, "crashes a deadly task", "crashes", per_task),
        make_row(
            name, "most under one of them", "crashes", beside.most_crashes
        ),
        make_row(name, "lasting tasks stopped", "tasks", stops),
    ]


def main() -> None:
    """Plays each way and writes the figures."""
    rows: list[Row] = []
    for way in WAYS.names():
        for interval_s in _CRASH_INTERVALS_S:
            rows.extend(_rows(way, interval_s))
    write_rows(RESULT_PATH, rows)
    print_rows(rows)


if __name__ == "__main__":
    main()
