"""Duties that were handed over to an owner that is then lost."""

import pytest

from tests.common.fleets import running_fleet

TAKEOVER_LIMIT_S = 20.0


# Guards against a host that doesn't take back a pool for minutes after handing
# it over, even if it can read the pool again and the new owner is lost.
@pytest.mark.parametrize("number", [0, 1])
async def test_a_host_takes_a_pool_back_once_its_new_owner_is_lost(
    number: int,
) -> None:
    async with running_fleet(hosts=3) as fleet:
        owner = fleet.owner()
        others = [host for host in fleet.hosts if host is not owner]
        cut_off, new_owner = others[number], others[1 - number]
        cut_off.store.faults.failing_page_topics = {"inbox"}
        await owner.kill()
        await fleet.wait_until(new_owner.owns, limit_s=TAKEOVER_LIMIT_S)
        cut_off.store.faults.failing_page_topics = set()
        await fleet.timers.advance(TAKEOVER_LIMIT_S)
        await new_owner.kill()
        await fleet.wait_until(cut_off.owns, limit_s=TAKEOVER_LIMIT_S)
