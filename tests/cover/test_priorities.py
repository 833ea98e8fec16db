"""Queues of different priorities in a full pool."""

import math

from coltsfootseam.jobs import JobState, Queue, RunPair, Step, TaskId
from coltsfootseam.scheduling import (
    JOB_ORDERS,
    ReadyStep,
    ResourceClaim,
    Shortage,
    WorkerCapacity,
    plan_preemption,
    step_key,
)
from tests.common.fleets import POOL, QUEUE, Fleet, running_fleet
from tests.common.plans import a_job, a_running_task

URGENT = "u" * 16
PATIENT = "p" * 16
CHECKPOINTING = Step(
    count=4, cpu_millis=1000, estimate_ms=4000, checkpointing=True
)
PLAIN = Step(count=4, cpu_millis=1000, estimate_ms=4000)


def _configure(fleet: Fleet) -> None:
    fleet.configure(
        2,
        Queue(QUEUE, "host", "/q/", POOL, priority=1, attempts=3),
        Queue("urgent", "host", "/u/", POOL, priority=0, attempts=3),
    )


def _duration(task: TaskId) -> float:
    return 0.5 if task.job_id == URGENT else 4.0


async def test_urgent_work_takes_the_room_of_work_that_saves() -> None:
    async with running_fleet(workers=1, duration_of=_duration) as fleet:
        _configure(fleet)
        fleet.workers.checkpointing_jobs.add(PATIENT)
        await fleet.timers.advance(1.0)
        host = fleet.owner()
        await fleet.accept(host, PATIENT, CHECKPOINTING)
        await fleet.wait_until(lambda: fleet.started(PATIENT) == 4)
        await fleet.timers.advance(1.0)
        await fleet.accept(
            host,
            URGENT,
            Step(count=2, cpu_millis=1000, estimate_ms=500),
            path="/u/x",
        )
        await fleet.wait_until(lambda: fleet.started(URGENT) == 2, 1.4)
        await fleet.wait_for_state(PATIENT, JobState.COMPLETED)
        # Two of four tasks were preempted and resumed from their checkpoints.
        resumed = [
            order
            for order in fleet.workers.starts
            if order.task.job_id == PATIENT and order.number == 2
        ]
        assert len(resumed) == 2
        assert all(float(order.checkpoint) >= 1.0 for order in resumed)


async def test_urgent_tasks_wait_for_tasks_without_checkpoints() -> None:
    async with running_fleet(workers=1, duration_of=_duration) as fleet:
        _configure(fleet)
        await fleet.timers.advance(1.0)
        host = fleet.owner()
        await fleet.accept(host, PATIENT, PLAIN)
        await fleet.wait_until(lambda: fleet.started(PATIENT) == 4)
        await fleet.accept(host, URGENT, path="/u/x")
        await fleet.wait_for_state(URGENT, JobState.COMPLETED)
        assert fleet.started(PATIENT) == 4


async def test_equal_priorities_do_not_preempt_each_other() -> None:
    async with running_fleet(workers=1, duration_of=_duration) as fleet:
        fleet.workers.checkpointing_jobs.add(PATIENT)
        host = fleet.owner()
        await fleet.accept(host, PATIENT, CHECKPOINTING)
        await fleet.wait_until(lambda: fleet.started(PATIENT) == 4)
        await fleet.accept(host, URGENT)
        await fleet.wait_for_state(URGENT, JobState.COMPLETED)
        assert fleet.started(PATIENT) == 4


def test_priority_goes_before_slack() -> None:
    order = JOB_ORDERS.lookup("objective")
    urgent = _ready(URGENT, priority=0, objective_s=9.0)
    tight = _ready(PATIENT, priority=1, objective_s=0.1)
    assert sorted([tight, urgent], key=order) == [urgent, tight]


def test_stopping_runs_are_counted_before_others_are_preempted() -> None:
    stopping = a_running_task("s" * 16, "w1", CHECKPOINTING, is_stopping=True)
    working = a_running_task("t" * 16, "w1", CHECKPOINTING)
    claims = [ResourceClaim(*stopping, 1, 0.0), ResourceClaim(*working, 1, 0.0)]
    worker = _full_worker(stopping, working)
    one = Shortage(_ready(URGENT, priority=0), 1)
    assert plan_preemption([one], [worker], {"w1": claims}) == []
    both = Shortage(_ready(URGENT, priority=0), 2)
    stops = plan_preemption([both], [worker], {"w1": claims})
    assert [claim.task for claim in stops] == [working[0]]


def test_a_gang_stops_nothing_unless_all_of_it_finds_room() -> None:
    working = a_running_task("t" * 16, "w1", CHECKPOINTING)
    claims = {"w1": [ResourceClaim(*working, 1, 0.0)]}
    worker = _full_worker(working)
    gang = Step(count=2, cpu_millis=1000, gang=True)
    too_large = Shortage(_ready(URGENT, priority=0, step=gang), 2)
    assert plan_preemption([too_large], [worker], claims) == []
    # The runs that the gang could not use can be preempted for the next step.
    other = Shortage(_ready(URGENT, priority=0), 1)
    stops = plan_preemption([too_large, other], [worker], claims)
    assert [claim.task for claim in stops] == [working[0]]


def _full_worker(*pairs: RunPair) -> WorkerCapacity:
    worker = WorkerCapacity(
        "w1", "a", "r1", (), 1000 * len(pairs), 64_000, 0, counts_by_step={}
    )
    for task, _ in pairs:
        worker.reserve(task.step, step_key(task.id))
    return worker


def _ready(
    job_id: str,
    priority: int,
    objective_s: float = math.inf,
    step: Step = PLAIN,
) -> ReadyStep:
    job = a_job(job_id, step)
    queue = Queue(QUEUE, "host", "/q/", POOL, priority=priority)
    return ReadyStep(
        job, job.occurrence(0), 0, step, queue, 0.0, 0.0, objective_s
    )
