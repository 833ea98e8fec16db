"""Idempotency keys let a request run at most once."""

import asyncio
from typing import Any

from coltsfootseam.observe import Observer, Stamp
from coltsfootseam.peers import Answer, KeyCopy, KeyReservation, KeyVerdict
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.routing import (
    KeyContext,
    KeyGuard,
    KeyHandover,
    KeyStore,
    RequestHead,
)
from coltsfootseam.routing.key_placement import key_holders, may_have_been_lost
from coltsfootseam.state import (
    FleetState,
    MemberExpired,
    Record,
    fold_record,
)
from coltsfootseam.timers import VirtualTimers
from tests.common.routes import make_head
from tests.common.states import make_state

ANSWER = Answer(200, [], b"whole")
KEPT_S = 600.0


class FakePeers:
    """Key stores of several entry hosts, which can be made unreachable."""

    def __init__(self, members: int, timers: VirtualTimers) -> None:
        self.timers = timers
        self.state = make_state(members)
        self.unreachable: set[str] = set()
        self.stores_by_address = {
            member.peers: KeyStore(timers, KEPT_S, 1000)
            for member in self.state.members_by_id.values()
        }

    async def reserve_key(
        self, address: str, key: str, request_id: str
    ) -> KeyReservation | Refusal:
        """Reserves a key at the store with an address."""
        if address in self.unreachable:
            return Refusal(ResultCode.UNREACHABLE, address)
        store = self.stores_by_address[address]
        return store.reserve(key, request_id, self.state)

    async def copy_keys(
        self, address: str, copies: list[KeyCopy]
    ) -> Refusal | None:
        """Copies records to the store with an address."""
        if address in self.unreachable:
            return Refusal(ResultCode.UNREACHABLE, address)
        self.stores_by_address[address].apply_copies(copies)
        return None

    def context_of(self, own_id: str) -> KeyContext:
        """Returns the dependencies of one entry host's key classes."""
        member = self.state.members_by_id[own_id]
        peers: Any = self
        return KeyContext(
            own_id,
            self.stores_by_address[member.peers],
            peers,
            lambda: self.state,
            self.timers,
            Observer(self.timers, own_id, "zone-a"),
        )

    def handover_of(self, own_id: str) -> KeyHandover:
        """Returns the handover of one entry host."""
        return KeyHandover(self.context_of(own_id))

    def guard_of(self, own_id: str) -> KeyGuard:
        """Returns the guard of one entry host."""
        return KeyGuard(self.context_of(own_id))

    def expire_member(self, member_id: str) -> None:
        """Removes a member whose lease has lapsed."""
        member = self.state.members_by_id[member_id]
        other = next(
            each for each in self.state.members_by_id if each != member_id
        )
        body = MemberExpired(member_id, member.epoch, member.renewed_offset)
        record = Record(
            f"end-{member_id}",
            other,
            1,
            Stamp(self.timers.wall_ms(), 0),
            body,
        )
        fold_record(self.state, self.state.offset + 1, record)


async def report_outcome(
    timers: VirtualTimers, guard: KeyGuard, *arguments: Any
) -> None:
    """Reports an outcome and lets the delay of its batch pass."""
    reporting = asyncio.ensure_future(guard.report_outcome(*arguments))
    await timers.advance(0.1)
    await reporting


async def reserve(
    timers: VirtualTimers, guard: KeyGuard, head: RequestHead
) -> KeyReservation | Refusal:
    """Reserves a key and lets the time pass that retries need."""
    reserving = asyncio.ensure_future(guard.reserve(head))
    await timers.advance(0.1)
    return await reserving


def make_store(limit: int = 1000) -> tuple[KeyStore, VirtualTimers, FleetState]:
    timers = VirtualTimers()
    return KeyStore(timers, KEPT_S, limit), timers, make_state(members=2)


def test_a_key_is_reserved_for_the_first_request() -> None:
    store, _, state = make_store()
    first = store.reserve("a", "entry-0/1", state)
    second = store.reserve("a", "entry-1/2", state)
    assert first.verdict is KeyVerdict.NEW
    assert second.verdict is KeyVerdict.RUNNING


def test_a_reservation_whose_reply_was_lost_can_be_repeated() -> None:
    store, _, state = make_store()
    store.reserve("a", "entry-0/1", state)
    again = store.reserve("a", "entry-0/1", state)
    assert again.verdict is KeyVerdict.NEW


def test_a_request_that_was_not_run_frees_its_key() -> None:
    store, _, state = make_store()
    store.reserve("a", "entry-0/1", state)
    store.record_outcome("a", "entry-0/1", KeyVerdict.NOT_RUN, None)
    late = store.reserve("a", "entry-0/1", state)
    other = store.reserve("a", "entry-1/2", state)
    assert late.verdict is KeyVerdict.NOT_RUN
    assert other.verdict is KeyVerdict.NEW


