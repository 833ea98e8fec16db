"""What waits for the store gets on, though the way there is slow."""

from coltsfootseam.manager.places import place_of_pool
from tests.common.fleets import POOL, running_fleet

SLOW_ANSWER_S = 0.05
NEIGHBOUR_S = 0.02
CLAIM_LIMIT_S = 30.0


# Guards against a pool without an owner for as long as its neighbour appends.
async def test_a_pool_is_claimed_though_its_partition_is_busy() -> None:
    async with running_fleet(hosts=2) as fleet:
        place = place_of_pool("journal", POOL, fleet.store.slots)
        heir = fleet.other()
        for host in fleet.hosts:
            host.store.faults.answer_s = SLOW_ANSWER_S
        await fleet.owner().kill()
        began_s = fleet.timers.now_s()
        while not heir.owns():
            waited_s = fleet.timers.now_s() - began_s
            assert waited_s < CLAIM_LIMIT_S, "nobody owns the pool"
            fleet.store.put(place, "neighbour/job", b"progress")
            await fleet.timers.advance(NEIGHBOUR_S)
