"""Builds the components of the request path."""

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
    """The components of the request path."""

    endpoints: EndpointTable
    dispatcher: Dispatcher
    prober: Prober
    key_store: KeyStore
    handover: KeyHandover
    frontend: Frontend


def build_routing(
    context: EntryContext,
    state: StateGetter,
    endpoints: EndpointTable,
    relay: Relay,
    readiness: Readiness,
) -> RoutingComponents:
    """Builds the components without starting them.

    Raises:
        ValueError: If the settings name an unknown dispatcher.
    """
    limits = context.settings.requests
    dispatcher = _build_dispatcher(context, state, endpoints)
    prober = Prober(
        context.settings.entry_id, endpoints, relay, context.peers, state
    )
    attempts = AttemptRunner(
        dispatcher,
        relay,
        prober,
        context.timers,
        context.observer,
        limits.retry_ratio,
        readiness.find_reason_not_to_send,
    )
    key_store = KeyStore(
        context.timers, limits.keys_kept_ms / MS_PER_S, limits.keys_limit
    )
    key_context = KeyContext(
        own_id=context.settings.entry_id,
        store=key_store,
        peers=context.peers,
        state=state,
        timers=context.timers,
        observer=context.observer,
    )
    return RoutingComponents(
        endpoints=endpoints,
        dispatcher=dispatcher,
        prober=prober,
        key_store=key_store,
        handover=KeyHandover(key_context),
        frontend=_build_frontend(context, attempts, key_context, readiness),
    )


def _build_frontend(
    context: EntryContext,
    attempts: AttemptRunner,
    key_context: KeyContext,
    readiness: Readiness,
) -> Frontend:
    limits = context.settings.requests
    settings = RoutingSettings(
        entry_id=context.settings.entry_id,
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
        context.timers,
        context.observer,
        readiness.find_reason_not_to_run,
    )


def _build_dispatcher(
    context: EntryContext, state: StateGetter, endpoints: EndpointTable
) -> Dispatcher:
    limits = context.settings.requests
    factory = find_dispatcher(limits.dispatch)
    if factory is None:
        raise ValueError(
            f"requests.dispatch {limits.dispatch!r} is not registered"
        )
    return factory(
        DispatchContext(
            own_id=context.settings.entry_id,
            state=state,
            endpoints=endpoints,
            peers=context.peers,
            timers=context.timers,
            observer=context.observer,
            queue_limit=limits.queue_limit,
            rng=random.Random(context.settings.entry_id),
        )
    )
