"""Placement never exceeds a worker's capacity or a step's limits."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootseam.jobs import Queue, Step
from coltsfootseam.scheduling import (
    Plan,
    ReadyStep,
    WorkerCapacity,
    plan_starts,
    step_placement,
)
from tests.common.plans import a_job

STEPS = st.builds(
    Step,
    count=st.integers(1, 12),
    cpu_millis=st.integers(100, 5000),
    memory_mb=st.integers(0, 5000),
    accelerators=st.integers(0, 2),
    estimate_ms=st.just(1000),
    gang=st.booleans(),
    same_rack=st.booleans(),
    label=st.sampled_from(["", "big"]),
    rack=st.sampled_from(["", "r1"]),
    per_worker_limit=st.integers(0, 3),
    best_effort=st.booleans(),
)
SIZES = st.tuples(
    st.integers(0, 16_000),
    st.integers(0, 16_000),
    st.integers(0, 4),
    st.booleans(),
)


def _plan(steps: list[Step], sizes: list[tuple[int, int, int, bool]]) -> Plan:
    queue = Queue("queue", "host", "/q/", "pool")
    ready = []
    for number, step in enumerate(steps):
        job = a_job(f"{number:016x}", step)
        ready.append(
            ReadyStep(job, job.occurrence(0), 0, step, queue, 0.0, 1.0, 9.0)
        )
    return plan_starts(ready, _workers(sizes), 0.0, lambda key, worker_id: "")


def _workers(sizes: list[tuple[int, int, int, bool]]) -> list[WorkerCapacity]:
    return [
        WorkerCapacity(
            worker_id=f"w{number}",
            zone="a",
            rack=f"r{number % 2}",
            labels=("big",) if is_big else (),
            free_cpu_millis=cpu_millis,
            free_memory_mb=memory_mb,
            free_accelerators=accelerators,
            counts_by_step={},
        )
        for number, (cpu_millis, memory_mb, accelerators, is_big) in enumerate(
            sizes
        )
    ]


@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    steps=st.lists(STEPS, min_size=1, max_size=5),
    sizes=st.lists(SIZES, max_size=5),
)
def test_no_plan_goes_beyond_a_worker_or_a_step(
    steps: list[Step], sizes: list[tuple[int, int, int, bool]]
) -> None:
    plan = _plan(steps, sizes)
    for number, (cpu_millis, memory_mb, accelerators, is_big) in enumerate(
        sizes
    ):
        tasks = [
            placement.task
            for placement in plan.placements
            if placement.worker_id == f"w{number}"
        ]
        counted = [task for task in tasks if not task.step.best_effort]
        assert sum(task.step.cpu_millis for task in counted) <= cpu_millis
        assert sum(task.step.memory_mb for task in tasks) <= memory_mb
        assert sum(task.step.accelerators for task in tasks) <= accelerators
        assert is_big or not any(task.step.label for task in tasks)
        for task in tasks:
            siblings = [one for one in tasks if one.id.job_id == task.id.job_id]
            limit = task.step.per_worker_limit
            assert not limit or len(siblings) <= limit


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    steps=st.lists(STEPS, min_size=1, max_size=4),
    sizes=st.lists(SIZES, max_size=5),
)
def test_tasks_placed_together_go_where_each_alone_would(
    steps: list[Step], sizes: list[tuple[int, int, int, bool]]
) -> None:
    together = _plan(steps, sizes)
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(
            step_placement, "_are_interchangeable", lambda tasks: False
        )
        alone = _plan(steps, sizes)
    assert [(one.task.id, one.worker_id) for one in together.placements] == [
        (one.task.id, one.worker_id) for one in alone.placements
    ]


@settings(derandomize=True, deadline=None, max_examples=100)
@given(
    steps=st.lists(STEPS, min_size=1, max_size=3),
    sizes=st.lists(SIZES, max_size=5),
)
def test_a_gang_is_placed_whole_and_every_task_once(
    steps: list[Step], sizes: list[tuple[int, int, int, bool]]
) -> None:
    plan = _plan(steps, sizes)
    ids = [placement.task.id for placement in plan.placements]
    assert len(ids) == len(set(ids))
    for number, step in enumerate(steps):
        placed = sum(1 for task in ids if task.job_id == f"{number:016x}")
        if step.gang:
            assert placed in (0, step.count)


def _plan_beside_surplus(count: int) -> list[str]:
    """Returns where tasks go, of which the first worker takes four."""
    step = Step(count=count, cpu_millis=1000, estimate_ms=1000)
    job = a_job("a" * 16, step)
    queue = Queue("queue", "host", "/q/", "pool")
    ready = ReadyStep(job, job.occurrence(0), 0, step, queue, 0.0, 1.0, 9.0)
    workers = _workers([(4000, 4000, 0, False), (4000, 4000, 0, False)])
    workers[1].is_surplus = True
    plan = plan_starts([ready], workers, 0.0, lambda key, worker_id: "")
    assert not plan.shortages
    return [placement.worker_id for placement in plan.placements]


def test_a_surplus_worker_gets_nothing_that_fits_elsewhere() -> None:
    assert _plan_beside_surplus(4) == ["w0"] * 4


# Guards against tasks that wait although a worker is about to be released.
def test_a_surplus_worker_gets_what_fits_nowhere_else() -> None:
    assert sorted(_plan_beside_surplus(6)) == ["w0"] * 4 + ["w1"] * 2


# Guards against late jobs that never start: with more to send than the host
# can, jobs that can still be in time always went before them.
@pytest.mark.parametrize(
    ("most", "most_late", "placed"),
    [(1, 2, ["0", "late"]), (2, 2, ["0", "1"]), (1, 0, ["0"])],
)
def test_a_late_step_starts_though_others_fill_the_limit(
    most: int, most_late: int, placed: list[str]
) -> None:
    queue = Queue("queue", "host", "/q/", "pool")
    step = Step(cpu_millis=100, estimate_ms=1000)
    waited_s_by_job = {"0": 0.0, "1": 0.0, "2": 0.0, "late": 100.0}
    ready = [
        ReadyStep(job, job.occurrence(0), 0, step, queue, waited_s, 1.0, 9.0)
        for job_id, waited_s in waited_s_by_job.items()
        for job in [a_job(job_id, step)]
    ]
    plan = plan_starts(
        ready,
        _workers([(16_000, 16_000, 0, False)]),
        0.0,
        lambda key, worker_id: "",
        max_placements=most,
        max_late_placements=most_late,
    )
    assert [item.task.id.job_id for item in plan.placements] == placed
    assert len(plan.undecided) == 4 - len(placed)
