"""Building the parts of the request path."""

import random
from collections.abc import Callable

import msgspec

from coltsfootseam.entry.context import MS_PER_S, EntryContext
from coltsfootseam.entry.readiness import Readiness
from coltsfootseam.routing import (
    AttemptRunner,
    DeadlineLimits,
    DispatchContext,
    Dispatcher,
    EndpointTable,
    Frontend,
    KeyContext,
    KeyGuard,
    KeyHandover,
    KeyStore,
    Prober,
    Relay,
    RoutingSettings,
    find_dispatcher,
)
from coltsfootseam.state import FleetState

StateGetter = Callable[[], FleetState]


class RoutingComponents(msgspec.Struct, frozen=True):
    """The parts of the request path."""

    endpoints: EndpointTable
    dispatcher: Dispatcher
    prober: Prober
    key_store: KeyStore
    handover: KeyHandover
    frontend: Frontend


def build_routing(
    core: EntryContext,
    state: StateGetter,
    endpoints: EndpointTable,
    relay: Relay,
    readiness: Readiness,
) -> RoutingComponents:
    """Builds the parts.

    Raises:
        ValueError: If the settings name a way of dispatch that is not there.
    """
    limits = core.settings.requests
    dispatcher = _build_dispatcher(core, state, endpoints)
    prober = Prober(core.settings.entry_id, endpoints, relay, core.peers, state)
    attempts = AttemptRunner(
        dispatcher,
        relay,
        prober,
        core.timers,
        core.observer,
        limits.retry_ratio,
        readiness.find_reason_not_to_send,
    )
    key_store = KeyStore(
        core.timers, limits.keys_kept_ms / MS_PER_S, limits.keys_limit
    )
    key_context = KeyContext(
        own_id=core.settings.entry_id,
        store=key_store,
        peers=core.peers,
        state=state,
        timers=core.timers,
        observer=core.observer,
    )
    return RoutingComponents(
        endpoints=endpoints,
        dispatcher=dispatcher,
        prober=prober,
        key_store=key_store,
        handover=KeyHandover(key_context),
        frontend=_build_frontend(core, attempts, key_context, readiness),
    )


def _build_frontend(
    core: EntryContext,
    attempts: AttemptRunner,
    key_context: KeyContext,
    readiness: Readiness,
) -> Frontend:
    limits = core.settings.requests
    settings = RoutingSettings(
        entry_id=core.settings.entry_id,
        deadlines=DeadlineLimits(
            limits.default_deadline_ms, limits.longest_deadline_ms
        ),
        buffered_body_bytes=limits.buffered_body_bytes,
        kept_answer_bytes=limits.kept_answer_bytes,
    )
    return Frontend(
        settings,
        attempts,
        KeyGuard(key_context),
        core.timers,
        core.observer,
        readiness.find_reason_not_to_run,
    )


def _build_dispatcher(
    core: EntryContext, state: StateGetter, endpoints: EndpointTable
) -> Dispatcher:
    limits = core.settings.requests
    factory = find_dispatcher(limits.dispatch)
    if factory is None:
        raise ValueError(
            f"requests.dispatch {limits.dispatch!r} is not registered"
        )
    return factory(
        DispatchContext(
            own_id=core.settings.entry_id,
            state=state,
            endpoints=endpoints,
            peers=core.peers,
            timers=core.timers,
            observer=core.observer,
            queue_limit=limits.queue_limit,
            rng=random.Random(core.settings.entry_id),
        )
    )
