"""The replica: following the log, proposing and recovering."""

import asyncio

from coltsfootseam.observe import Observer, Stamp
from coltsfootseam.replication import (
    FollowTimes,
    LogFollower,
    Replica,
)
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.state import (
    ContractPublished,
    Outcome,
    digest_state,
    encode_record,
    encode_state,
    split_snapshot,
)
from coltsfootseam.timers import VirtualTimers
from tests.common.fakes import FakeEntry, FakeLog
from tests.common.states import make_contract, make_join, make_record


def make_entry(log: FakeLog, timers: VirtualTimers) -> FakeEntry:
    return FakeEntry("entry-0", log, timers)


def make_follower(entry: FakeEntry) -> LogFollower:
    return LogFollower(
        entry.log,
        entry.replica,
        entry.connectivity,
        entry.timers,
        entry.observer,
        FollowTimes(wait_s=1.0),
    )


async def join(entry: FakeEntry) -> None:
    entry.proposer.epoch = 1
    await entry.log.append(encode_record(make_record(make_join())))
    await entry.read_log()


async def propose_and_read(
    entry: FakeEntry, body: ContractPublished, record_id: str
) -> Outcome | Refusal:
    proposing = asyncio.ensure_future(entry.proposer.propose(body, record_id))
    while not proposing.done():
        await entry.timers.advance(0.3)
        if not entry.log.down:
            await entry.read_log()
    return proposing.result()


async def test_an_append_whose_reply_is_lost_takes_effect_once() -> None:
    log = FakeLog()
    entry = make_entry(log, VirtualTimers())
    await join(entry)
    log.replies_to_lose = 2
    body = ContractPublished(make_contract())
    outcome = await propose_and_read(entry, body, "publish")
    assert isinstance(outcome, Outcome)
    assert outcome.code is ResultCode.OK
    assert entry.replica.state.contracts_by_customer["customer"].version == 1


async def test_a_proposal_repeated_under_its_id_has_one_outcome() -> None:
    log = FakeLog()
    entry = make_entry(log, VirtualTimers())
    await join(entry)
    body = ContractPublished(make_contract())
    first = await propose_and_read(entry, body, "publish")
    again = await propose_and_read(entry, body, "publish")
    assert again == first


async def test_nothing_is_accepted_while_the_log_is_down() -> None:
    log = FakeLog()
    entry = make_entry(log, VirtualTimers())
    await join(entry)
    log.down = True
    body = ContractPublished(make_contract())
    refusal = await propose_and_read(entry, body, "publish")
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.LOG_UNAVAILABLE
    assert "nothing was accepted" in refusal.reason
    log.down = False
    await entry.timers.advance(30.0)
    await entry.read_log()
    assert entry.replica.state.contracts_by_customer == {}


async def test_an_outage_after_a_lost_reply_leaves_the_outcome_pending() -> (
    None
):
    log = FakeLog()
    entry = make_entry(log, VirtualTimers())
    await join(entry)
    log.replies_to_lose = 1
    proposing = asyncio.ensure_future(
        entry.proposer.propose(ContractPublished(make_contract()), "publish")
    )
    await entry.timers.advance(0.0)
    log.down = True
    await entry.timers.advance(20.0)
    refusal = await proposing
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.OUTCOME_PENDING
    log.down = False
    await entry.read_log()
    outcome = entry.replica.state.outcomes_by_record_id["publish"]
    assert outcome.code is ResultCode.OK


async def test_a_log_whose_offsets_went_back_is_reported_not_followed() -> None:
    log = FakeLog()
    entry = make_entry(log, VirtualTimers())
    await join(entry)
    await propose_and_read(entry, ContractPublished(make_contract()), "publish")
    follower = make_follower(entry)
    before = digest_state(entry.replica.state)
    log.entries = []
    await log.append(encode_record(make_record(make_join(), epoch=9)))
    await follower.step()
    assert follower.went_back
    assert digest_state(entry.replica.state) == before
    kinds = [event.kind for event in entry.observer.events.since(Stamp())]
    assert "log.went_back" in kinds


async def test_a_new_host_starts_from_a_snapshot_and_the_tail() -> None:
    log = FakeLog()
    timers = VirtualTimers()
    entry = make_entry(log, timers)
    await join(entry)
    await propose_and_read(entry, ContractPublished(make_contract()), "publish")
    state = entry.replica.state
    for chunk in split_snapshot("one", state.offset, encode_state(state)):
        await log.append(encode_record(make_record(chunk)))
    await log.append(encode_record(make_record(make_join())))
    log.expire_before(state.offset + 1)
    await entry.read_log()
    newcomer = make_entry(log, timers)
    follower = make_follower(newcomer)
    await follower.step()
    await follower.step()
    assert follower.caught_up
    assert digest_state(newcomer.replica.state) == digest_state(state)


async def test_an_incomplete_snapshot_is_not_restored() -> None:
    log = FakeLog()
    timers = VirtualTimers()
    entry = make_entry(log, timers)
    await join(entry)
    data = b"x" * 200_000
    chunks = split_snapshot("half", entry.replica.state.offset, data)
    for chunk in chunks[:-1]:
        await log.append(encode_record(make_record(chunk)))
    log.expire_before(1)
    newcomer = make_entry(log, timers)
    pause_s = await make_follower(newcomer).step()
    assert pause_s > 0
    assert newcomer.replica.next_offset() == 0


async def test_state_from_a_peer_never_goes_back() -> None:
    timers = VirtualTimers()
    log = FakeLog()
    entry = make_entry(log, timers)
    await join(entry)
    old = encode_state(entry.replica.state)
    await propose_and_read(entry, ContractPublished(make_contract()), "publish")
    assert not entry.replica.restore(old, "peer")
    assert "customer" in entry.replica.state.contracts_by_customer


def test_a_peer_that_lags_gets_records_and_a_new_one_gets_a_snapshot() -> None:
    observer = Observer(VirtualTimers(), "entry-0", "zone-a")
    replica = Replica(observer)
    for offset in range(3):
        replica.apply(offset, encode_record(make_record(make_join())))
    lagging = replica.fetch(1, fresh=True)
    restored = Replica(observer)
    restored.restore(encode_state(replica.state), "peer")
    newcomer = restored.fetch(0, fresh=True)
    assert [entry.offset for entry in lagging.entries] == [1, 2]
    assert lagging.snapshot == b""
    assert newcomer.snapshot


def test_a_malformed_record_is_skipped() -> None:
    replica = Replica(Observer(VirtualTimers(), "entry-0", "zone-a"))
    assert replica.apply(0, "not a record")
    assert replica.apply(1, encode_record(make_record(make_join())))
    assert replica.next_offset() == 2
    assert "entry-0" in replica.state.members_by_id


def test_a_record_out_of_order_is_not_folded() -> None:
    replica = Replica(Observer(VirtualTimers(), "entry-0", "zone-a"))
    assert not replica.apply(1, encode_record(make_record(make_join())))
    assert replica.next_offset() == 0
