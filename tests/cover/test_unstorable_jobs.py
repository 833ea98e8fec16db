"""Jobs that the store can't hold, and deadlines that no request can have."""

import json
import math

import msgspec
import pytest

from coltsfootseam.jobs import (
    JobRequest,
    JobTable,
    Step,
    encode_progress,
    find_unstorable,
    max_tasks,
)
from coltsfootseam.results import OK
from tests.common.fleets import running_fleet
from tests.cover.test_calls_with_keys import call

JOB = "a" * 16
RECORD_BYTES = 262_144
WORKER_ID = "i-0123456789abcdef@1796356800000"
CHECKPOINT = "0123456789abcdef"


def job_of(*steps: Step) -> JobRequest:
    """Returns a job of steps."""
    return JobRequest("queue", "", steps, 0)


def unstorable(request: JobRequest) -> str | None:
    value = msgspec.msgpack.encode(request)
    return find_unstorable(request, "pool/" + JOB, value, RECORD_BYTES)


def test_a_job_whose_record_or_progress_does_not_fit_is_found() -> None:
    assert unstorable(job_of(Step(count=max_tasks(RECORD_BYTES)))) is None
    assert unstorable(job_of(Step(count=max_tasks(RECORD_BYTES) + 1)))
    assert unstorable(job_of(*[Step()] * (max_tasks(RECORD_BYTES) + 1)))
    assert unstorable(job_of(Step(image="a" * RECORD_BYTES)))


# Guards against jobs that are accepted though their progress is longer than a
# record: every owner of the pool repeats that append, and no job goes on.
def test_the_progress_of_the_largest_job_fits_into_a_record() -> None:
    table = JobTable(lambda request: 1)
    count = max_tasks(RECORD_BYTES)
    job = table.add(JOB, job_of(Step(count=count, checkpointing=True)), 0.0)
    for task in job.tasks():
        table.add_run(task, WORKER_ID, 0.0)
        task.checkpoint = CHECKPOINT
    assert len(encode_progress(job)) < RECORD_BYTES


async def test_a_job_of_too_many_tasks_is_refused_and_others_run() -> None:
    body = json.dumps({"spec": "", "steps": [{"count": 6000, "cpu": 1}]})
    async with running_fleet() as fleet:
        host = fleet.hosts[0]
        response = await call(fleet, host, "POST", body=body.encode())
        assert response.status == 413
        state = await fleet.state(host, JOB)
        assert state is not OK
        accepted = await fleet.submit(host, "b" * 16, Step(cpu_millis=1000))
        assert accepted is OK


async def test_a_job_of_too_many_steps_is_refused() -> None:
    steps: list[dict[str, int]] = [{}] * (max_tasks(RECORD_BYTES) + 1)
    body = json.dumps({"spec": "", "steps": steps}).encode()
    async with running_fleet() as fleet:
        response = await call(fleet, fleet.hosts[0], "POST", body=body)
        assert response.status in (400, 413)
        assert fleet.started(JOB) == 0


# Guards against requests that are held for as long as the store is away, since
# their callers claim to wait for ever.
@pytest.mark.parametrize("time_left_s", [math.inf, math.nan, 1e300, -1.0, None])
async def test_no_request_is_held_for_ever(time_left_s: float | None) -> None:
    async with running_fleet() as fleet:
        manager = fleet.hosts[0].manager
        assert manager is not None
        left_s = (
            manager.jobs.limits.deadline_s(time_left_s) - fleet.timers.now_s()
        )
        assert 0.0 <= left_s <= 60.0
