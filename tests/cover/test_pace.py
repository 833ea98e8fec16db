"""Best-effort tasks beside serving tasks with a target for tail latency."""

import math

import pytest

from coltsfootseam.jobs import Run, RunPhase, Step, Task, TaskId
from coltsfootseam.scheduling import plan_pace
from tests.common.fleets import running_fleet

SERVING = Step(
    cpu_millis=1000, estimate_ms=900, long_running=True, target_ms=100
)
BEST_EFFORT = Step(
    cpu_millis=1000, estimate_ms=900, long_running=True, best_effort=True
)


def _pair(
    step: Step, load: int = 0, pace: int | None = 100
) -> tuple[Task, Run]:
    run = Run(1, "w", RunPhase.RUNNING, load=load, pace=pace)
    task = Task(TaskId("a" * 16, 0, 0, 0), step, runs=[run])
    return task, run


@pytest.mark.parametrize(
    ("tail_ms", "pace", "expected"),
    [
        (50, 100, None),
        (50, 40, 50),
        (70, 40, None),
        (90, 100, 50),
        (99, 50, 25),
        (100, 100, 10),
        (140, 10, 0),
        (50, 0, 10),
    ],
)
def test_the_pace_falls_before_the_target_and_returns_in_small_steps(
    tail_ms: int, pace: int, expected: int | None
) -> None:
    changes = plan_pace(
        [_pair(SERVING, tail_ms)], [_pair(BEST_EFFORT, pace=pace)]
    )
    assert [change.percent for change in changes] == (
        [] if expected is None else [expected]
    )


def test_the_pace_is_ordered_again_if_an_earlier_owner_may_have_set_it() -> (
    None
):
    (change,) = plan_pace([], [_pair(BEST_EFFORT, pace=None)])
    assert change.percent == 100


async def test_filling_tasks_slow_down_before_a_tail_reaches_its_target() -> (
    None
):
    job_id = "a" * 16
    async with running_fleet(
        workers=1, duration_of=lambda task: math.inf
    ) as fleet:
        await fleet.accept(fleet.owner(), job_id, SERVING, BEST_EFFORT)
        await fleet.wait_until(lambda: fleet.started(job_id) == 2)
        await fleet.timers.advance(2.0)
        assert not fleet.workers.pace_orders
        fleet.workers.loads_by_task[TaskId(job_id, 0, 0, 0)] = 90
        await fleet.wait_until(lambda: bool(fleet.workers.pace_orders), 3.0)
        order = fleet.workers.pace_orders[0]
        assert order.task.step == 1
        assert order.percent < 100
