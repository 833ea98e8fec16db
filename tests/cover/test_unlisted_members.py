"""Groups with more members than partitions to assign."""

from tests.common.fleets import running_fleet
from tests.cover.test_standby import STRONG, WEAK, is_strong

WEAK_HOSTS = 14
STRONG_HOSTS = 2
SETTLED_S = 30.0


# Guards against pools staying with hosts too weak for them: stronger members
# without a partition aren't listed, so no weak host becomes a standby.
async def test_strong_hosts_are_seen_among_more_members_than_slots() -> None:
    async with running_fleet(millicores=[WEAK] * WEAK_HOSTS) as fleet:
        assert fleet.store.partition_count < WEAK_HOSTS
        for _ in range(STRONG_HOSTS):
            fleet.add_host(STRONG)
        await fleet.timers.advance(SETTLED_S)
        assert is_strong(fleet.owner())
