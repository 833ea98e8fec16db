"""Steps of each kind: gangs, racks, labels, schedules, tickets, long runs."""

import msgspec

from coltsfootseam.jobs import (
    Advice,
    JobRequest,
    JobState,
    Queue,
    Step,
    TaskId,
)
from coltsfootseam.results import OK
from tests.common.fleets import (
    DEADLINE_S,
    QUEUE,
    WORKERS,
    Fleet,
    bookings_queue,
    running_fleet,
)

JOB = "a" * 16


def workers_of(fleet: Fleet, job_id: str = JOB) -> list[str]:
    """Returns where the starts of a job were carried out, in order."""
    return [
        instance_id
        for order in fleet.workers.starts
        if order.task.job_id == job_id
        for instance_id, worker in fleet.workers.workers_by_instance.items()
        if order.task in worker.highest_ended_by_task
        or order.task in worker.runs_by_task
    ]


async def test_a_gang_starts_whole_or_not_at_all() -> None:
    async with running_fleet(workers=2) as fleet:
        gang = Step(count=9, cpu_millis=1000, estimate_ms=500, gang=True)
        await fleet.accept(fleet.hosts[0], JOB, gang)
        await fleet.timers.advance(2.0)
        assert fleet.started(JOB) == 0
        fleet.add_worker(3)
        await fleet.wait_until(lambda: fleet.started(JOB) == 9)
        numbers = {order.number for order in fleet.workers.starts}
        assert numbers == {1}
        await fleet.wait_for_state(JOB, JobState.COMPLETED)


async def test_tasks_that_need_one_rack_get_one_rack() -> None:
    async with running_fleet(workers=0) as fleet:
        for number in range(1, 5):
            fleet.add_worker(number, rack="r1" if number < 3 else "r2")
        await fleet.timers.advance(1.0)
        step = Step(count=8, cpu_millis=1000, estimate_ms=500, same_rack=True)
        await fleet.accept(fleet.hosts[0], JOB, step)
        await fleet.wait_for_state(JOB, JobState.COMPLETED)
        racks = {
            fleet.workers.workers_by_instance[name].entry.labels[-1]
            for name in workers_of(fleet)
        }
        assert len(racks) == 1


async def test_a_task_runs_near_its_data_if_there_is_capacity() -> None:
    async with running_fleet(workers=0) as fleet:
        fleet.add_worker(1, rack="r1")
        fleet.add_worker(2, rack="r2")
        await fleet.timers.advance(1.0)
        step = Step(count=3, cpu_millis=1000, estimate_ms=500, rack="r2")
        await fleet.accept(fleet.hosts[0], JOB, step)
        await fleet.wait_for_state(JOB, JobState.COMPLETED)
        assert set(workers_of(fleet)) == {"i-2"}


async def test_a_label_that_no_worker_has_is_waited_for() -> None:
    async with running_fleet() as fleet:
        step = Step(cpu_millis=1000, estimate_ms=500, label="rare")
        await fleet.accept(fleet.hosts[0], JOB, step)
        await fleet.timers.advance(3.0)
        assert fleet.started(JOB) == 0
        assert await fleet.state(fleet.hosts[0], JOB) is JobState.QUEUED


async def test_no_more_tasks_of_a_step_on_a_worker_than_allowed() -> None:
    async with running_fleet(workers=3, duration_of=lambda task: 2.0) as fleet:
        step = Step(
            count=6, cpu_millis=100, estimate_ms=2000, per_worker_limit=1
        )
        await fleet.accept(fleet.hosts[0], JOB, step)
        await fleet.wait_until(lambda: fleet.started(JOB) == 3)
        await fleet.timers.advance(1.0)
        for worker in fleet.workers.workers_by_instance.values():
            assert len(worker.runs_by_task) == 1
        await fleet.wait_for_state(JOB, JobState.COMPLETED)


