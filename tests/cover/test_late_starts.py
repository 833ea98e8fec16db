"""Starts of which an unanswered copy reaches a later life of their worker.

A call that isn't answered may be carried out up to twelve seconds later, by
whatever process is at the worker's address by then.
"""

import asyncio

import pytest

from coltsfootseam.jobs import JobState, Step, TaskId
from coltsfootseam.standins.memory_worker import MemoryWorker
from tests.common.fleets import WORKERS, Fleet, running_fleet

JOB = "c" * 16
TASK = TaskId(JOB, 0, 0, 0)
TASKS = 4
LONG_TASK_S = 30.0
LIMIT_S = 150.0
UNLISTED_S = 1.0
"""Time from the return of a worker until its entry shows that."""


async def start_with_late_copy(
    fleet: Fleet, delay_s: float, lost_replies_s: float = 0.0
) -> MemoryWorker:
    """Has a task run whose first copy of the start is still under way.

    Args:
        fleet: The deployment.
        delay_s: How long after it was sent the first copy is carried out.
        lost_replies_s: How long replies to later copies are lost, so that only
            a heartbeat shows the run.

    Returns:
        The worker that runs the task.
    """
    workers = fleet.workers.workers_by_instance.values()
    for worker in workers:
        worker.faults.late_start_share = 1.0
        worker.faults.delay_s = delay_s
    await fleet.accept(fleet.hosts[0], JOB, Step(cpu_millis=1000))
    await fleet.wait_until(lambda: fleet.workers.starts_in_flight > 0)
    await fleet.timers.advance(0.1)
    for worker in workers:
        worker.faults.late_start_share = 0.0
        worker.faults.loses_start_replies = lost_replies_s > 0
    await fleet.wait_until(lambda: fleet.started(JOB) == 1)
    await fleet.timers.advance(lost_replies_s)
    for worker in workers:
        worker.faults.loses_start_replies = False
    return next(worker for worker in workers if TASK in worker.runs_by_task)


async def restart(fleet: Fleet, worker: MemoryWorker, down_s: float) -> None:
    """Ends a worker's life; its next one is listed a while after it began."""
    instance_id = worker.entry.instance_id
    fleet.workers.kill(instance_id)
    await fleet.timers.advance(down_s)
    fleet.restart_worker(instance_id, fleet.wall_ms())
    current = fleet.workers.workers_by_instance[instance_id].entry
    fleet.put_entry(worker.entry)
    fleet.timers.schedule(UNLISTED_S, lambda: fleet.put_entry(current))


# Guards against a run taken for ended with its worker's life, as the reply to a
# later copy of its start confirmed it, while the first copy reached the next.
@pytest.mark.parametrize("delay_s", [3.0, 6.0, 11.5])
@pytest.mark.parametrize("lost_replies_s", [0.0, 1.5])
async def test_a_copy_that_arrives_in_the_next_life_runs_beside_no_other(
    delay_s: float, lost_replies_s: float
) -> None:
    async with running_fleet(
        workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        sent_s = fleet.timers.now_s()
        worker = await start_with_late_copy(fleet, delay_s, lost_replies_s)
        crash_s = sent_s + delay_s - 0.7
        await fleet.timers.advance(crash_s - fleet.timers.now_s())
        await restart(fleet, worker, down_s=0.4)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)


# Guards against a start elsewhere while the copy is under way to a worker that
# is down: the wait counted 3 s for it, and it may take twelve.
async def test_a_copy_may_arrive_twelve_seconds_after_it_was_sent() -> None:
    async with running_fleet(
        workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        worker = await start_with_late_copy(fleet, delay_s=12.0)
        await restart(fleet, worker, down_s=11.0)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)


# Guards against a successor that doesn't know of unanswered copies: the stored
# run counted as confirmed, or a list of the worker confirmed it.
@pytest.mark.parametrize("is_planned", [False, True])
@pytest.mark.parametrize("taken_over_s", [0.2, 3.0])
@pytest.mark.parametrize("lost_replies_s", [0.0, 1.5])
async def test_a_new_owner_knows_of_copies_under_way(
    is_planned: bool, taken_over_s: float, lost_replies_s: float
) -> None:
    async with running_fleet(
        hosts=3, workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        sent_s = fleet.timers.now_s()
        worker = await start_with_late_copy(fleet, 11.5, lost_replies_s)
        await fleet.timers.advance(taken_over_s)
        former = fleet.owner()
        if is_planned:
            assert former.manager is not None
            leaving = asyncio.ensure_future(former.manager.leave())
            await fleet.wait_until(leaving.done)
        await former.kill()
        await fleet.timers.advance(sent_s + 10.8 - fleet.timers.now_s())
        await restart(fleet, worker, down_s=0.4)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)


