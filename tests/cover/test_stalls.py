"""Workers on which tasks stand still or crawl are told from large tasks."""

from coltsfootseam.jobs import Run, RunPhase, Step, Task, TaskId
from coltsfootseam.scheduling import find_stalled


def running(
    index: int, progress: int, age_s: float, estimate_ms: int = 800
) -> tuple[Task, Run]:
    step = Step(estimate_ms=estimate_ms, cpu_millis=1000)
    run = Run(
        1,
        "w",
        RunPhase.RUNNING,
        running_s=10.0,
        progress=progress,
        progress_s=10.0 + age_s,
    )
    return Task(TaskId("a" * 16, 0, 0, index), step, runs=[run]), run


def test_tasks_without_any_progress_go_elsewhere() -> None:
    pairs = [running(number, 0, 1.5) for number in range(3)]
    assert find_stalled(pairs, 1.0) == pairs


def test_one_large_task_among_others_stays() -> None:
    pairs = [running(1, 15, 1.0), running(2, 90, 0.9), running(3, 95, 0.9)]
    assert find_stalled(pairs, 1.0) == []


def test_a_worker_on_which_all_crawl_is_left_but_for_what_is_nearly_done() -> (
    None
):
    slow = [running(1, 12, 1.0), running(2, 15, 1.0)]
    nearly = running(3, 80, 1.0)
    assert find_stalled([*slow, nearly], 1.0) == slow


def test_a_young_task_is_not_judged() -> None:
    assert find_stalled([running(1, 0, 0.5), running(2, 0, 0.5)], 1.0) == []


def test_tasks_that_last_are_not_judged() -> None:
    task, run = running(1, 0, 5.0)
    task.step = Step(estimate_ms=800, long_running=True)
    assert find_stalled([(task, run)], 1.0) == []
