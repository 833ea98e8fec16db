"""Workers that a pool could release still serve what needs them.

The pattern is a task that only one worker can take, at a time when the pool
has more workers than its load needs and may release that one.
"""

from coltsfootseam.jobs import Step
from tests.common.fleets import POOL, running_fleet

JOB = "a" * 16
RARE_RACK = "r9"


# Guards against tasks that wait for as long as their pool has spare workers.
async def test_a_task_does_not_wait_beside_an_idle_surplus_worker() -> None:
    async with running_fleet(workers=0) as fleet:
        rare = fleet.add_worker(1, rack=RARE_RACK, cores=64)
        for number in range(2, 5):
            fleet.add_worker(number, cores=64)
        manager = fleet.owner().manager
        assert manager is not None
        state = manager.duties.owners_by_pool[POOL].state
        assert state is not None
        await fleet.wait_until(
            lambda: f"{rare}@1" in state.surplus_worker_ids, 5.0
        )
        step = Step(cpu_millis=1000, estimate_ms=500, label=RARE_RACK)
        await fleet.accept(fleet.owner(), JOB, step)
        await fleet.wait_until(lambda: fleet.started(JOB) == 1, 1.0)
