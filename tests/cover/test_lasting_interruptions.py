"""Orders that may end a lasting task, each while its step may miss few."""

import pytest

from coltsfootseam.jobs import Step, TaskId
from coltsfootseam.workers import StartOrder
from tests.common.fleets import Fleet, running_fleet
from tests.common.waves import ask_for_wave, status_of_wave

JOB = "a" * 16
LASTING_S = 1e9
LASTING = Step(
    count=3,
    cpu_millis=1000,
    long_running=True,
    per_worker_limit=1,
    may_miss=1,
)
CUTS_S = (1.7, 2.0, 2.5, 3.0)
SILENT_S = 2.5


def workers_of(fleet: Fleet, task: TaskId) -> list[str]:
    """Returns the instance ids of the workers that run a task."""
    return [
        instance_id
        for instance_id, worker in fleet.workers.workers_by_instance.items()
        if task in worker.runs_by_task
    ]


def stopped_count(fleet: Fleet) -> int:
    """Returns how many runs of the job were ended by an order."""
    return sum(
        fields["end"] == "STOPPED"
        for host in fleet.hosts
        for fields in host.lines("run.ended")
    )


# Guards against a task at work that is stopped since the answer to its start
# was lost: behind a cut in one direction it runs, though nobody hears of it,
# and a heartbeat may report it while the start is being repeated.
@pytest.mark.parametrize("cut_s", CUTS_S)
async def test_a_start_is_not_withdrawn_from_a_worker_that_is_unheard(
    cut_s: float,
) -> None:
    async with running_fleet(
        workers=4, duration_of=lambda task: LASTING_S
    ) as fleet:
        await fleet.accept(fleet.hosts[0], JOB, LASTING)
        await fleet.wait_until(lambda: fleet.started(JOB) == LASTING.count)
        await fleet.timers.advance(1.0)
        workers = fleet.workers.workers_by_instance
        (spare_id,) = (
            instance_id
            for instance_id, worker in workers.items()
            if not worker.runs_by_task
        )
        task = TaskId(JOB, 0, 0, 0)
        (lost_id,) = workers_of(fleet, task)

        def cut_answers(order: StartOrder) -> None:
            del order
            hosts = {host.host_id for host in fleet.hosts}
            workers[spare_id].faults.unheard_by_hosts.update(hosts)

        fleet.workers.on_start = cut_answers
        fleet.workers.kill(lost_id)
        fleet.workers.on_crash(lost_id)
        await fleet.wait_until(lambda: bool(workers_of(fleet, task)))
        await fleet.timers.advance(cut_s)
        workers[spare_id].faults.unheard_by_hosts.clear()
        await fleet.timers.advance(5.0)
        assert workers_of(fleet, task) == [spare_id]
        assert stopped_count(fleet) == 0
        assert fleet.started(JOB) == LASTING.count + 1


# Guards against an evacuation that takes a task for available by what its
# worker reported before it fell silent.
async def test_a_task_on_a_silent_worker_counts_as_unavailable() -> None:
    async with running_fleet(
        workers=6, duration_of=lambda task: LASTING_S
    ) as fleet:
        await fleet.timers.advance(4.0)
        await fleet.accept(fleet.hosts[0], JOB, LASTING)
        await fleet.wait_until(lambda: fleet.started(JOB) == LASTING.count)
        await fleet.timers.advance(1.0)
        (silent_id,) = workers_of(fleet, TaskId(JOB, 0, 0, 0))
        (evacuated_id,) = workers_of(fleet, TaskId(JOB, 0, 0, 1))
        worker = fleet.workers.workers_by_instance[silent_id]
        worker.faults.is_unresponsive = True
        await fleet.timers.advance(SILENT_S)
        ask_for_wave(fleet, evacuated_id.replace("i-", "m-"))
        # Its lease has not ended yet, so the task may be at work or not.
        await fleet.timers.advance(1.2)
        assert stopped_count(fleet) == 0
        worker.faults.is_unresponsive = False
        await fleet.wait_until(
            lambda: status_of_wave(fleet) == b"completed", 60.0
        )
