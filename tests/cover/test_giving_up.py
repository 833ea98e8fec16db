"""What becomes of a host's duties when it can't bring one to work."""

from coltsfootseam.jobs import Queue
from coltsfootseam.manager.partitions import partition_of_pool
from tests.common.fleets import POOL, QUEUE, Fleet, Host, running_fleet

UNREADABLE = "unreadable"
SETTLED_S = 15.0
WATCHED_S = 60.0
STEP_S = 0.1


async def watch(fleet: Fleet, owner: Host) -> None:
    """Checks that a host goes on owning the pool that it is at work for."""
    for _ in range(round(WATCHED_S / STEP_S)):
        await fleet.timers.advance(STEP_S)
        assert owner.owns(), "it dropped what it was at work for"


# Guards against LOST and SHORT: a pool that no host can read took all other
# pools of its hosts along, one host after the other.
async def test_a_pool_that_nobody_can_read_leaves_the_others_alone() -> None:
    async with running_fleet(hosts=3) as fleet:
        topic = partition_of_pool(
            "inbox", UNREADABLE, fleet.store.partition_count
        ).topic
        assert (
            topic
            != partition_of_pool(
                "inbox", POOL, fleet.store.partition_count
            ).topic
        )
        # By then no host has more duties than its share, and hands one over.
        await fleet.timers.advance(SETTLED_S)
        for host in fleet.hosts:
            host.store.faults.failing_page_topics = {topic}
        owner = fleet.owner()
        fleet.configure(
            2,
            Queue(QUEUE, "host", "/q/", POOL, attempts=3),
            Queue("other", "host", "/other/", UNREADABLE, attempts=3),
        )
        await watch(fleet, owner)


# Guards against LOST: a host that can't read a new pool dropped the pool that
# it was at work for.
async def test_a_host_that_gives_a_pool_up_keeps_those_it_works_for() -> None:
    async with running_fleet(hosts=2) as fleet:
        owner = fleet.owner()
        owner.store.faults.failing_page_topics = {"inbox"}
        new = [
            Queue(f"new-{number}", "host", f"/{number}/", f"new-{number}")
            for number in range(4)
        ]
        plain = Queue(QUEUE, "host", "/q/", POOL, attempts=3)
        fleet.configure(2, plain, *new)
        await watch(fleet, owner)
