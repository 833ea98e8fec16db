"""Many tasks start at once."""

from coltsfootseam.jobs import JobState, Step
from tests.common.fleets import running_fleet

JOB = "a" * 16
MOST_AT_ONCE = 64


async def test_starts_are_sent_a_few_at_a_time_and_none_is_given_up() -> None:
    async with running_fleet(workers=0) as fleet:
        for number in range(1, 5):
            fleet.add_worker(number, cores=100)
        await fleet.timers.advance(1.0)
        step = Step(count=350, cpu_millis=1000, estimate_ms=500)
        await fleet.accept(fleet.owner(), JOB, step)
        await fleet.wait_for_state(JOB, JobState.COMPLETED)
        assert fleet.started(JOB) == 350
        assert fleet.workers.most_starting <= MOST_AT_ONCE


async def test_a_start_that_waits_is_not_sent_once_its_job_is_cancelled() -> (
    None
):
    async with running_fleet(workers=0, duration_of=lambda task: 30.0) as fleet:
        for number in range(1, 3):
            fleet.add_worker(number, cores=100)
        await fleet.timers.advance(1.0)
        for worker in fleet.workers.workers_by_instance.values():
            worker.faults.late_share = 1.0
            worker.faults.late_s = 60.0
        step = Step(count=200, cpu_millis=1000, estimate_ms=30_000)
        await fleet.accept(fleet.owner(), JOB, step)
        await fleet.wait_until(lambda: fleet.workers.starting > 0)
        await fleet.cancel(fleet.owner(), JOB)
        for worker in fleet.workers.workers_by_instance.values():
            worker.faults.late_share = 0.0
        await fleet.timers.advance(5.0)
        assert fleet.started(JOB) == 0
