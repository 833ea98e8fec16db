"""Which tasks a crash of a worker makes suspect or culprits."""

from coltsfootseam.jobs import RunPair, Step
from coltsfootseam.scheduling import assess_crash
from tests.common.plans import a_running_task

STEP = Step(cpu_millis=1000, estimate_ms=500)
GANG = Step(count=2, cpu_millis=1000, estimate_ms=500, gang=True)


def a_pair(
    number: int,
    *earlier_crashes: str,
    started_s: float | None = 9.0,
    reported_s: float | None = None,
    is_isolated: bool = False,
) -> RunPair:
    """Returns a task and its run on the worker ``w`` that crashed at 10 s."""
    task, run = a_running_task(f"{number:016x}", "w", STEP)
    task.crashed_worker_ids = (*earlier_crashes, "w")
    run.started_s = started_s
    run.progress_s = reported_s
    run.is_isolated = is_isolated
    return task, run


def test_runs_that_were_never_reported_are_suspects_before_proven_ones() -> (
    None
):
    proven = a_pair(1, started_s=3.0, reported_s=9.9)
    unproven = a_pair(2)
    assert assess_crash([proven, unproven]).suspects == [unproven[0]]


def test_a_crash_makes_only_a_few_of_many_runs_suspects() -> None:
    pairs = [a_pair(number, started_s=float(number)) for number in range(20)]
    suspects = assess_crash(pairs).suspects
    youngest = [pairs[number][0] for number in range(19, 11, -1)]
    assert suspects == youngest


def test_a_second_crash_makes_an_unproven_task_a_suspect_among_many() -> None:
    pairs = [a_pair(number, started_s=9.5) for number in range(20)]
    again = a_pair(10, "earlier", started_s=9.0)
    assert assess_crash([*pairs, again]).suspects[0] is again[0]


def test_a_task_that_crashes_late_is_a_suspect_by_its_third_crash() -> None:
    late = a_pair(1, "a", "b", started_s=3.0, reported_s=9.9)
    assert late[0] in assess_crash([late, a_pair(2)]).suspects


def test_one_crash_alone_proves_nothing() -> None:
    assessment = assess_crash([a_pair(1, is_isolated=True)])
    assert assessment.culprits == []
    assert len(assessment.suspects) == 1


def test_a_second_crash_in_isolation_is_proof() -> None:
    pair = a_pair(1, "earlier", is_isolated=True)
    assessment = assess_crash([pair])
    assert assessment.culprits == [pair[0]]
    assert assessment.suspects == []


def test_a_second_crash_beside_another_unproven_run_is_no_proof() -> None:
    pair = a_pair(1, "earlier", is_isolated=True)
    assert assess_crash([pair, a_pair(2)]).culprits == []


# Guards against a job that fails because a worker had crashed before the
# order to start its task arrived there.
def test_a_run_that_its_worker_never_confirmed_is_no_proof() -> None:
    pair = a_pair(1, "earlier", started_s=None, is_isolated=True)
    assessment = assess_crash([pair])
    assert assessment.culprits == []
    assert assessment.suspects == [pair[0]]


def test_members_of_a_gang_are_culprits_together() -> None:
    task, run = a_running_task("a" * 16, "w", GANG)
    task.crashed_worker_ids = ("earlier", "w")
    run.is_isolated = True
    other, other_run = a_running_task("a" * 16, "w", GANG)
    other.crashed_worker_ids = ("earlier", "w")
    other_run.is_isolated = True
    assert assess_crash([(task, run), (other, other_run)]).culprits == [
        task,
        other,
    ]
