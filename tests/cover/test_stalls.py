"""Workers on which tasks stall are distinguished from large tasks."""

from coltsfootseam.jobs import JobState, Run, RunPhase, Step, Task, TaskId
from coltsfootseam.scheduling import find_stalled
from tests.common.fleets import running_fleet


def running(
    index: int, progress: int, age_s: float, estimate_ms: int = 800
) -> tuple[Task, Run]:
    step = Step(estimate_ms=estimate_ms, cpu_millis=1000)
    run = Run(
        1,
        "w",
        RunPhase.RUNNING,
        started_s=10.0,
        progress=progress,
        progress_s=10.0 + age_s,
    )
    return Task(TaskId("a" * 16, 0, 0, index), step, runs=[run]), run


def test_tasks_without_any_progress_are_moved() -> None:
    pairs = [running(number, 0, 1.5) for number in range(3)]
    assert find_stalled(pairs, 1.0) == pairs


def test_one_large_task_among_others_stays() -> None:
    pairs = [running(1, 15, 1.0), running(2, 90, 0.9), running(3, 95, 0.9)]
    assert find_stalled(pairs, 1.0) == []


def test_all_slow_tasks_of_a_worker_are_moved_unless_nearly_done() -> None:
    slow = [running(1, 12, 1.0), running(2, 15, 1.0)]
    nearly = running(3, 80, 1.0)
    assert find_stalled([*slow, nearly], 1.0) == slow


def test_tasks_that_were_moved_once_are_not_moved_again_for_being_slow() -> (
    None
):
    slow = [running(1, 12, 1.0), running(2, 15, 1.0)]
    still = running(3, 0, 1.5)
    for task, _ in [*slow, still]:
        task.stall_count = 1
    assert find_stalled([*slow, still], 1.0) == [still]


async def test_tasks_far_larger_than_estimated_are_done_in_the_end() -> None:
    job_id = "a" * 16
    step = Step(count=4, cpu_millis=1000, estimate_ms=500)
    async with running_fleet(duration_of=lambda task: 6.0) as fleet:
        await fleet.accept(fleet.owner(), job_id, step)
        await fleet.wait_for_state(job_id, JobState.COMPLETED)
        assert fleet.started(job_id) <= 2 * step.count


def test_a_young_task_is_not_moved() -> None:
    assert find_stalled([running(1, 0, 0.5), running(2, 0, 0.5)], 1.0) == []


def test_long_running_tasks_are_not_moved() -> None:
    task, run = running(1, 0, 5.0)
    task.step = Step(estimate_ms=800, long_running=True)
    assert find_stalled([(task, run)], 1.0) == []
