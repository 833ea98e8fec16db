"""The rate at which workers crash whatever runs on them, and coincidence."""

import pytest

from coltsfootseam.jobs import Step, Task
from coltsfootseam.scheduling import CrashRate, assess_crash
from coltsfootseam.scheduling.crash_rate import (
    DEFAULT_RATE,
    coincidence,
    is_innocent,
)
from tests.common.plans import a_running_task

STEP = Step(cpu_millis=1000, estimate_ms=500)
LASTING = Step(cpu_millis=1000, long_running=True, may_miss=1)


def a_task(*crashed_worker_ids: str, exposure_s: float = 0.0) -> Task:
    """Returns a task that ran for a while under some crashes."""
    task, run = a_running_task("a" * 16, "w", STEP)
    run.started_s = 0.0
    run.progress_s = 0.0
    task.crashed_worker_ids = crashed_worker_ids
    task.ended_exposure_s = exposure_s
    return task


def test_workers_that_run_without_a_crash_lower_the_rate() -> None:
    rate = CrashRate()
    rate.record_workers(10, 0.0)
    rate.record_workers(10, 30.0)
    assert rate.per_worker_s(30.0) < DEFAULT_RATE / 2


def test_crashes_raise_the_rate_and_are_forgotten() -> None:
    rate = CrashRate()
    rate.record_workers(10, 0.0)
    for number in range(5):
        rate.record_crash(f"w{number}", [], 10.0)
    rate.record_workers(10, 10.0)
    soon = rate.per_worker_s(10.0)
    rate.record_workers(10, 600.0)
    assert soon > 0.02
    assert rate.per_worker_s(600.0) < soon / 10


# Guards against a dozen deadly tasks that look like a bad day, which would
# make the verdict on each of them take more crashes.
def test_a_crash_with_an_open_suspect_does_not_count() -> None:
    rate = CrashRate()
    suspect = a_task("w1")
    rate.record_crash("w1", [suspect], 0.0)
    assert rate.per_worker_s(0.0) == pytest.approx(DEFAULT_RATE)
    suspect.is_done = True
    assert rate.per_worker_s(0.0) == pytest.approx(3 * DEFAULT_RATE)


def test_a_crash_that_a_task_is_known_to_cause_does_not_count() -> None:
    rate = CrashRate()
    rate.record_crash("w1", [], 0.0)
    rate.leave_out(frozenset(["w1"]))
    assert rate.per_worker_s(0.0) == pytest.approx(DEFAULT_RATE)


def test_a_task_that_ran_well_elsewhere_is_innocent() -> None:
    assert not is_innocent(a_task("w1", "w2", exposure_s=0.5))
    assert is_innocent(a_task("w1", "w2", exposure_s=5.0))


@pytest.mark.parametrize("count", range(1, 6))
def test_coincidence_is_the_tail_of_a_poisson_distribution(count: int) -> None:
    mean = 0.2
    first_term = mean**count
    for number in range(1, count + 1):
        first_term /= number
    likelihood = coincidence(0.02, 10.0, count)
    assert first_term * 0.8 < likelihood < first_term


# Guards against a lasting task that is blamed for the crashes of a bad day:
# it was on its workers for so long that some of them had to crash.
def test_four_crashes_in_half_a_minute_are_no_proof() -> None:
    task, run = a_running_task("a" * 16, "w", LASTING)
    run.started_s, run.progress_s, run.is_isolated = 0.0, 6.2, True
    task.ended_exposure_s = 21.1
    task.crashed_worker_ids = ("a", "b", "c", "w")
    assessment = assess_crash([(task, run)], rate=1 / 60)
    assert assessment.culprits == []
    assert assessment.suspects == []


# Guards against a verdict that takes as few crashes on a bad day as on a calm
# one: a task that is young as its worker crashes may be so twice.
@pytest.mark.parametrize(
    ("rate", "needed"), [(1 / 500, 2), (1 / 30, 3), (1 / 5, 4)]
)
def test_more_prompt_crashes_are_asked_for_where_workers_crash_often(
    rate: float, needed: int
) -> None:
    for count in range(2, 6):
        ids = [f"w{number}" for number in range(count)]
        task = a_task(*ids, exposure_s=0.02 * count)
        run = task.runs[0]
        run.is_isolated = True
        is_culprit = assess_crash([(task, run)], rate).culprits == [task]
        assert is_culprit == (count >= needed)
