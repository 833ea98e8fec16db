"""What becomes of a duty whose new owner is lost after it was handed on."""

import pytest

from tests.common.fleets import running_fleet

SOON_S = 20.0


# Guards against LOST: a host that had handed a pool on left it alone for
# minutes, also when it could read it again and the new owner was lost.
@pytest.mark.parametrize("number", [0, 1])
async def test_a_host_takes_a_pool_back_once_its_new_owner_is_lost(
    number: int,
) -> None:
    async with running_fleet(hosts=3) as fleet:
        owner = fleet.owner()
        others = [host for host in fleet.hosts if host is not owner]
        weak, heir = others[number], others[1 - number]
        weak.store.faults.cut_topics = {"inbox"}
        await owner.kill()
        await fleet.wait_until(heir.owns, limit_s=SOON_S)
        weak.store.faults.cut_topics = set()
        await fleet.timers.advance(SOON_S)
        await heir.kill()
        await fleet.wait_until(weak.owns, limit_s=SOON_S)
