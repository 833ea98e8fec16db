"""Idempotency keys let a request run at most once."""

import asyncio
from typing import Any

from coltsfootseam.observe import Observer
from coltsfootseam.peers import Answer, KeyReservation, KeyVerdict
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.routing import KeyGuard, KeyStore
from coltsfootseam.state import FleetState
from coltsfootseam.timers import VirtualTimers
from tests.common.routes import make_head
from tests.common.states import make_state

ANSWER = Answer(200, [], b"whole")
KEPT_S = 600.0


class FakePeers:
    """Key stores of several entry hosts that can be cut off."""

    def __init__(self, members: int, timers: VirtualTimers) -> None:
        self.timers = timers
        self.state = make_state(members)
        self.cut_off: set[str] = set()
        self.stores_by_address = {
            member.peers: KeyStore(timers, KEPT_S, 1000)
            for member in self.state.members_by_id.values()
        }

    async def reserve_key(
        self, address: str, key: str, request_id: str
    ) -> KeyReservation | Refusal:
        """Reserves at the store with an address."""
        if address in self.cut_off:
            return Refusal(ResultCode.UNREACHABLE, address)
        store = self.stores_by_address[address]
        return store.reserve(key, request_id, self.state)

    async def settle_key(
        self, address: str, key: str, request_id: str, verdict: Any, answer: Any
    ) -> Refusal | None:
        """Settles at the store with an address."""
        if address in self.cut_off:
            return Refusal(ResultCode.UNREACHABLE, address)
        store = self.stores_by_address[address]
        store.settle(key, request_id, verdict, answer)
        return None

    def guard_of(self, own_id: str) -> KeyGuard:
        """Returns the guard of one entry host."""
        member = self.state.members_by_id[own_id]
        peers: Any = self
        return KeyGuard(
            own_id,
            self.stores_by_address[member.peers],
            peers,
            lambda: self.state,
            self.timers,
            Observer(self.timers, own_id, "zone-a"),
        )


def make_store(limit: int = 1000) -> tuple[KeyStore, VirtualTimers, FleetState]:
    timers = VirtualTimers()
    return KeyStore(timers, KEPT_S, limit), timers, make_state(members=2)


def test_a_key_is_reserved_for_the_first_request() -> None:
    store, _, state = make_store()
    first = store.reserve("a", "entry-0/1", state)
    second = store.reserve("a", "entry-1/2", state)
    assert first.verdict is KeyVerdict.NEW
    assert second.verdict is KeyVerdict.RUNNING


def test_a_reservation_whose_reply_was_lost_is_settled_by_asking_again() -> (
    None
):
    store, _, state = make_store()
    store.reserve("a", "entry-0/1", state)
    again = store.reserve("a", "entry-0/1", state)
    assert again.verdict is KeyVerdict.NEW


def test_a_request_that_was_not_run_frees_its_key() -> None:
    store, _, state = make_store()
    store.reserve("a", "entry-0/1", state)
    store.settle("a", "entry-0/1", KeyVerdict.NOT_RUN, None)
    late = store.reserve("a", "entry-0/1", state)
    other = store.reserve("a", "entry-1/2", state)
    assert late.verdict is KeyVerdict.NOT_RUN
    assert other.verdict is KeyVerdict.NEW


def test_the_kept_answer_is_given_again() -> None:
    store, _, state = make_store()
    store.reserve("a", "entry-0/1", state)
    store.settle("a", "entry-0/1", KeyVerdict.DONE, ANSWER)
    again = store.reserve("a", "entry-1/2", state)
    assert again == KeyReservation(KeyVerdict.DONE, ANSWER)


def test_a_key_whose_entry_host_is_gone_has_an_unknown_outcome() -> None:
    store, _, state = make_store()
    store.reserve("a", "entry-1/1", state)
    del state.members_by_id["entry-1"]
    again = store.reserve("a", "entry-0/2", state)
    assert again.verdict is KeyVerdict.UNKNOWN


def test_only_the_request_that_holds_a_key_settles_it() -> None:
    store, _, state = make_store()
    store.reserve("a", "entry-0/1", state)
    store.settle("a", "entry-1/2", KeyVerdict.NOT_RUN, None)
    again = store.reserve("a", "entry-1/3", state)
    assert again.verdict is KeyVerdict.RUNNING


async def test_a_settled_key_is_forgotten_after_its_time() -> None:
    store, timers, state = make_store()
    store.reserve("a", "entry-0/1", state)
    store.settle("a", "entry-0/1", KeyVerdict.DONE, ANSWER)
    await timers.advance(KEPT_S + 1)
    assert store.reserve("a", "entry-1/2", state).verdict is KeyVerdict.NEW


async def test_a_key_still_in_progress_is_never_forgotten() -> None:
    store, timers, state = make_store()
    store.reserve("a", "entry-0/1", state)
    await timers.advance(KEPT_S + 1)
    assert store.reserve("a", "entry-1/2", state).verdict is KeyVerdict.RUNNING


def test_a_full_store_takes_no_new_key_and_drops_none() -> None:
    store, _, state = make_store(limit=2)
    store.reserve("a", "entry-0/1", state)
    store.reserve("b", "entry-0/2", state)
    assert store.reserve("c", "entry-0/3", state).verdict is KeyVerdict.FULL
    assert store.reserve("a", "entry-1/4", state).verdict is KeyVerdict.RUNNING


async def test_of_racing_requests_with_one_key_exactly_one_goes_on() -> None:
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
        await guard.settle(first, KeyVerdict.DONE, ANSWER)
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
    peers.cut_off.add(others[0])
    reserving = asyncio.ensure_future(guard.reserve(head))
    await timers.advance(10.0)
    refusal = reserving.result()
    assert isinstance(refusal, Refusal)
    assert refusal.code is ResultCode.NOT_RUN_KEY_UNGUARDED
