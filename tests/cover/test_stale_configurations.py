"""Hosts that handle requests under a configuration that is out of date."""

import asyncio
from collections.abc import AsyncIterator

import msgspec
import pytest

from coltsfootseam.jobs import (
    Configuration,
    JobRequest,
    JobState,
    Pool,
    Queue,
    Step,
)
from coltsfootseam.results import OK, Refusal, ResultCode
from tests.common.fleets import (
    DEADLINE_S,
    OPERATOR,
    POOL,
    Fleet,
    Host,
    bookings_queue,
    running_fleet,
)

JOB = "a" * 16
OTHER = "other"
TASKS = 3
STEP = Step(count=TASKS, cpu_millis=100)
LASTING = Step(count=TASKS, cpu_millis=100, long_running=True)
FROZEN_S = 4.0
LATE_S = 6.0
HOSTS = 3


def configure(fleet: Fleet, version: int, pool: str) -> None:
    """Publishes a configuration that sends the queue to a pool."""
    queue = msgspec.structs.replace(bookings_queue(), pool=pool)
    configuration = Configuration(
        version,
        {queue.name: queue},
        {name: Pool(name, workers_guard=False) for name in (POOL, OTHER)},
    )
    fleet.store.put(
        OPERATOR, "configuration", msgspec.msgpack.encode(configuration)
    )


def is_lasting(task: object) -> float:
    return 1e9 if getattr(task, "job_id", "") == JOB[:-1] + "b" else 0.5


@pytest.fixture(name="fleet")
async def _fleet() -> AsyncIterator[Fleet]:
    async with running_fleet(hosts=HOSTS, duration_of=is_lasting) as fleet:
        fleet.add_worker(10, pool=OTHER)
        configure(fleet, 2, POOL)
        await fleet.wait_until(lambda: owns(fleet, OTHER))
        # Each host has stored a job of the queue in the first pool.
        for number, host in enumerate(fleet.hosts):
            await fleet.accept(host, f"{number:016x}", STEP)
        await fleet.timers.advance(2.0)
        yield fleet


def owns(fleet: Fleet, pool: str) -> bool:
    return any(host.owns(pool) for host in fleet.hosts)


def other_than(fleet: Fleet, frozen: Host) -> Host:
    return next(host for host in fleet.hosts if host is not frozen)


async def move_queue_while_frozen(fleet: Fleet, host: Host) -> None:
    """Sends the queue to the other pool while a host is frozen."""
    host.timers.is_frozen = True
    await fleet.timers.advance(1.0)
    configure(fleet, 5, OTHER)
    await fleet.timers.advance(FROZEN_S - 1.0)


def wake_with_old_configuration(host: Host) -> Queue:
    """Wakes a host, and returns the queue as the host still knows it."""
    host.timers.thaw()
    assert host.manager is not None
    queue = host.manager.jobs.find_queue("host", "/q/x")
    assert isinstance(queue, Queue)
    assert queue.pool == POOL
    return queue


async def submit_to_queue(fleet: Fleet, host: Host, queue: Queue) -> Refusal:
    """Has a host handle a job that it assigned to a queue a while ago."""
    assert host.manager is not None
    request = JobRequest(
        queue.name, "text", (STEP,), fleet.wall_ms(), terms=queue.terms()
    )
    deadline_s = fleet.timers.now_s() + DEADLINE_S
    jobs = host.manager.jobs
    return await fleet.run(jobs.submit(queue, JOB, request, deadline_s))


# Guards against a job that runs in two pools: a host that was frozen stored it
# in the pool of its old configuration as well.
@pytest.mark.parametrize("after_s", [0.0, 0.005, 0.02, 0.5])
@pytest.mark.parametrize("number", range(HOSTS))
async def test_a_job_that_waited_in_a_frozen_host_runs_in_one_pool(
    fleet: Fleet, number: int, after_s: float
) -> None:
    frozen = fleet.hosts[number]
    await move_queue_while_frozen(fleet, frozen)
    await fleet.accept(other_than(fleet, frozen), JOB, STEP)
    queue = wake_with_old_configuration(frozen)
    await fleet.timers.advance(after_s)
    outcome = await submit_to_queue(fleet, frozen, queue)
    while outcome is not OK:
        # It isn't told that the job doesn't exist, and may come back.
        assert outcome.code in (
            ResultCode.OUTCOME_UNKNOWN,
            ResultCode.NOT_RUN_OVERLOADED,
        )
        await fleet.timers.advance(0.1)
        outcome = await submit_to_queue(fleet, frozen, queue)
    await fleet.wait_for_state(JOB, JobState.COMPLETED)
    await fleet.timers.advance(5.0)
    assert fleet.started(JOB) == TASKS


