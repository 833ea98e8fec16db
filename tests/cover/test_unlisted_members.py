"""Groups of more members than there are partitions to deal."""

from tests.common.fleets import running_fleet
from tests.cover.test_standby import STRONG, WEAK, is_strong

WEAK_HOSTS = 14
STRONG_HOSTS = 2
SETTLED_S = 30.0


# Guards against SHORT: stronger members that hold no partition aren't listed,
# so that nobody stands by for them and pools stay with hosts that can't keep
# up.
async def test_strong_hosts_are_seen_among_more_members_than_slots() -> None:
    async with running_fleet(millicores=[WEAK] * WEAK_HOSTS) as fleet:
        assert fleet.store.slots < WEAK_HOSTS
        for _ in range(STRONG_HOSTS):
            fleet.add_host(STRONG)
        await fleet.timers.advance(SETTLED_S)
        assert is_strong(fleet.owner())