def test_the_kept_response_is_replayed() -> None:
    store, _, state = make_store()
    store.reserve("a", "entry-0/1", state)
    store.record_outcome("a", "entry-0/1", KeyVerdict.DONE, ANSWER)
    again = store.reserve("a", "entry-1/2", state)
    assert again == KeyReservation(KeyVerdict.DONE, ANSWER)


def test_a_key_whose_entry_host_is_gone_has_an_unknown_outcome() -> None:
    store, _, state = make_store()
    store.reserve("a", "entry-1/1", state)
    del state.members_by_id["entry-1"]
    again = store.reserve("a", "entry-0/2", state)
    assert again.verdict is KeyVerdict.UNKNOWN


def test_only_the_request_that_holds_a_key_records_its_outcome() -> None:
    store, _, state = make_store()
    store.reserve("a", "entry-0/1", state)
    store.record_outcome("a", "entry-1/2", KeyVerdict.NOT_RUN, None)
    again = store.reserve("a", "entry-1/3", state)
    assert again.verdict is KeyVerdict.RUNNING


async def test_a_finished_key_expires() -> None:
    store, timers, state = make_store()
    store.reserve("a", "entry-0/1", state)
    store.record_outcome("a", "entry-0/1", KeyVerdict.DONE, ANSWER)
    await timers.advance(KEPT_S + 1)
    assert store.reserve("a", "entry-1/2", state).verdict is KeyVerdict.NEW


async def test_a_key_in_progress_never_expires() -> None:
    store, timers, state = make_store()
    store.reserve("a", "entry-0/1", state)
    await timers.advance(KEPT_S + 1)
    assert store.reserve("a", "entry-1/2", state).verdict is KeyVerdict.RUNNING


def test_a_full_store_rejects_new_keys_and_drops_none() -> None:
    store, _, state = make_store(limit=2)
    store.reserve("a", "entry-0/1", state)
    store.reserve("b", "entry-0/2", state)
    assert store.reserve("c", "entry-0/3", state).verdict is KeyVerdict.FULL
    assert store.reserve("a", "entry-1/4", state).verdict is KeyVerdict.RUNNING


async def test_exactly_one_of_racing_requests_with_one_key_runs() -> None:
    timers = VirtualTimers()
    peers = FakePeers(5, timers)
    reservations = await asyncio.gather(
        *(
            peers.guard_of(f"entry-{number}").reserve(
                make_head(timers, f"entry-{number}/{number}", key="one")
            )
            for number in range(5)
        )
    )
    verdicts = [
        each.verdict
        for each in reservations
        if isinstance(each, KeyReservation)
    ]
    assert verdicts.count(KeyVerdict.NEW) == 1
    assert verdicts.count(KeyVerdict.RUNNING) == 4


async def test_a_key_survives_the_loss_of_either_holder() -> None:
    for lost in range(2):
        timers = VirtualTimers()
        peers = FakePeers(4, timers)
        first = make_head(timers, "entry-0/1", key="one")
        guard = peers.guard_of("entry-0")
        await guard.reserve(first)
        await report_outcome(timers, guard, first, KeyVerdict.DONE, ANSWER)
        holders = guard.holders(first.scoped_key())
        del peers.state.members_by_id[holders[lost].member_id]
        survivor = next(iter(peers.state.members_by_id))
        again = await peers.guard_of(survivor).reserve(
            make_head(timers, f"{survivor}/2", key="one")
        )
        assert again == KeyReservation(KeyVerdict.DONE, ANSWER)


async def test_without_both_holders_the_request_is_not_run() -> None:
    timers = VirtualTimers()
    peers = FakePeers(3, timers)
    head = make_head(timers, "entry-0/1", key="one", deadline_s=2.0)
    guard = peers.guard_of("entry-0")
    others = [
        holder.peers
        for holder in guard.holders(head.scoped_key())
        if holder.member_id != "entry-0"
    ]
    peers.unreachable.add(others[0])
    reserving = asyncio.ensure_future(guard.reserve(head))
    await timers.advance(10.0)
    refusal = reserving.result()
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.NOT_RUN_KEY_UNGUARDED


KEPT_MS = round(KEPT_S * 1000)


def keys_held_by(peers: FakePeers, holders: set[str]) -> list[str]:
    """Returns keys whose holders are exactly these entry hosts."""
    members = peers.state.members_by_id
    keys = [f"service-a/{number}" for number in range(500)]
    return [key for key in keys if set(key_holders(members, key)) == holders]


