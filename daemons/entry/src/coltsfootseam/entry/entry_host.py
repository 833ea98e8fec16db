"""An entry host, built from its settings."""

import contextlib
from collections.abc import AsyncIterator

import aiohttp
import msgspec

from coltsfootseam.entry.context import MS_PER_S, EntryContext
from coltsfootseam.entry.readiness import Readiness
from coltsfootseam.entry.replication_components import (
    ReplicationComponents,
    build_replication,
)
from coltsfootseam.entry.routing_components import (
    RoutingComponents,
    build_routing,
)
from coltsfootseam.observe import Counters, Observer
from coltsfootseam.peers import calling_peers
from coltsfootseam.routing import EndpointTable, open_relay
from coltsfootseam.settings import EntrySettings
from coltsfootseam.timers import LoopTimers


class EntryHost(msgspec.Struct, frozen=True):
    """The components of an entry host."""

    context: EntryContext
    replication: ReplicationComponents
    routing: RoutingComponents
    readiness: Readiness


@contextlib.asynccontextmanager
async def building_entry_host(
    settings: EntrySettings,
) -> AsyncIterator[EntryHost]:
    """Yields an entry host; its connections are closed on exit.

    Raises:
        ValueError: If the settings name an unknown dispatcher.
    """
    timers = LoopTimers()
    observer = Observer(
        timers, settings.entry_id, settings.zone, _make_counters(settings)
    )
    peer_timeout_s = settings.timers.peer_timeout_ms / MS_PER_S
    async with (
        aiohttp.ClientSession() as session,
        calling_peers(observer.clock, peer_timeout_s) as peers,
        open_relay(settings.requests.connect_ms / MS_PER_S) as relay,
    ):
        context = EntryContext(settings, timers, observer, session, peers)
        endpoints = EndpointTable(observer)
        replication = build_replication(context, endpoints)
        readiness = Readiness(
            settings,
            replication.replica,
            replication.connectivity,
            replication.lease,
        )
        routing = build_routing(
            context,
            lambda: replication.replica.state,
            endpoints,
            relay,
            readiness,
        )
        try:
            yield EntryHost(context, replication, routing, readiness)
        finally:
            await routing.dispatcher.close()


def _make_counters(settings: EntrySettings) -> Counters:
    if settings.statsd is None:
        return Counters()
    host, _, port = settings.statsd.address.partition(":")
    prefix = f"{settings.statsd.prefix}.{settings.entry_id}"
    return Counters(host, int(port), prefix)
