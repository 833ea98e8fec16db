"""How soon lasting tasks run again after owners and workers are lost."""

from coltsfootseam.jobs import Step
from tests.common.fleets import WORKERS, Fleet, Host, running_fleet

JOB = "a" * 16
LASTING = Step(
    count=2, cpu_millis=100, long_running=True, per_worker_limit=1, may_miss=1
)
MAX_GAP_S = 9.0
"""How long a lasting task may be without a run where there is capacity."""
ENTRY_RETURN_S = 6.0
STRONG = 2000
WEAK = 500
HOSTS_RETURN_S = 5.5


def run_counts(fleet: Fleet) -> dict[str, int]:
    """Returns how many tasks each worker runs, by instance id."""
    return {
        instance_id: len(worker.runs_by_task)
        for instance_id, worker in fleet.workers.workers_by_instance.items()
        if worker.runs_by_task
    }


def task_count(fleet: Fleet) -> int:
    return sum(run_counts(fleet).values())


async def accept_lasting_job(fleet: Fleet) -> str:
    """Submits the job; returns a worker that runs one of its tasks."""
    await fleet.accept(fleet.hosts[0], JOB, LASTING)
    await fleet.wait_until(lambda: task_count(fleet) == LASTING.count)
    await fleet.timers.advance(1.0)
    return min(run_counts(fleet))


def cut_worker(fleet: Fleet, instance_id: str) -> None:
    worker = fleet.workers.workers_by_instance[instance_id]
    worker.faults.is_unresponsive = True


async def wait_for_lapse(fleet: Fleet) -> None:
    await fleet.wait_until(lambda: task_count(fleet) < LASTING.count)


async def wait_for_owner(fleet: Fleet) -> Host:
    await fleet.wait_until(lambda: any(host.owns() for host in fleet.hosts))
    return fleet.owner()


# The wait for the leases of earlier owners began when the link to a worker was
# opened. A worker whose entry was back late kept its tasks from running for up
# to 6 s more than the leases can last.
async def test_a_late_entry_does_not_prolong_the_wait_for_earlier_leases() -> (
    None
):
    async with running_fleet(hosts=3, duration_of=lambda task: 1e9) as fleet:
        cut_id = await accept_lasting_job(fleet)
        entry = fleet.workers.workers_by_instance[cut_id].entry
        cut_worker(fleet, cut_id)
        fleet.store.put(WORKERS, cut_id, b"")
        await fleet.owner().kill()
        await wait_for_owner(fleet)
        fleet.timers.schedule(ENTRY_RETURN_S, lambda: fleet.put_entry(entry))
        await wait_for_lapse(fleet)
        await fleet.wait_until(
            lambda: task_count(fleet) == LASTING.count, MAX_GAP_S
        )


# A standby host handed its pools back as soon as stronger hosts had returned,
# so that the wait for the leases of earlier owners began anew.
async def test_the_return_of_strong_hosts_does_not_prolong_that_wait() -> None:
    capacities = [STRONG, STRONG, WEAK, WEAK, WEAK]
    async with running_fleet(
        millicores=capacities, duration_of=lambda task: 1e9
    ) as fleet:
        await fleet.timers.advance(4.0)
        cut_worker(fleet, await accept_lasting_job(fleet))
        strong = fleet.hosts[:2]
        assert fleet.owner() in strong
        for host in strong:
            await host.kill()
            fleet.timers.schedule(HOSTS_RETURN_S, host.start)
        await wait_for_lapse(fleet)
        await fleet.wait_until(
            lambda: task_count(fleet) == LASTING.count, MAX_GAP_S
        )
