"""Without reservations plans are the same; with them they stay valid."""

from hypothesis import given, settings
from hypothesis import strategies as st

from coltsfootseam.jobs import Queue, Step
from coltsfootseam.scheduling import ReadyStep, WorkerCapacity, plan_starts
from coltsfootseam.scheduling.fits import fit_tightest
from coltsfootseam.scheduling.lookahead import (
    LOOK_AHEAD_RULES,
    LookAheadRule,
)
from coltsfootseam.scheduling.step_placement import place_step
from tests.common.plans import a_job
from tests.common.reservations import Pool

STEPS = st.builds(
    Step,
    count=st.integers(1, 6),
    cpu_millis=st.integers(500, 10_000),
    memory_mb=st.integers(0, 9000),
    estimate_ms=st.integers(1, 1500),
    gang=st.booleans(),
    same_rack=st.booleans(),
    per_worker_limit=st.integers(0, 3),
    best_effort=st.booleans(),
)
Placed = list[tuple[str, int, str]]


def _workers(sizes: list[int]) -> list[WorkerCapacity]:
    return [
        WorkerCapacity(
            f"w{number}",
            "a",
            f"r{number % 2}",
            (),
            size,
            16_000,
            0,
            counts_by_step={},
        )
        for number, size in enumerate(sizes)
    ]


def _ready(steps: list[Step]) -> list[ReadyStep]:
    queue = Queue("queue", "host", "/q/", "pool")
    ready = []
    for number, step in enumerate(steps):
        job = a_job(f"{number:016x}", step)
        ready.append(
            ReadyStep(job, job.occurrence(0), 0, step, queue, 0.0, 1.0, 9.0)
        )
    return ready


# Guards against a placement that differs although the policy is "none".
@settings(derandomize=True, deadline=None, max_examples=200)
@given(
    steps=st.lists(STEPS, min_size=1, max_size=8),
    sizes=st.lists(st.integers(0, 16_000), max_size=6),
)
def test_without_the_policy_each_step_takes_what_fits_in_turn(
    steps: list[Step], sizes: list[int]
) -> None:
    expected: Placed = []
    workers = _workers(sizes)
    for ready in _ready(steps):
        tasks = ready.occurrence.tasks_by_step[0]
        placed = place_step(
            ready, tasks, workers, lambda key, worker_id: "", fit_tightest
        )
        expected += [
            (one.task.id.job_id, one.task.id.index, one.worker_id)
            for one in placed
        ]
    plan = plan_starts(
        _ready(steps), _workers(sizes), 0.0, lambda key, worker_id: ""
    )
    found = [
        (one.task.id.job_id, one.task.id.index, one.worker_id)
        for one in plan.placements
    ]
    assert found == expected
    assert not LOOK_AHEAD_RULES.lookup("none").max_steps


# Guards against held capacity that is lost or given out twice, and against
# work that waits for ever. The pool checks the snapshot after each round.
@settings(derandomize=True, deadline=None, max_examples=40)
@given(
    steps=st.lists(STEPS, min_size=1, max_size=12),
    cores=st.lists(st.integers(4, 16), min_size=1, max_size=5),
    error=st.sampled_from([0.4, 1.0, 2.5]),
)
def test_no_worker_is_overcommitted_and_all_that_fits_is_started(
    steps: list[Step], cores: list[int], error: float
) -> None:
    pool = Pool(LookAheadRule(), cores)
    pool.error_of = lambda step: error
    expected = set()
    for number, step in enumerate(steps):
        job_id = f"{number:016x}"
        pool.submit(job_id, step)
        alone = Pool(LOOK_AHEAD_RULES.lookup("none"), cores)
        alone.submit(job_id, step)
        for _ in range(step.count):
            alone.run_round()
            alone.now_s += 10.0
        if alone.started(job_id) == step.count:
            expected.add(job_id)
    for _ in range(1000):
        plan = pool.run_round()
        used = dict.fromkeys(pool.workers, 0)
        for run in pool.runs:
            if not run.step.best_effort:
                used[run.worker_id] += run.step.cpu_millis
        for worker_id, size in pool.workers.items():
            assert used[worker_id] <= size * 1000
        if not plan.shortages:
            break
    for job_id in expected:
        assert pool.started(job_id) == steps[int(job_id, 16)].count
