"""Hosts that are frozen while they take over a duty."""

import pytest

from tests.common.fleets import Host, running_fleet

PAGE_DELAY_S = 3.0
FROZEN_S = 8.0


def stalled_duties(host: Host) -> int:
    """Returns how many duties of a host were offered to peers as stalled."""
    assert host.manager is not None
    return host.manager.context.counters.totals_by_name["duty.stalled"]


# Guards against handing over a pool because the time for which its host was
# frozen counts as time without progress.
@pytest.mark.parametrize("before_ms", range(0, 400, 40))
async def test_a_host_frozen_while_it_reads_a_pool_goes_on_reading(
    before_ms: int,
) -> None:
    async with running_fleet(hosts=3) as fleet:
        owner = fleet.owner()
        others = [host for host in fleet.hosts if host is not owner]
        for host in others:
            host.store.faults.page_latency_s = PAGE_DELAY_S
        await owner.kill()
        await fleet.wait_until(
            lambda: any(
                host.manager is not None and host.manager.duties.owners_by_pool
                for host in others
            )
        )
        await fleet.timers.advance(before_ms / 1000)
        for host in others:
            host.timers.is_frozen = True
        await fleet.timers.advance(FROZEN_S)
        for host in others:
            host.timers.thaw()
        await fleet.wait_until(lambda: any(host.owns() for host in others))
        assert sum(stalled_duties(host) for host in others) == 0