# Guards against a job that runs in two pools: a host froze with a job in hand,
# and stored it in the pool of its old configuration when it woke.
@pytest.mark.parametrize("after_s", [0.0, 0.003, 0.006])
@pytest.mark.parametrize("number", range(HOSTS))
async def test_a_job_in_the_hands_of_a_host_that_freezes_runs_in_one_pool(
    fleet: Fleet, number: int, after_s: float
) -> None:
    frozen = fleet.hosts[number]
    assert frozen.manager is not None
    queue = frozen.manager.jobs.find_queue("host", "/q/x")
    assert isinstance(queue, Queue)
    frozen.store.faults.latency_s = 2 * after_s
    submitting = asyncio.ensure_future(submit_to_queue(fleet, frozen, queue))
    await fleet.timers.advance(after_s)
    await move_queue_while_frozen(fleet, frozen)
    await fleet.accept(other_than(fleet, frozen), JOB, STEP)
    frozen.timers.thaw()
    await submitting
    await fleet.wait_for_state(JOB, JobState.COMPLETED)
    await fleet.timers.advance(5.0)
    assert fleet.started(JOB) == TASKS


# Guards against a job that runs in two pools: the store carried out an append
# to the first pool's inbox after the job had been stored in the other one's.
@pytest.mark.parametrize("number", range(HOSTS))
async def test_a_job_whose_first_append_is_late_runs_in_one_pool(
    fleet: Fleet, number: int
) -> None:
    for host in fleet.hosts:
        host.store.faults.lost_reply_share = 1.0
        host.store.faults.delay_s = LATE_S
    outcome = await fleet.submit(fleet.hosts[number], JOB, STEP)
    assert outcome.code is ResultCode.OUTCOME_UNKNOWN
    for host in fleet.hosts:
        host.store.faults.lost_reply_share = 0.0
    configure(fleet, 5, OTHER)
    await fleet.timers.advance(0.5)
    await fleet.accept(fleet.hosts[number - 1], JOB, STEP)
    await fleet.timers.advance(LATE_S + 2.0)
    await fleet.wait_for_state(JOB, JobState.COMPLETED)
    assert fleet.started(JOB) == TASKS


# Guards against a cancellation without effect: a host that was frozen looked
# for the job in the pool of its old configuration only.
@pytest.mark.parametrize("number", range(HOSTS))
async def test_a_host_that_was_frozen_cancels_a_job_of_the_other_pool(
    fleet: Fleet, number: int
) -> None:
    frozen = fleet.hosts[number]
    lasting = JOB[:-1] + "b"
    await move_queue_while_frozen(fleet, frozen)
    await fleet.accept(other_than(fleet, frozen), lasting, LASTING)
    await fleet.wait_until(lambda: fleet.started(lasting) == TASKS)
    wake_with_old_configuration(frozen)
    assert await fleet.cancel(frozen, lasting) is OK
    await fleet.wait_for_state(lasting, JobState.CANCELLED)
    await fleet.timers.advance(1.0)
    worker = fleet.workers.workers_by_instance["i-10"]
    assert not worker.runs_by_task


# Guards against "no such job" for an accepted one: a host had read no record of
# the queue's other pool for some seconds.
@pytest.mark.parametrize("number", range(HOSTS))
async def test_a_host_that_was_frozen_knows_a_job_of_the_other_pool(
    fleet: Fleet, number: int
) -> None:
    frozen = fleet.hosts[number]
    await move_queue_while_frozen(fleet, frozen)
    await fleet.accept(other_than(fleet, frozen), JOB, STEP)
    wake_with_old_configuration(frozen)
    state = await fleet.state(frozen, JOB)
    assert state in (JobState.QUEUED, JobState.RUNNING, JobState.COMPLETED)


# Guards against a queue that no pool takes any more after it has moved to and
# fro.
async def test_a_queue_that_moves_to_and_fro_is_served(fleet: Fleet) -> None:
    for version in range(5, 12):
        pool = OTHER if version % 2 else POOL
        configure(fleet, version, pool)
        await fleet.timers.advance(0.3)
        job = f"{version:016x}"
        for host in fleet.hosts:
            outcome = await fleet.submit(host, job, STEP)
            assert outcome.code in (ResultCode.OK, ResultCode.OUTCOME_UNKNOWN)
        await fleet.timers.advance(3.0)
        await fleet.accept(fleet.hosts[0], job, STEP)
        await fleet.wait_for_state(job, JobState.COMPLETED)
        assert fleet.started(job) == TASKS
