"""A few tasks of a step are far slower than the rest."""

import msgspec
import pytest

from coltsfootseam.jobs import JobState, Step
from coltsfootseam.scheduling import (
    SPECULATION_RULES,
    SlowRun,
    WorkerCapacity,
    find_slow_runs,
    plan_speculative_copies,
)
from tests.common.fleets import Fleet, running_fleet
from tests.common.plans import a_running_task

JOB = "a" * 16
STEP = Step(count=3, cpu_millis=1000, estimate_ms=1000, per_worker_limit=1)


async def _time_with_one_slow_worker(fleet: Fleet, step: Step) -> float:
    """Runs one task on each of three workers, of which one turns slow."""
    start_s = fleet.timers.now_s()
    await fleet.accept(fleet.owner(), JOB, step)
    await fleet.wait_until(lambda: fleet.started(JOB) == 3)
    slow = next(
        worker
        for worker in fleet.workers.workers_by_instance.values()
        if worker.runs_by_task
    )
    slow.faults.slowness = 10.0
    await fleet.wait_for_state(JOB, JobState.COMPLETED)
    return fleet.timers.now_s() - start_s


async def test_a_slow_task_gets_a_copy_where_its_step_allows() -> None:
    async with running_fleet(workers=4, duration_of=lambda task: 1.0) as fleet:
        fleet.workers.duplicable_jobs.add(JOB)
        step = msgspec.structs.replace(STEP, duplicable=True)
        assert await _time_with_one_slow_worker(fleet, step) < 4.0
        assert fleet.started(JOB) == 4


async def test_a_slow_task_runs_once_where_copies_are_not_allowed() -> None:
    async with running_fleet(workers=4, duration_of=lambda task: 1.0) as fleet:
        assert await _time_with_one_slow_worker(fleet, STEP) > 8.0
        assert fleet.started(JOB) == 3


def test_no_copy_goes_to_the_same_a_slow_or_a_full_worker() -> None:
    slow = _slow_run(age_s=3.0, reported_age_s=3.0, progress=10)
    workers = [
        _worker("w1"),
        _worker("w2", slowness=2.0),
        _worker("w3", free_cpu_millis=500),
        _worker("w4", is_open=False),
    ]
    tickets: dict[str, str | None] = {
        worker.worker_id: "" for worker in workers
    }
    assert plan_speculative_copies([slow], workers, tickets) == []
    workers.append(_worker("w5"))
    assert plan_speculative_copies([slow], workers, tickets) == []
    tickets["w5"] = "ticket"
    (copy,) = plan_speculative_copies([slow], workers, tickets)
    assert copy.worker_id == "w5"
    assert copy.ticket == "ticket"


@pytest.mark.parametrize(
    ("name", "age_s", "reported_age_s", "progress", "expected"),
    [
        ("never", 9.0, 9.0, 0, False),
        ("overdue", 1.1, 1.1, 0, False),
        ("overdue", 1.3, 0.1, 90, True),
        ("remaining", 1.3, 1.3, 90, False),
        ("remaining", 1.3, 1.3, 40, True),
        ("remaining", 1.3, 1.3, 0, True),
        ("remaining", 1.3, 0.3, 20, False),
    ],
)
def test_rules_by_age_and_progress(
    name: str,
    age_s: float,
    reported_age_s: float,
    progress: int,
    expected: bool,
) -> None:
    slow = _slow_run(age_s, reported_age_s, progress)
    assert SPECULATION_RULES.lookup(name)(slow) is expected


def test_a_task_with_two_runs_gets_no_third() -> None:
    task, run = a_running_task(JOB, "w1", STEP)
    task.runs = [run, run]
    rule = SPECULATION_RULES.lookup("overdue")
    assert find_slow_runs([task], 1.0, 5.0, rule) == []
    task.runs = [run]
    assert len(find_slow_runs([task], 1.0, 5.0, rule)) == 1


def test_an_unknown_rule_is_named() -> None:
    with pytest.raises(ValueError, match="unknown copy rule 'x'"):
        SPECULATION_RULES.lookup("x")


def _slow_run(age_s: float, reported_age_s: float, progress: int) -> SlowRun:
    task, run = a_running_task(JOB, "w1", STEP, progress=progress)
    return SlowRun(task, run, 1.0, age_s, reported_age_s)


def _worker(
    worker_id: str,
    free_cpu_millis: int = 4000,
    slowness: float = 1.0,
    is_open: bool = True,
) -> WorkerCapacity:
    return WorkerCapacity(
        worker_id,
        "a",
        "r1",
        (),
        free_cpu_millis,
        64_000,
        0,
        is_open=is_open,
        slowness=slowness,
        counts_by_step={},
    )
