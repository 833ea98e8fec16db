"""Membership leases expire for a paused holder first, and fence it."""

from coltsfootseam.replication import (
    LeaseManager,
    MemberExpiry,
    MemberIdentity,
)
from coltsfootseam.timers import VirtualTimers
from tests.common.fakes import FakeEntry, FakeLog
from tests.common.states import make_state

LEASE_S = 6.0
MARGIN_S = 0.5


class LeasedEntry(FakeEntry):
    """A fake entry host that holds a lease and expires other members."""

    def __init__(
        self, number: int, log: FakeLog, timers: VirtualTimers
    ) -> None:
        super().__init__(f"entry-{number}", log, timers)
        identity = MemberIdentity(
            member_id=self.entry_id,
            region="region-1",
            zone="zone-a",
            callers=f"127.0.0.{number + 1}:8000",
            admin=f"127.0.0.{number + 1}:8001",
            peers=f"127.0.0.{number + 1}:8002",
            lease_ms=round(LEASE_S * 1000),
            drift_margin_ms=round(MARGIN_S * 1000),
        )
        self.lease = LeaseManager(
            identity,
            self.proposer,
            self.replica,
            timers,
            self.observer,
            renew_interval_s=2.0,
        )
        self.expiry = MemberExpiry(
            self.entry_id,
            self.proposer,
            self.replica,
            self.connectivity,
            timers,
            self.observer,
            MARGIN_S,
        )
        self.paused = False

    async def tick(self) -> None:
        """Runs the daemon's periodic tasks once, unless paused."""
        if self.paused:
            return
        if not self.log.down:
            await self.read_log()
        else:
            self.connectivity.record_log_failure("down")
        await self.lease.tick()
        self.timers.call_after(0.0, self.expiry.tick)


async def run_for(hosts: list[LeasedEntry], duration_s: float) -> None:
    for _ in range(round(duration_s / 0.2)):
        for host in hosts:
            await host.tick()
        await hosts[0].timers.advance(0.2)


def make_hosts(count: int) -> list[LeasedEntry]:
    log = FakeLog()
    timers = VirtualTimers()
    return [LeasedEntry(number, log, timers) for number in range(count)]


def member_ids(host: LeasedEntry) -> list[str]:
    return sorted(host.replica.state.members_by_id)


async def test_entry_hosts_join_and_keep_their_leases() -> None:
    hosts = make_hosts(3)
    await run_for(hosts, 30.0)
    assert all(host.lease.holds_lease() for host in hosts)
    assert member_ids(hosts[0]) == ["entry-0", "entry-1", "entry-2"]
    assert all(
        member.epoch == 1
        for member in hosts[0].replica.state.members_by_id.values()
    )


async def test_the_membership_of_a_dead_entry_host_expires() -> None:
    hosts = make_hosts(3)
    await run_for(hosts, 5.0)
    hosts[2].paused = True
    await run_for(hosts, LEASE_S - 2.5)
    assert "entry-2" in member_ids(hosts[0])
    await run_for(hosts, 6.0)
    assert member_ids(hosts[0]) == ["entry-0", "entry-1"]


async def test_a_paused_holder_stops_before_its_membership_expires() -> None:
    hosts = make_hosts(3)
    await run_for(hosts, 5.0)
    hosts[2].paused = True
    while "entry-2" in member_ids(hosts[0]):
        await run_for(hosts, 0.2)
        if not hosts[2].lease.holds_lease():
            break
    assert "entry-2" in member_ids(hosts[0])
    assert not hosts[2].lease.holds_lease()


async def test_a_paused_holder_rejoins_with_a_new_epoch() -> None:
    hosts = make_hosts(3)
    await run_for(hosts, 5.0)
    hosts[2].paused = True
    await run_for(hosts, 15.0)
    hosts[2].paused = False
    await run_for(hosts, 3.0)
    assert hosts[2].lease.holds_lease()
    assert hosts[0].replica.state.members_by_id["entry-2"].epoch == 2


async def test_no_membership_expires_during_a_log_outage() -> None:
    hosts = make_hosts(3)
    await run_for(hosts, 5.0)
    hosts[0].log.down = True
    await run_for(hosts, 60.0)
    assert not any(host.lease.holds_lease() for host in hosts)
    assert all(host.lease.is_member() for host in hosts)
    hosts[0].log.down = False
    await run_for(hosts, 5.0)
    assert all(host.lease.holds_lease() for host in hosts)
    epochs = [
        member.epoch for member in hosts[0].replica.state.members_by_id.values()
    ]
    assert epochs == [1, 1, 1]


async def test_a_planned_stop_ends_the_membership_at_once() -> None:
    hosts = make_hosts(2)
    await run_for(hosts, 5.0)
    hosts[1].timers.call_after(0.0, hosts[1].lease.leave)
    await run_for(hosts, 1.0)
    assert member_ids(hosts[0]) == ["entry-0"]


async def test_an_entry_host_cut_off_from_everyone_is_isolated() -> None:
    timers = VirtualTimers()
    host = LeasedEntry(0, FakeLog(), timers)
    state = make_state(members=3)
    host.connectivity.record_log_reply(timers.now_s())
    assert not host.connectivity.is_isolated(state, "entry-0", 5.5)
    await timers.advance(6.0)
    assert host.connectivity.is_isolated(state, "entry-0", 5.5)
    host.connectivity.record_peer_reply("127.0.0.2:8002", timers.now_s())
    assert not host.connectivity.is_isolated(state, "entry-0", 5.5)


async def test_a_reply_buffered_during_a_pause_is_not_contact() -> None:
    timers = VirtualTimers()
    host = LeasedEntry(0, FakeLog(), timers)
    state = make_state(members=3)
    sent_s = timers.now_s()
    await timers.advance(10.0)
    host.connectivity.record_log_reply(sent_s)
    assert host.connectivity.is_isolated(state, "entry-0", 5.5)
    host.connectivity.record_log_reply(timers.now_s())
    assert not host.connectivity.is_isolated(state, "entry-0", 5.5)