# Guards against tasks that wait without need: once the copy must have arrived,
# the run ends with its worker's life.
async def test_a_run_whose_copies_have_arrived_ends_with_its_worker() -> None:
    async with running_fleet(
        hosts=1, workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        worker = await start_with_late_copy(fleet, delay_s=2.0)
        await fleet.timers.advance(14.0)
        fleet.lose_worker(worker.entry.instance_id)
        await fleet.wait_until(lambda: fleet.started(JOB) == 2, 8.0)


# Guards against a task that waits for the lease of a next life where there is
# none: a worker that is gone has no entry, and its owner was lost with it.
async def test_a_worker_without_an_entry_is_gone_once_copies_have_arrived() -> (
    None
):
    async with running_fleet(
        hosts=3, workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        await fleet.accept(fleet.hosts[0], JOB, Step(cpu_millis=1000))
        await fleet.wait_until(lambda: fleet.started(JOB) == 1)
        workers = fleet.workers.workers_by_instance
        instance_id = next(key for key in workers if workers[key].runs_by_task)
        fleet.workers.kill(instance_id)
        fleet.store.put(WORKERS, instance_id, b"")
        await fleet.owner().kill()
        # The wait for the owner's end, for copies, and for the takeover.
        await fleet.wait_until(lambda: fleet.started(JOB) == 2, 18.0)


async def withdraw_with_late_copy(fleet: Fleet, delay_s: float) -> MemoryWorker:
    """Has a start be given up whose copies are still under way.

    Args:
        fleet: The deployment.
        delay_s: How long after it was sent a copy is carried out.

    Returns:
        The worker that the copies were sent to; the task runs on another one.
    """
    silent = await send_late_copies(fleet, delay_s)
    await fleet.wait_until(lambda: fleet.started(JOB) == TASKS, 4.0)
    return silent


async def send_late_copies(fleet: Fleet, delay_s: float) -> MemoryWorker:
    """Has a job start, on one worker by late copies; returns that worker."""
    silent = fleet.workers.workers_by_instance["i-2"]
    silent.faults.late_start_share = 1.0
    silent.faults.delay_s = delay_s
    step = Step(count=TASKS, cpu_millis=1000, per_worker_limit=1)
    await fleet.accept(fleet.hosts[0], JOB, step)
    await fleet.wait_until(lambda: fleet.started(JOB) == TASKS - 1, 4.0)
    return silent


async def restart_before_copy(
    fleet: Fleet, worker: MemoryWorker, arrival_s: float, before_s: float
) -> None:
    """Has the next life of a worker begin shortly before a copy arrives."""
    down_s = 0.2
    await fleet.timers.advance(
        arrival_s - before_s - down_s - fleet.timers.now_s()
    )
    await restart(fleet, worker, down_s)


# Guards against a start that was given up and is carried out by the next life
# of its worker, beside the run that replaced it. That life refuses it once it
# was called, which must not wait until the life is listed.
@pytest.mark.parametrize("before_s", [0.3, 0.6, 0.9])
@pytest.mark.parametrize("delay_s", [3.0, 7.0, 11.0])
async def test_a_copy_of_a_withdrawn_start_is_refused_by_the_next_life(
    delay_s: float, before_s: float
) -> None:
    async with running_fleet(
        workers=5, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        sent_s = fleet.timers.now_s()
        worker = await withdraw_with_late_copy(fleet, delay_s)
        await restart_before_copy(fleet, worker, sent_s + delay_s, before_s)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)


# Guards against the same in a life after the next one, which has seen no token
# either, whether the life in between was called or not.
@pytest.mark.parametrize("before_s", [0.3, 0.9])
@pytest.mark.parametrize("between_s", [0.2, 0.9, 3.0])
async def test_a_copy_of_a_withdrawn_start_is_refused_by_a_third_life(
    between_s: float, before_s: float
) -> None:
    async with running_fleet(
        workers=5, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        sent_s = fleet.timers.now_s()
        delay_s = 11.0
        worker = await withdraw_with_late_copy(fleet, delay_s)
        await restart_before_copy(
            fleet, worker, sent_s + delay_s, before_s + between_s
        )
        second = fleet.workers.workers_by_instance["i-2"]
        await restart_before_copy(fleet, second, sent_s + delay_s, before_s)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)


# Guards against the same under an owner that has taken the pool over since, and
# doesn't know the copies.
@pytest.mark.parametrize("before_s", [0.3, 0.9])
@pytest.mark.parametrize("taken_over_s", [0.5, 4.0])
async def test_a_copy_of_a_withdrawn_start_is_refused_under_a_new_owner(
    taken_over_s: float, before_s: float
) -> None:
    async with running_fleet(
        hosts=3, workers=5, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        sent_s = fleet.timers.now_s()
        delay_s = 11.0
        worker = await withdraw_with_late_copy(fleet, delay_s)
        await fleet.timers.advance(taken_over_s)
        await fleet.owner().kill()
        await restart_before_copy(fleet, worker, sent_s + delay_s, before_s)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)


# Guards against a copy of a start whose run has failed, in the next life of its
# worker.
@pytest.mark.parametrize("before_s", [0.3, 0.9])
async def test_a_copy_of_a_failed_run_is_refused_by_the_next_life(
    before_s: float,
) -> None:
    async with running_fleet(
        workers=4, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        sent_s = fleet.timers.now_s()
        delay_s = 11.5
        worker = await start_with_late_copy(fleet, delay_s)
        worker.faults.fails_all = True
        await fleet.wait_until(
            lambda: any(
                TASK in other.runs_by_task
                for other in fleet.workers.workers_by_instance.values()
                if other is not worker
            ),
            9.0,
        )
        await restart_before_copy(fleet, worker, sent_s + delay_s, before_s)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)


# Guards against a copy of a start to a machine that was listed as down, whose
# tasks run elsewhere by then, in the machine's next life.
@pytest.mark.parametrize("before_s", [0.3, 0.9])
@pytest.mark.parametrize("has_entry", [False, True])
async def test_a_copy_of_a_start_to_a_lost_machine_is_refused_by_its_next_life(
    has_entry: bool, before_s: float
) -> None:
    async with running_fleet(
        workers=5, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        sent_s = fleet.timers.now_s()
        delay_s = 11.5
        worker = await send_late_copies(fleet, delay_s)
        fleet.lose_worker("i-2")
        await fleet.timers.advance(3.0)
        if not has_entry:
            fleet.store.put(WORKERS, "i-2", b"")
        await fleet.wait_until(lambda: fleet.started(JOB) == TASKS, 8.0)
        await restart_before_copy(fleet, worker, sent_s + delay_s, before_s)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)


# Guards against work for a life that was called but isn't listed, as only its
# entry tells what it can run, and against another token once it is listed.
async def test_a_life_that_is_not_listed_is_called_and_gets_no_work() -> None:
    async with running_fleet(
        hosts=1, workers=1, duration_of=lambda task: 0.5
    ) as fleet:
        worker = fleet.workers.workers_by_instance["i-1"]
        fleet.workers.kill("i-1")
        fleet.restart_worker("i-1", fleet.wall_ms())
        current = fleet.workers.workers_by_instance["i-1"]
        fleet.put_entry(worker.entry)
        await fleet.wait_until(lambda: current.token > worker.token, 1.5)
        called_token = current.token
        await fleet.accept(fleet.hosts[0], JOB, Step(cpu_millis=1000))
        await fleet.timers.advance(4.0)
        assert fleet.started(JOB) == 0
        fleet.put_entry(current.entry)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, 5.0)
        assert current.token == called_token


# Guards against an entry that is read late: it is of a life that has ended,
# while the one after it was called already.
async def test_a_life_that_is_listed_after_its_end_does_no_harm() -> None:
    async with running_fleet(
        hosts=1, workers=1, duration_of=lambda task: 0.5
    ) as fleet:
        first = fleet.workers.workers_by_instance["i-1"]
        fleet.workers.kill("i-1")
        fleet.restart_worker("i-1", fleet.wall_ms())
        second = fleet.workers.workers_by_instance["i-1"]
        fleet.put_entry(first.entry)
        await fleet.wait_until(lambda: second.token > first.token, 1.5)
        fleet.workers.kill("i-1")
        await fleet.timers.advance(0.1)
        fleet.restart_worker("i-1", fleet.wall_ms())
        third = fleet.workers.workers_by_instance["i-1"]
        fleet.put_entry(first.entry)
        await fleet.wait_until(lambda: third.token > second.token, 1.5)
        fleet.put_entry(second.entry)
        await fleet.timers.advance(1.0)
        await fleet.accept(fleet.hosts[0], JOB, Step(cpu_millis=1000))
        await fleet.timers.advance(1.0)
        assert fleet.started(JOB) == 0
        fleet.put_entry(third.entry)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, 5.0)
        assert fleet.owner().lines("pool.tokens_used_up") == []


# Guards against the same where the copy arrives as the next life begins, before
# any call to it. Only a task that waits for each copy excludes that.
async def test_a_copy_that_arrives_before_the_first_call_to_a_life() -> None:
    async with running_fleet(
        workers=5, duration_of=lambda task: LONG_TASK_S
    ) as fleet:
        sent_s = fleet.timers.now_s()
        delay_s = 11.0
        worker = await withdraw_with_late_copy(fleet, delay_s)
        await restart_before_copy(fleet, worker, sent_s + delay_s, 0.02)
        await fleet.wait_for_state(JOB, JobState.COMPLETED, LIMIT_S)
