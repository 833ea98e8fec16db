"""Lasting tasks on a worker that is lost together with the pool's owner."""

import pytest

from coltsfootseam.jobs import Step
from tests.common.fleets import running_fleet

JOB = "a" * 16
LASTING = Step(count=6, cpu_millis=1000, long_running=True)
RESTART_LIMIT_S = 9.0


# Guards against a successor that learns late that the earlier leases have
# ended: lasting tasks must run again within 9 s.
@pytest.mark.parametrize("latency_s", [0.004, 0.05])
@pytest.mark.parametrize("phase_s", [0.05, 0.25, 0.55])
@pytest.mark.parametrize("hosts, killed", [(2, 1), (4, 1), (6, 3)])
async def test_lasting_tasks_run_again_in_time(
    hosts: int, killed: int, phase_s: float, latency_s: float
) -> None:
    async with running_fleet(hosts, duration_of=lambda task: 1e9) as fleet:
        for host in fleet.hosts:
            host.store.faults.latency_s = latency_s
        await fleet.accept(fleet.non_owner(), JOB, LASTING)
        await fleet.timers.advance(6.0 + phase_s)
        owner = fleet.owner()
        others = [host for host in fleet.hosts if host is not owner]
        workers = fleet.workers.workers_by_instance
        busy_id = next(
            key for key, worker in workers.items() if worker.runs_by_task
        )
        fleet.workers.kill(busy_id)
        for host in (owner, *others[: killed - 1]):
            await host.kill()
        await fleet.wait_until(
            lambda: (
                sum(len(worker.runs_by_task) for worker in workers.values())
                == LASTING.count
            ),
            RESTART_LIMIT_S,
        )
