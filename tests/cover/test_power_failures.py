"""Lasting tasks after a power failure that hosts and a worker don't survive."""

import pytest

from coltsfootseam.jobs import Step
from tests.common.fleets import WORKERS, Fleet, running_fleet

JOB = "a" * 16
LASTING = Step(count=5, cpu_millis=1000, long_running=True, per_worker_limit=1)
ENTRY_LASTS_S = 4.5
DOWN_S = 6.0
RESTART_LIMIT_S = 10.0
"""The 3 s until hosts are in touch again, and the 7 s of calm after that."""
CUT_OFF_LIMIT_S = 36.0
"""For 25.5 s witnesses can vouch; a lease of 4.4 s, two hand-overs of 2 s each,
and the start of the hosts."""


def task_count(fleet: Fleet) -> int:
    workers = fleet.workers.workers_by_instance.values()
    return sum(len(worker.runs_by_task) for worker in workers)


async def lose_power(fleet: Fleet, instance_id: str) -> None:
    """Has all hosts and a worker lose power; all but one host for good."""
    for host in fleet.hosts:
        await host.kill()
    fleet.timers.schedule(
        ENTRY_LASTS_S, lambda: fleet.store.put(WORKERS, instance_id, b"")
    )
    await fleet.timers.advance(DOWN_S)
    survivor = fleet.hosts[-1]
    for _ in range(len(fleet.hosts) - 1):
        fleet.add_host()
    survivor.start()


def busy_worker(fleet: Fleet) -> str:
    workers = fleet.workers.workers_by_instance
    return next(key for key, worker in workers.items() if worker.runs_by_task)


# Guards against lasting tasks that wait for witnesses which are lost for good,
# although the platform lists the machine of their worker as down.
@pytest.mark.parametrize("hosts", [3, 4, 5])
async def test_lasting_tasks_of_a_lost_machine_run_again_in_time(
    hosts: int,
) -> None:
    async with running_fleet(
        hosts=hosts, workers=8, duration_of=lambda task: 1e9
    ) as fleet:
        await fleet.accept(fleet.hosts[0], JOB, LASTING)
        await fleet.timers.advance(5.0)
        lost_id = busy_worker(fleet)
        fleet.lose_worker(lost_id)
        await lose_power(fleet, lost_id)
        await fleet.wait_until(
            lambda: task_count(fleet) == LASTING.count, RESTART_LIMIT_S
        )


# Guards against a wait that begins anew when the pool is handed over to another
# host. The worker may run its tasks on, as it is only out of reach.
@pytest.mark.parametrize("hosts", [3, 4])
async def test_a_hand_over_does_not_prolong_the_wait_for_witnesses(
    hosts: int,
) -> None:
    async with running_fleet(
        hosts=hosts, workers=8, duration_of=lambda task: 1e9
    ) as fleet:
        await fleet.accept(fleet.hosts[0], JOB, LASTING)
        await fleet.timers.advance(5.0)
        cut_id = busy_worker(fleet)
        worker = fleet.workers.workers_by_instance[cut_id]
        worker.faults.is_unresponsive = True
        await lose_power(fleet, cut_id)
        await fleet.wait_until(
            lambda: task_count(fleet) == LASTING.count, CUT_OFF_LIMIT_S
        )