async def test_keys_are_handed_over_to_the_new_holder() -> None:
    timers = VirtualTimers()
    peers = FakePeers(5, timers)
    handovers = {
        own_id: peers.handover_of(own_id)
        for own_id in peers.state.members_by_id
    }
    for handover in handovers.values():
        handover.handle_member_changes()
    heads = [make_head(timers, f"entry-0/{n}", key=str(n)) for n in range(40)]
    guard = peers.guard_of("entry-0")
    for head in heads:
        await guard.reserve(head)
        await report_outcome(timers, guard, head, KeyVerdict.DONE, ANSWER)
    # Members are lost one by one, with time for a handover in between.
    for lost in ("entry-1", "entry-2", "entry-3"):
        peers.expire_member(lost)
        del handovers[lost]
        for handover in handovers.values():
            handover.handle_member_changes()
        await timers.advance(20.0)
    survivor = peers.guard_of("entry-4")
    for head in heads:
        again = make_head(timers, f"entry-4/{head.key}", key=head.key)
        reservation = await reserve(timers, survivor, again)
        assert reservation == KeyReservation(KeyVerdict.DONE, ANSWER)


async def test_a_planned_stop_hands_its_keys_over_first() -> None:
    timers = VirtualTimers()
    peers = FakePeers(3, timers)
    keys = keys_held_by(peers, {"entry-0", "entry-1"})
    head = make_head(timers, "entry-2/1", key=keys[0].partition("/")[2])
    guard = peers.guard_of("entry-2")
    await guard.reserve(head)
    await report_outcome(timers, guard, head, KeyVerdict.DONE, ANSWER)
    for leaving in ("entry-0", "entry-1"):
        await peers.handover_of(leaving).hand_over_all()
        del peers.state.members_by_id[leaving]
    again = make_head(timers, "entry-2/2", key=head.key)
    reservation = await peers.guard_of("entry-2").reserve(again)
    assert reservation == KeyReservation(KeyVerdict.DONE, ANSWER)


async def test_keys_whose_holders_were_both_lost_have_unknown_outcomes() -> (
    None
):
    timers = VirtualTimers()
    peers = FakePeers(5, timers)
    lost = {"entry-1", "entry-2"}
    keys_of_lost_holders = keys_held_by(peers, lost)
    keys_of_one_survivor = keys_held_by(peers, {"entry-1", "entry-3"})
    peers.expire_member("entry-1")
    await timers.advance(2.0)
    peers.expire_member("entry-2")

    def is_lost(key: str) -> bool:
        return may_have_been_lost(peers.state, key, timers.wall_ms(), KEPT_MS)

    assert keys_of_lost_holders
    assert all(is_lost(key) for key in keys_of_lost_holders)
    assert not any(is_lost(key) for key in keys_of_one_survivor)
    store = peers.stores_by_address["127.0.0.5:8002"]
    reservation = store.reserve(
        keys_of_lost_holders[0], "entry-4/1", peers.state
    )
    assert reservation.verdict is KeyVerdict.UNKNOWN
    await timers.advance(KEPT_S + 20)
    assert not any(is_lost(key) for key in keys_of_lost_holders)


async def test_losses_far_apart_lose_no_keys() -> None:
    timers = VirtualTimers()
    peers = FakePeers(5, timers)
    keys = keys_held_by(peers, {"entry-1", "entry-2"})
    peers.expire_member("entry-1")
    await timers.advance(20.0)
    peers.expire_member("entry-2")
    assert not any(
        may_have_been_lost(peers.state, key, timers.wall_ms(), KEPT_MS)
        for key in keys
    )


async def test_a_late_holder_releases_a_key_reserved_at_the_other() -> None:
    timers = VirtualTimers()
    peers = FakePeers(3, timers)
    head = make_head(timers, "entry-0/1", key="one")
    guard = peers.guard_of("entry-0")
    first, second = guard.holders(head.scoped_key())
    peers.stores_by_address[second.peers].reserve(
        head.scoped_key(), "entry-1/9", peers.state
    )
    reservation = await reserve(timers, guard, head)
    assert isinstance(reservation, KeyReservation)
    assert reservation.verdict is KeyVerdict.RUNNING
    copy = KeyCopy(head.scoped_key(), "entry-1/9", KeyVerdict.DONE, ANSWER)
    peers.stores_by_address[first.peers].apply_copies([copy])
    again = peers.stores_by_address[first.peers].reserve(
        head.scoped_key(), "entry-2/5", peers.state
    )
    assert again == KeyReservation(KeyVerdict.DONE, ANSWER)


async def test_a_refusal_does_not_wait_for_unreachable_holders() -> None:
    timers = VirtualTimers()
    peers = FakePeers(3, timers)
    head = make_head(timers, "entry-0/1", key="one", deadline_s=2.0)
    guard = peers.guard_of("entry-0")
    peers.unreachable.update(
        holder.peers for holder in guard.holders(head.scoped_key())
    )
    reserving = asyncio.ensure_future(guard.reserve(head))
    await timers.advance(2.0)
    assert reserving.done()
