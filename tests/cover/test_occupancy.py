"""Demand of tasks that use up memory long before processors.

The pattern is a service of a few long-running tasks that each take most of a
worker's memory, beside short jobs that take processors.
"""

import pytest

from coltsfootseam.jobs import Step
from coltsfootseam.scheduling import Occupancy, WorkerSize, typical_size
from coltsfootseam.workers import MachineState
from tests.common.fleets import POOL, running_fleet
from tests.cover.test_machines import JOB, add_standby_pool

SIZE = WorkerSize(cpu_millis=64_000, memory_mb=256_000, accelerators=4)
CORES = 64.0


def occupied_cores(*steps: Step) -> float:
    occupancy = Occupancy()
    for step in steps:
        occupancy.add(step, step.count, SIZE)
    return occupancy.cores(SIZE)


@pytest.mark.parametrize(
    ("step", "workers"),
    [
        (Step(count=8, cpu_millis=16_000, memory_mb=1000), 2.0),
        (Step(count=8, cpu_millis=1000, memory_mb=64_000), 2.0),
        (Step(count=8, cpu_millis=1000, memory_mb=140_000), 8.0),
        (Step(count=8, cpu_millis=1000, accelerators=1), 2.0),
        (Step(count=8, cpu_millis=1000, accelerators=3), 8.0),
    ],
)
def test_the_scarcest_resource_counts(step: Step, workers: float) -> None:
    assert occupied_cores(step) == pytest.approx(workers * CORES)


def test_tasks_that_need_different_resources_share_workers() -> None:
    by_memory = Step(count=4, cpu_millis=1000, memory_mb=120_000)
    by_processor = Step(count=4, cpu_millis=30_000, memory_mb=1000)
    apart = occupied_cores(by_memory) + occupied_cores(by_processor)
    assert occupied_cores(by_memory, by_processor) < 0.6 * apart


def test_without_workers_only_the_processor_counts() -> None:
    occupancy = Occupancy()
    size = typical_size([])
    occupancy.add(Step(count=3, cpu_millis=1000, memory_mb=1000), 3, size)
    assert occupancy.cores(size) == 3.0


# Guards against tasks that wait for memory although machines are off.
async def test_a_pool_that_lacks_only_memory_gets_machines() -> None:
    async with running_fleet(workers=0) as fleet:
        for number in range(1, 3):
            fleet.add_worker(number, cores=32)
        add_standby_pool(fleet)
        await fleet.timers.advance(4.0)
        step = Step(
            count=4,
            cpu_millis=1000,
            memory_mb=9000,
            estimate_ms=900,
            long_running=True,
            may_miss=1,
        )
        await fleet.accept(fleet.hosts[0], JOB, step)

        def machines_in_pool() -> int:
            return sum(
                1
                for machine in fleet.machines.machines_by_id.values()
                if machine.pool == POOL
                and machine.state is not MachineState.DOWN
            )

        await fleet.wait_until(lambda: machines_in_pool() >= 4, 6.0)
