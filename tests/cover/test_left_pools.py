"""Memory of a host that owns a pool again."""

import gc

from coltsfootseam.jobs import JobTable, Step
from tests.common.fleets import Fleet, running_fleet

JOBS = 5
TASKS = 200
OWNED_S = 12.0
"""Longer than anything of a former owner is in use."""


def job_tables() -> list[JobTable]:
    """Returns the job tables in memory, also those that nobody uses."""
    return [item for item in gc.get_objects() if type(item) is JobTable]


async def move_pool(fleet: Fleet) -> None:
    """Cuts the owner off from the store until another host owns the pool."""
    former = fleet.owner()
    former.store.faults.is_unresponsive = True
    await fleet.wait_until(lambda: not former.owns())
    await fleet.wait_until(lambda: any(host.owns() for host in fleet.hosts))
    former.store.faults.is_unresponsive = False
    await fleet.timers.advance(OWNED_S)


# Guards against an owner that exceeds its memory as it loads a pool again: the
# state of its former tenure was still in memory, with all tasks (LOST).
async def test_a_pool_that_is_owned_again_is_in_memory_once() -> None:
    gc.collect()
    before = len(job_tables())
    gc.disable()
    try:
        async with running_fleet(
            hosts=2, workers=2, duration_of=lambda task: 60.0
        ) as fleet:
            for number in range(JOBS):
                await fleet.accept(
                    fleet.hosts[0],
                    f"{number:016x}",
                    Step(cpu_millis=1000, count=TASKS),
                )
            for _ in range(4):
                await move_pool(fleet)
            # One of the owner, one of the host that has left the pool last.
            assert len(job_tables()) <= before + len(fleet.hosts)
    finally:
        gc.enable()
