"""Many tasks start at once."""

from coltsfootseam.calls import EvacuationRequest
from coltsfootseam.jobs import JobState, Queue, Step
from tests.common.fleets import POOL, Fleet, running_fleet

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
        assert fleet.workers.max_starts_in_flight <= MOST_AT_ONCE


async def test_a_start_that_waits_is_not_sent_once_its_job_is_cancelled() -> (
    None
):
    async with running_fleet(workers=0, duration_of=lambda task: 30.0) as fleet:
        for number in range(1, 3):
            fleet.add_worker(number, cores=100)
        await fleet.timers.advance(1.0)
        for worker in fleet.workers.workers_by_instance.values():
            worker.faults.late_start_share = 1.0
            worker.faults.delay_s = 60.0
        step = Step(count=200, cpu_millis=1000, estimate_ms=30_000)
        await fleet.accept(fleet.owner(), JOB, step)
        await fleet.wait_until(lambda: fleet.workers.starts_in_flight > 0)
        await fleet.cancel(fleet.owner(), JOB)
        for worker in fleet.workers.workers_by_instance.values():
            worker.faults.late_start_share = 0.0
        await fleet.timers.advance(5.0)
        assert fleet.started(JOB) == 0


async def test_jobs_whose_starts_wait_to_be_sent_still_count_as_pending() -> (
    None
):
    async with running_fleet(workers=0, duration_of=lambda task: 30.0) as fleet:
        fleet.add_worker(1, cores=100)
        await fleet.timers.advance(1.0)
        worker = fleet.workers.workers_by_instance["i-1"]
        worker.faults.late_start_share = 1.0
        worker.faults.delay_s = 60.0
        host = fleet.owner()
        await fleet.accept(host, JOB)
        await fleet.wait_until(lambda: fleet.workers.starts_in_flight > 0)
        assert host.manager is not None
        jobs = host.manager.jobs
        queue = jobs.find_queue("host", "/q/x")
        assert isinstance(queue, Queue)
        assert await fleet.run(jobs.pending(queue)) == 1


BACKLOG_JOBS = 30
BACKLOG = Step(count=30, cpu_millis=1000, estimate_ms=500)
RUN_S = 0.5
SLOW_LINK_START_S = 0.005
BURST_STEPS = 30


async def overload_a_slow_link(fleet: Fleet) -> None:
    """Hands in over four times what the owner's link starts in a second."""
    for number in range(1, 11):
        fleet.add_worker(number, cores=100)
    await fleet.timers.advance(1.0)
    fleet.workers.start_transfer_s = SLOW_LINK_START_S
    for number in range(BACKLOG_JOBS):
        await fleet.accept(fleet.owner(), f"{number:016x}", BACKLOG)


async def test_a_slow_link_starts_urgent_work_before_its_backlog() -> None:
    # Guards against starts decided so early that what comes later waits.
    async with running_fleet(workers=0) as fleet:
        await overload_a_slow_link(fleet)
        began_s = fleet.timers.now_s()
        small = Step(cpu_millis=1000, estimate_ms=100)
        await fleet.accept(fleet.owner(), JOB, small)
        await fleet.wait_until(lambda: fleet.started(JOB) == 1)
        assert fleet.timers.now_s() - began_s < 1.2
        for number in range(BACKLOG_JOBS):
            await fleet.wait_for_state(f"{number:016x}", JobState.COMPLETED)


async def test_starts_that_a_slow_link_can_not_send_yet_claim_no_machines() -> (
    None
):
    # Guards against a pool that keeps machines from the others for nothing.
    async with running_fleet(workers=0) as fleet:
        await overload_a_slow_link(fleet)
        host = fleet.owner()
        assert host.manager is not None
        vacating = host.manager.duties.owners_by_pool[POOL].vacating
        assert vacating is not None
        # Whether the link is slow or the burst just large shows after a while.
        await fleet.timers.advance(1.0)
        reply = vacating.take(EvacuationRequest(POOL, [], [], 0))
        starts_a_second = 1 / SLOW_LINK_START_S
        assert reply.waiting_cores == 0.0
        assert reply.used_cores <= starts_a_second * (RUN_S + 1.0)
        counters = host.manager.context.counters.as_text()
        assert "pool_sending_slowly" in counters


async def test_a_burst_asks_for_all_its_machines_while_it_is_being_sent() -> (
    None
):
    # Guards against machines that come late as starts are still undecided.
    async with running_fleet(workers=0, duration_of=lambda task: 30.0) as fleet:
        for number in range(1, 5):
            fleet.add_worker(number, cores=100)
        await fleet.timers.advance(1.0)
        step = Step(count=40, cpu_millis=1000, estimate_ms=30_000)
        host = fleet.owner()
        assert host.manager is not None
        vacating = host.manager.duties.owners_by_pool[POOL].vacating
        assert vacating is not None
        await fleet.accept(host, JOB, *[step] * BURST_STEPS)
        asked_cores = []
        for _ in range(100):
            await fleet.timers.advance(0.02)
            reply = vacating.take(EvacuationRequest(POOL, [], [], 0))
            asked_cores.append(reply.used_cores + reply.waiting_cores)
        assert min(asked_cores) == BURST_STEPS * step.count
