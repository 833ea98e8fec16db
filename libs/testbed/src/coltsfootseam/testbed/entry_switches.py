"""Mechanisms of the entry host that can be switched off."""

import asyncio
from typing import Any

from coltsfootseam.entry import daemon
from coltsfootseam.peers import KeyReservation, KeyVerdict
from coltsfootseam.replication import Replica
from coltsfootseam.results import Refusal
from coltsfootseam.routing import KeyGuard, KeyStore, attempts
from coltsfootseam.routing.internal import granted, service, slot_table
from coltsfootseam.routing.prober import Prober
from coltsfootseam.routing.response_sink import ResponseSink, SinkState
from coltsfootseam.state import HostClaimed, decode_state
from coltsfootseam.state.internal import hosts
from coltsfootseam.state.internal.registry import handlers_by_kind
from coltsfootseam.testbed.switchboard import replace, switch


@switch("availability-budget")
def _drain_without_budget() -> None:
    replace(hosts, "_count_down", lambda state, pool: -1_000_000)


@switch("one-owner")
def _accept_claims_of_owned_hosts() -> None:
    handle_claim = handlers_by_kind[HostClaimed]

    def handle(state: Any, offset: int, record: Any, body: Any) -> Refusal:
        state.claims_by_host_id.pop(body.host_id, None)
        return handle_claim(state, offset, record, body)

    handlers_by_kind[HostClaimed] = handle


@switch("cut-answers")
def _complete_cut_responses() -> None:
    def detach(sink: ResponseSink) -> None:
        sink.state = SinkState.DETACHED
        response = sink.response()
        if response is not None:
            write_end = asyncio.ensure_future(response.write_eof())
            write_end.add_done_callback(lambda task: task.exception())

    replace(ResponseSink, "detach", detach)


@switch("true-not-run")
def _ignore_attempts_that_may_have_run() -> None:
    replace(attempts, "_final_refusal", lambda refusal, may_have_run: refusal)


@switch("idempotency-keys")
def _reserve_every_key() -> None:
    async def reserve(guard: KeyGuard, request: Any) -> KeyReservation:
        return KeyReservation(KeyVerdict.NEW)

    def reserve_locally(store: KeyStore, *arguments: Any) -> KeyReservation:
        return KeyReservation(KeyVerdict.NEW)

    replace(KeyGuard, "reserve", reserve)
    replace(KeyStore, "reserve", reserve_locally)


@switch("leaving-endpoints")
def _trust_the_host_list_alone() -> None:
    async def is_ready(runner: Any, grant: Any) -> bool:
        return True

    replace(attempts.AttemptRunner, "_is_ready", is_ready)
    replace(Prober, "handle_attempt", lambda prober, endpoint, attempt: None)


@switch("graceful-stop")
def _stop_at_once() -> None:
    async def stop(entry_host: Any, callers_site: Any) -> None:
        await callers_site.stop()

    replace(daemon, "_stop_gracefully", stop)


@switch("never-back")
def _restore_any_state() -> None:
    def restore(replica: Replica, data: bytes, origin: str) -> bool:
        state = decode_state(data)
        assert not isinstance(state, Refusal)
        replica.state = state
        return True

    replace(Replica, "restore", restore)


@switch("silent-members")
def _grant_slots_held_by_unresponsive_members() -> None:
    def activate(dispatcher: Any) -> None:
        dispatcher.active = True

    replace(service, "max_slots_per_entry", lambda slots, members: slots)
    replace(service.ServiceDispatcher, "_activate_if_majority", activate)
    replace(slot_table.SlotTable, "reported", _AllMembers())


@switch("stale-grants")
def _accept_grants_of_any_term() -> None:
    def accept(dispatcher: Any, dispatcher_id: str, grant: Any) -> None:
        waiter = dispatcher._waiters_by_request_id.get(grant.request_id)
        if waiter is None or waiter.future.done():
            return
        accepted = dispatcher._make_grant(waiter.head, grant)
        if accepted is None:
            return
        accepted.endpoint.in_use += 1
        dispatcher._grants_by_request_id[grant.request_id] = accepted
        waiter.future.set_result(accepted)

    replace(granted.GrantedDispatcher, "_handle_grant", accept)


class _AllMembers:
    """Replaces the set of members that reported by one that has them all."""

    def __get__(self, owner: Any, kind: type) -> "_AllMembers":
        return self

    def __set__(self, owner: Any, value: Any) -> None:
        pass

    def __contains__(self, member_id: str) -> bool:
        return True

    def __iter__(self) -> Any:
        return iter(())

    def add(self, member_id: str) -> None:
        """Does nothing, as every member is included."""

    def discard(self, member_id: str) -> None:
        """Does nothing, as every member stays included."""