async def test_occurrences_start_when_they_are_due() -> None:
    async with running_fleet() as fleet:
        now_ms = fleet.wall_ms()
        request = JobRequest(
            QUEUE,
            "text",
            (Step(cpu_millis=1000, estimate_ms=500),),
            now_ms,
            first_ms=now_ms + 1000,
            interval_ms=2000,
            occurrences=3,
        )
        manager = fleet.hosts[0].manager
        assert manager is not None
        queue = manager.jobs.find_queue("host", "/q/x")
        assert isinstance(queue, Queue)
        outcome = await fleet.run(
            manager.jobs.submit(
                queue, JOB, request, fleet.timers.now_s() + DEADLINE_S
            )
        )
        assert outcome is OK
        starts_ms: list[int] = []
        while len(starts_ms) < 3:
            count = fleet.started(JOB)
            if count > len(starts_ms):
                starts_ms.append(fleet.wall_ms() - now_ms)
            await fleet.timers.advance(0.02)
            assert fleet.wall_ms() - now_ms < 10_000
        for number, start_ms in enumerate(starts_ms):
            due_ms = 1000 + 2000 * number
            assert start_ms >= due_ms
        await fleet.wait_for_state(JOB, JobState.COMPLETED)


async def test_a_queue_with_a_policy_starts_with_tickets_only() -> None:
    async with running_fleet(workers=3) as fleet:
        fleet.advice.allowed_ids = {"i-2"}
        fleet.configure(2, bookings_queue(Advice(10, 5, 3000)))
        await fleet.timers.advance(1.0)
        step = Step(count=2, cpu_millis=1000, estimate_ms=500)
        await fleet.accept(fleet.hosts[0], JOB, step)
        await fleet.wait_for_state(JOB, JobState.COMPLETED)
        assert set(workers_of(fleet)) == {"i-2"}
        tickets = {order.ticket for order in fleet.workers.starts}
        assert tickets == {"ticket-i-2"}


async def test_a_task_that_fails_everywhere_fails_its_job() -> None:
    async with running_fleet(workers=4) as fleet:
        for worker in fleet.workers.workers_by_instance.values():
            worker.faults.fails_all = True
        step = Step(cpu_millis=1000, estimate_ms=500)
        await fleet.accept(fleet.hosts[0], JOB, step)
        await fleet.wait_for_state(JOB, JobState.FAILED)
        assert fleet.started(JOB) == 3


async def test_a_long_running_task_that_fails_is_restarted() -> None:
    def duration_of(task: TaskId) -> float:
        return 1e9

    async with running_fleet(workers=2, duration_of=duration_of) as fleet:
        step = Step(cpu_millis=1000, long_running=True)
        await fleet.accept(fleet.hosts[0], JOB, step)
        await fleet.wait_until(lambda: fleet.started(JOB) == 1)
        worker = next(
            worker
            for worker in fleet.workers.workers_by_instance.values()
            if worker.runs_by_task
        )
        worker.faults.fails_all = True
        await fleet.wait_until(lambda: fleet.started(JOB) >= 2)
        assert await fleet.state(fleet.hosts[0], JOB) is JobState.RUNNING


async def test_a_draining_worker_gets_nothing_and_gives_up_what_lasts() -> None:
    async with running_fleet(workers=2, duration_of=lambda task: 1e9) as fleet:
        step = Step(cpu_millis=1000, long_running=True)
        await fleet.accept(fleet.hosts[0], JOB, step)
        await fleet.wait_until(lambda: fleet.started(JOB) == 1)
        worker = next(
            worker
            for worker in fleet.workers.workers_by_instance.values()
            if worker.runs_by_task
        )
        entry = msgspec.structs.replace(
            worker.entry, is_draining=True, remaining_ms=2000
        )
        fleet.store.put(
            WORKERS, entry.instance_id, msgspec.msgpack.encode(entry)
        )
        await fleet.wait_until(lambda: fleet.started(JOB) == 2, 3.0)
        assert not worker.runs_by_task
