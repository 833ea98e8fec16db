"""Pages of the store that arrive slowly."""

from tests.common.fleets import DEADLINE_S, running_fleet

PAGE_DELAY_S = 6.0
PAGES_PER_POOL = 2
TAKEOVER_S = 3.0
MARGIN_S = 0.5


# A new owner released its pool while a page was still arriving over a slow
# link. All pages were then read again, and jobs counted as lost meanwhile.
async def test_a_host_keeps_a_pool_whose_pages_still_arrive() -> None:
    async with running_fleet(hosts=3) as fleet:
        owner = fleet.owner()
        others = [host for host in fleet.hosts if host is not owner]
        for host in others:
            host.store.faults.page_latency_s = PAGE_DELAY_S
        await owner.kill()
        took_s = await fleet.wait_until(
            lambda: any(host.owns() for host in others), limit_s=60.0
        )
        assert took_s < PAGES_PER_POOL * PAGE_DELAY_S + TAKEOVER_S


# A request for a job's state waited for a slow page past its deadline, so the
# job counted as lost. A refusal in time lets the caller ask another host.
async def test_a_job_status_request_is_answered_by_its_deadline() -> None:
    async with running_fleet(hosts=2) as fleet:
        owner = fleet.owner()
        other = fleet.non_owner()
        other.store.faults.page_latency_s = PAGE_DELAY_S
        await owner.kill()
        started_s = fleet.timers.now_s()
        await fleet.state(other, "job-1")
        took_s = fleet.timers.now_s() - started_s
        assert took_s < DEADLINE_S + MARGIN_S
