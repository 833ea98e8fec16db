"""A worker that is lost after a takeover whose witnesses are gone."""

from coltsfootseam.jobs import Step
from tests.common.fleets import running_fleet

JOB = "a" * 16
LASTING = Step(count=6, cpu_millis=1000, long_running=True)
RESTART_LIMIT_S = 9.0
CALM_S = 10.0


# Guards against a wait for earlier owners' leases on a worker that has replied
# to the new owner, and so refuses the orders of earlier ones.
async def test_tasks_of_a_worker_that_replied_since_do_not_wait() -> None:
    async with running_fleet(hosts=4, duration_of=lambda task: 1e9) as fleet:
        await fleet.accept(fleet.non_owner(), JOB, LASTING)
        await fleet.timers.advance(5.0)
        owner = fleet.owner()
        others = [host for host in fleet.hosts if host is not owner]
        for host in (owner, *others[:2]):
            await host.kill()
        await fleet.wait_until(others[2].owns)
        await fleet.timers.advance(CALM_S)
        workers = fleet.workers.workers_by_instance
        busy_id = next(
            key for key, worker in workers.items() if worker.runs_by_task
        )
        fleet.workers.kill(busy_id)
        await fleet.wait_until(
            lambda: (
                sum(len(worker.runs_by_task) for worker in workers.values())
                == LASTING.count
            ),
            RESTART_LIMIT_S,
        )
