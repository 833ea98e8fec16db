"""What the store keeps of jobs that have ended, and for how long."""

from coltsfootseam.jobs import JobState, job_key
from coltsfootseam.manager.partitions import partition_of_pool
from tests.common.fleets import POOL, Fleet, running_fleet


def stored_keys(fleet: Fleet, kind: str) -> set[str]:
    """Returns the keys that stand in the pool's partition of a kind."""
    place = partition_of_pool(kind, POOL, fleet.store.partition_count)
    return set(fleet.store.partition_log(place).latest_by_key)


# Guards against RECOVER and LOST after a takeover: a successor read the
# requests of all jobs that had ended in the last minutes before it began.
async def test_the_request_of_an_ended_job_leaves_the_store() -> None:
    async with running_fleet() as fleet:
        await fleet.accept(fleet.hosts[0], "job-1")
        await fleet.wait_for_state("job-1", JobState.COMPLETED)
        await fleet.timers.advance(5.0)
        assert job_key(POOL, "job-1") not in stored_keys(fleet, "inbox")
        assert job_key(POOL, "job-1") in stored_keys(fleet, "journal")


# Guards against LOST: a successor knows ended jobs by their state alone.
async def test_an_ended_job_is_still_known_to_a_successor() -> None:
    async with running_fleet() as fleet:
        await fleet.accept(fleet.hosts[0], "job-1")
        await fleet.accept(fleet.hosts[0], "job-2")
        await fleet.cancel(fleet.hosts[0], "job-2")
        await fleet.wait_for_state("job-1", JobState.COMPLETED)
        await fleet.timers.advance(5.0)
        other = fleet.non_owner()
        await fleet.owner().kill()
        assert await fleet.state(other, "job-1") == JobState.COMPLETED
        await fleet.wait_until(other.owns)
        assert await fleet.state(other, "job-1") == JobState.COMPLETED
        assert await fleet.state(other, "job-2") == JobState.CANCELLED


# Guards against TWICE: a caller's repeat seconds after the job has ended puts
# its request back into a store that has forgotten it.
async def test_a_late_repeat_of_an_ended_job_does_not_run_again() -> None:
    async with running_fleet() as fleet:
        await fleet.accept(fleet.hosts[0], "job-1")
        await fleet.wait_for_state("job-1", JobState.COMPLETED)
        await fleet.timers.advance(12.0)
        starts = fleet.started("job-1")
        other = fleet.non_owner()
        await fleet.accept(other, "job-1")
        await fleet.owner().kill()
        await fleet.wait_until(other.owns)
        await fleet.timers.advance(5.0)
        assert fleet.started("job-1") == starts
        assert await fleet.state(other, "job-1") == JobState.COMPLETED
        assert job_key(POOL, "job-1") not in stored_keys(fleet, "inbox")


# Guards against a store that is full after days: states of ended jobs stood in
# the journal for ever.
async def test_the_state_of_a_job_that_ended_long_ago_leaves_the_store() -> (
    None
):
    async with running_fleet() as fleet:
        await fleet.accept(fleet.hosts[0], "job-1")
        await fleet.wait_for_state("job-1", JobState.COMPLETED)
        await fleet.timers.advance(fleet.times.keep_ended_s - 10.0)
        assert await fleet.state(fleet.hosts[0], "job-1") == JobState.COMPLETED
        await fleet.timers.advance(60.0)
        assert job_key(POOL, "job-1") not in stored_keys(fleet, "inbox")
        assert job_key(POOL, "job-1") not in stored_keys(fleet, "journal")


# Guards against TWICE: while the request can't be deleted, its state stays.
async def test_a_state_outlives_a_request_that_can_t_be_deleted() -> None:
    async with running_fleet(hosts=1) as fleet:
        host = fleet.hosts[0]
        await fleet.accept(host, "job-1")
        await fleet.wait_for_state("job-1", JobState.COMPLETED)
        host.store.faults.is_down = True
        await fleet.timers.advance(200.0)
        host.store.faults.is_down = False
        assert job_key(POOL, "job-1") in stored_keys(fleet, "journal")
        await fleet.timers.advance(20.0)
        assert fleet.started("job-1") == 1


# Guards against TWICE: a repeat that comes when its state is deleted is a new
# job, whose state must not go along with the old one.
async def test_a_job_learned_anew_keeps_its_state() -> None:
    async with running_fleet(duration_of=lambda task: 30.0) as fleet:
        host = fleet.owner()
        assert host.manager is not None
        state = host.manager.duties.owners_by_pool[POOL].state
        assert state is not None
        state.outdated_state_keys.add(job_key(POOL, "job-1"))
        await fleet.accept(fleet.non_owner(), "job-1")
        await fleet.wait_for_state("job-1", JobState.RUNNING)
        assert job_key(POOL, "job-1") in stored_keys(fleet, "journal")
