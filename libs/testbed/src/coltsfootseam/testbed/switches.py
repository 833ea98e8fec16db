"""Mechanisms that can be switched off, to see a test of them fail.

A test that passes proves little unless it fails without what it is about.
Each switch takes one mechanism out of a process that runs the product's code.
The environment variable ``COLTSFOOTSEAM_SWITCHED_OFF`` names one.
"""

import asyncio
import os
from collections.abc import Callable
from typing import Any

from coltsfootseam.entry import daemon
from coltsfootseam.peers import KeyReservation, KeyVerdict
from coltsfootseam.replication import Replica
from coltsfootseam.results import Refusal
from coltsfootseam.routing import KeyGuard, KeyStore, attempts
from coltsfootseam.routing.internal import book, granted, service
from coltsfootseam.routing.prober import Prober
from coltsfootseam.routing.sink import AnswerSink, SinkState
from coltsfootseam.state import HostClaimed, decode_state
from coltsfootseam.state.internal import hosts
from coltsfootseam.state.internal.registry import handlers_by_kind

VARIABLE = "COLTSFOOTSEAM_SWITCHED_OFF"

_switches_by_name: dict[str, Callable[[], None]] = {}


def switch(name: str) -> Callable[[Callable[[], None]], Callable[[], None]]:
    """Registers what takes a mechanism out."""

    def register(take_out: Callable[[], None]) -> Callable[[], None]:
        assert name not in _switches_by_name, name
        _switches_by_name[name] = take_out
        return take_out

    return register


def registered_switches() -> list[str]:
    """Returns the names of all switches."""
    return sorted(_switches_by_name)


def apply_switch_from_environment() -> None:
    """Takes out the mechanism that the environment names, if any.

    Raises:
        KeyError: If there is no switch with that name.
    """
    name = os.environ.get(VARIABLE)
    if name:
        _switches_by_name[name]()


def _replace(owner: Any, name: str, value: Any) -> None:
    setattr(owner, name, value)


@switch("availability-budget")
def _drain_without_budget() -> None:
    _replace(hosts, "_count_down", lambda state, pool: -1_000_000)


@switch("one-owner")
def _claim_whoever_owns() -> None:
    accept = handlers_by_kind[HostClaimed]

    def claim(state: Any, offset: int, record: Any, body: Any) -> Refusal:
        state.claims_by_host_id.pop(body.host_id, None)
        return accept(state, offset, record, body)

    handlers_by_kind[HostClaimed] = claim


@switch("cut-answers")
def _end_cut_answers_as_if_whole() -> None:
    def detach(sink: AnswerSink) -> None:
        sink.state = SinkState.DETACHED
        response = sink.response()
        if response is not None:
            ending = asyncio.ensure_future(response.write_eof())
            ending.add_done_callback(lambda task: task.exception())

    _replace(AnswerSink, "detach", detach)


@switch("true-not-run")
def _forget_attempts_that_may_have_run() -> None:
    _replace(
        attempts, "_conclude_refused", lambda refusal, may_have_run: refusal
    )


@switch("idempotency-keys")
def _reserve_every_key() -> None:
    async def reserve(guard: KeyGuard, request: Any) -> KeyReservation:
        return KeyReservation(KeyVerdict.NEW)

    def reserve_here(store: KeyStore, *arguments: Any) -> KeyReservation:
        return KeyReservation(KeyVerdict.NEW)

    _replace(KeyGuard, "reserve", reserve)
    _replace(KeyStore, "reserve", reserve_here)


@switch("leaving-endpoints")
def _trust_the_host_list_alone() -> None:
    async def is_ready(runner: Any, grant: Any) -> bool:
        return True

    _replace(attempts.AttemptRunner, "_is_ready", is_ready)
    _replace(Prober, "judge", lambda prober, endpoint, attempt: None)


@switch("graceful-stop")
def _stop_at_once() -> None:
    async def stop(entry_host: Any, callers_site: Any) -> None:
        await callers_site.stop()

    _replace(daemon, "_stop_gracefully", stop)


@switch("never-back")
def _take_over_any_state() -> None:
    def restore(replica: Replica, data: bytes, origin: str) -> bool:
        state = decode_state(data)
        assert not isinstance(state, Refusal)
        replica.state = state
        return True

    _replace(Replica, "restore", restore)


@switch("silent-members")
def _grant_what_silent_members_may_hold() -> None:
    def activate(dispatcher: Any) -> None:
        dispatcher.active = True

    _replace(service, "most_slots_of_one_entry", lambda slots, members: slots)
    _replace(service.ServiceDispatcher, "_activate_if_majority", activate)
    _replace(book.SlotBook, "reported", _EveryMember())


@switch("stale-grants")
def _take_grants_of_any_term() -> None:
    def take(dispatcher: Any, dispatcher_id: str, grant: Any) -> None:
        waiter = dispatcher._waiters_by_request_id.get(grant.request_id)
        if waiter is None or waiter.future.done():
            return
        made = dispatcher._make_grant(waiter.head, grant)
        if made is None:
            return
        made.endpoint.in_use += 1
        dispatcher._grants_by_request_id[grant.request_id] = made
        waiter.future.set_result(made)

    _replace(granted.GrantedDispatcher, "_take_grant", take)


class _EveryMember:
    """Stands in for a set of reported members that holds everyone."""

    def __get__(self, owner: Any, kind: type) -> "_EveryMember":
        return self

    def __set__(self, owner: Any, value: Any) -> None:
        pass

    def __contains__(self, member_id: str) -> bool:
        return True

    def __iter__(self) -> Any:
        return iter(())

    def add(self, member_id: str) -> None:
        """Holds everyone already."""

    def discard(self, member_id: str) -> None:
        """Forgets nobody."""
