"""Loading a pool from the store when some of its pages fail."""

import asyncio

from coltsfootseam.jobs import JobState
from coltsfootseam.standins.memory_store import MemoryStore
from coltsfootseam.store import LatestRecords, LatestRecordsReader, Partition
from coltsfootseam.timers import VirtualTimers
from tests.common.fleets import running_fleet

PARTITION = Partition("journal.1", 3)


async def read_all(
    reader: LatestRecordsReader, timers: VirtualTimers
) -> LatestRecords | None:
    """Reads all pages, in up to 100 attempts."""
    for _ in range(100):
        reading = asyncio.ensure_future(reader.read())
        while not reading.done():
            await timers.advance(0.01)
        latest = reading.result()
        if isinstance(latest, LatestRecords):
            return latest
    return None


# A read that starts over at the first page never completes if pages fail often
# enough, so jobs were lost after a takeover.
async def test_a_read_completes_although_some_pages_fail() -> None:
    timers = VirtualTimers()
    store = MemoryStore(timers)
    store.max_page_records = 2
    keys = [f"pool/{number:04}" for number in range(20)]
    for key in keys:
        store.put(PARTITION, key, b"value")
    client = store.client()
    client.faults.fail_every_nth_page = 3
    latest = await read_all(LatestRecordsReader(client, PARTITION), timers)
    assert latest is not None
    assert [record.key for record in latest.records] == keys
    assert latest.end == len(keys)


# The partition is followed from the end of the read on. Records appended while
# the pages are read may be missing from them, so the end must be that of the
# first page; otherwise their jobs are lost after a takeover.
async def test_the_end_of_a_read_is_that_of_its_first_page() -> None:
    timers = VirtualTimers()
    store = MemoryStore(timers)
    store.max_page_records = 1
    store.put(PARTITION, "pool/1", b"value")
    store.put(PARTITION, "pool/2", b"value")
    client = store.client()
    client.faults.fail_every_nth_page = 2
    reader = LatestRecordsReader(client, PARTITION)
    first_attempt = asyncio.ensure_future(reader.read())
    while not first_attempt.done():
        await timers.advance(0.01)
    assert reader.pages == 1
    store.put(PARTITION, "pool/0", b"value")
    latest = await read_all(reader, timers)
    assert latest is not None
    assert latest.end == 2


# An owner that couldn't read its pool without a failed page kept the pool for
# ever, and its jobs never ran.
async def test_a_pool_is_owned_though_pages_fail_now_and_then() -> None:
    async with running_fleet(hosts=2) as fleet:
        fleet.store.max_page_records = 2
        for number in range(20):
            await fleet.accept(fleet.hosts[0], f"job-{number:02}")
        owner = fleet.owner()
        other = fleet.non_owner()
        other.store.faults.fail_every_nth_page = 3
        await owner.kill()
        await fleet.accept(other, "job-late")
        await fleet.wait_until(other.owns, limit_s=20.0)
        await fleet.wait_for_state("job-late", JobState.COMPLETED)


# While a pool had no owner, a request for one job's state read a page of all
# submitted jobs, which a slow link didn't deliver in time, and the job counted
# as lost.
async def test_the_state_of_a_started_job_is_read_without_requests() -> None:
    async with running_fleet(hosts=2, duration_of=lambda task: 60.0) as fleet:
        owner = fleet.owner()
        other = fleet.non_owner()
        await fleet.accept(owner, "job-1")
        await fleet.wait_for_state("job-1", JobState.RUNNING)
        other.store.faults.failing_page_topics = {"inbox"}
        await owner.kill()
        assert await fleet.state(other, "job-1") == JobState.RUNNING
        assert not other.owns()
        other.store.faults.failing_page_topics = set()
        await fleet.wait_until(other.owns)


# A host that couldn't read a pool at all kept it for ever, as the other hosts
# couldn't distinguish it from a working owner, and its jobs were lost.
async def test_a_host_that_can_t_read_a_pool_gives_it_up_to_another() -> None:
    async with running_fleet(hosts=4) as fleet:
        owner = fleet.owner()
        others = [host for host in fleet.hosts if host is not owner]
        for host in others[:-1]:
            host.store.faults.failing_page_topics = {"inbox"}
        await owner.kill()
        await fleet.accept(others[0], "job-1")
        await fleet.wait_until(others[-1].owns, limit_s=30.0)
        await fleet.wait_for_state("job-1", JobState.COMPLETED)


# The reverse of the test above: if no host can read the pool, the hosts must
# not all leave it to each other.
async def test_an_unreadable_pool_is_owned_once_it_is_readable() -> None:
    async with running_fleet(hosts=3) as fleet:
        owner = fleet.owner()
        others = [host for host in fleet.hosts if host is not owner]
        for host in others:
            host.store.faults.failing_page_topics = {"inbox"}
        await owner.kill()
        await fleet.timers.advance(60.0)
        for host in others:
            host.store.faults.failing_page_topics = set()
        await fleet.wait_until(
            lambda: any(host.owns() for host in others), limit_s=10.0
        )
