"""The parts of an entry host, built from its settings."""

import contextlib
import random
from collections.abc import AsyncIterator

import aiohttp
import msgspec

from coltsfootseam.entry.readiness import Readiness
from coltsfootseam.fleet import OwnershipPlanner, PlannerParts
from coltsfootseam.observe import Counters, Observer
from coltsfootseam.peers import PeerClients, calling_peers
from coltsfootseam.platform import HostListClient, LogClient
from coltsfootseam.replication import (
    Connectivity,
    FollowTimes,
    LeaseKeeper,
    LogFollower,
    MemberExpiry,
    MemberIdentity,
    PeerCatchUp,
    Proposer,
    Replica,
    Snapshotter,
)
from coltsfootseam.routing import (
    AttemptRunner,
    DeadlineLimits,
    DispatchContext,
    Dispatcher,
    EndpointTable,
    Frontend,
    KeyGuard,
    KeyHandover,
    KeyStore,
    Prober,
    Relay,
    RoutingSettings,
    find_dispatcher,
    relaying,
)
from coltsfootseam.settings import EntrySettings
from coltsfootseam.timers import LoopTimers, TimerService

MS_PER_S = 1000


class Core(msgspec.Struct, frozen=True):
    """What every other part of an entry host uses.

    Attributes:
        settings: Its settings.
        timers: The time.
        observer: Events and counters.
        session: HTTP connections to the platform.
        peers: Calls to other entry hosts.
    """

    settings: EntrySettings
    timers: TimerService
    observer: Observer
    session: aiohttp.ClientSession
    peers: PeerClients


class ReplicationParts(msgspec.Struct, frozen=True):
    """The parts that keep the folded state and the membership."""

    replica: Replica
    connectivity: Connectivity
    follower: LogFollower
    catch_up: PeerCatchUp
    proposer: Proposer
    lease: LeaseKeeper
    expiry: MemberExpiry
    snapshotter: Snapshotter
    planner: OwnershipPlanner


class RoutingParts(msgspec.Struct, frozen=True):
    """The parts of the request path."""

    endpoints: EndpointTable
    dispatcher: Dispatcher
    prober: Prober
    key_store: KeyStore
    handover: KeyHandover
    frontend: Frontend


class Node(msgspec.Struct, frozen=True):
    """An entry host."""

    core: Core
    replication: ReplicationParts
    routing: RoutingParts
    readiness: Readiness


@contextlib.asynccontextmanager
async def building_node(settings: EntrySettings) -> AsyncIterator[Node]:
    """Yields an entry host whose connections are closed with the context.

    Raises:
        ValueError: If the settings name a way of dispatch that is not there.
    """
    timers = LoopTimers()
    observer = Observer(
        timers, settings.entry_id, settings.zone, _make_counters(settings)
    )
    peer_timeout_s = settings.timers.peer_timeout_ms / MS_PER_S
    async with (
        aiohttp.ClientSession() as session,
        calling_peers(observer.clock, peer_timeout_s) as peers,
        relaying(settings.requests.connect_ms / MS_PER_S) as relay,
    ):
        core = Core(settings, timers, observer, session, peers)
        endpoints = EndpointTable(observer)
        replication = _build_replication(core, endpoints)
        readiness = Readiness(
            settings,
            replication.replica,
            replication.connectivity,
            replication.lease,
        )
        routing = _build_routing(core, replication, endpoints, relay, readiness)
        try:
            yield Node(core, replication, routing, readiness)
        finally:
            await routing.dispatcher.close()


def _make_counters(settings: EntrySettings) -> Counters:
    if settings.statsd is None:
        return Counters()
    host, _, port = settings.statsd.address.partition(":")
    prefix = f"{settings.statsd.prefix}.{settings.entry_id}"
    return Counters(host, int(port), prefix)


def _build_replication(
    core: Core, endpoints: EndpointTable
) -> ReplicationParts:
    settings = core.settings
    times = settings.timers
    identity = _make_identity(settings)
    replica = Replica(core.observer)
    connectivity = Connectivity(core.timers, core.observer)
    log = LogClient(core.session, settings.log, times.log_timeout_ms / MS_PER_S)
    proposer = Proposer(
        settings.entry_id,
        log,
        replica,
        core.timers,
        core.observer,
        times.propose_ms / MS_PER_S,
    )
    lease = LeaseKeeper(
        identity,
        proposer,
        replica,
        core.timers,
        core.observer,
        times.renew_ms / MS_PER_S,
    )
    return ReplicationParts(
        replica=replica,
        connectivity=connectivity,
        follower=LogFollower(
            log,
            replica,
            connectivity,
            core.timers,
            core.observer,
            FollowTimes(wait_s=times.log_wait_ms / MS_PER_S),
        ),
        catch_up=PeerCatchUp(
            core.peers,
            replica,
            connectivity,
            core.observer,
            identity.peers,
            settings.peers,
        ),
        proposer=proposer,
        lease=lease,
        expiry=MemberExpiry(
            settings.entry_id,
            proposer,
            replica,
            connectivity,
            core.timers,
            core.observer,
            times.drift_margin_ms / MS_PER_S,
        ),
        snapshotter=Snapshotter(
            settings.entry_id,
            proposer,
            replica,
            lease,
            core.timers,
            core.observer,
            times.snapshot_ms / MS_PER_S,
        ),
        planner=_build_planner(core, replica, lease, proposer, endpoints),
    )


def _make_identity(settings: EntrySettings) -> MemberIdentity:
    addresses = settings.reachable_at()
    return MemberIdentity(
        member_id=settings.entry_id,
        region=settings.region,
        zone=settings.zone,
        callers=addresses.callers,
        admin=addresses.admin,
        peers=addresses.peers,
        lease_ms=settings.timers.lease_ms,
        drift_margin_ms=settings.timers.drift_margin_ms,
    )


def _build_planner(
    core: Core,
    replica: Replica,
    lease: LeaseKeeper,
    proposer: Proposer,
    endpoints: EndpointTable,
) -> OwnershipPlanner:
    settings = core.settings
    host_list = HostListClient(
        core.session,
        settings.host_list,
        settings.timers.log_timeout_ms / MS_PER_S,
    )
    return OwnershipPlanner(
        PlannerParts(
            own_id=settings.entry_id,
            host_list=host_list,
            replica=replica,
            lease=lease,
            proposer=proposer,
            peers=core.peers,
            observer=core.observer,
            in_progress_here=endpoints.in_progress_on,
        )
    )


def _build_routing(
    core: Core,
    replication: ReplicationParts,
    endpoints: EndpointTable,
    relay: Relay,
    readiness: Readiness,
) -> RoutingParts:
    settings = core.settings
    limits = settings.requests
    dispatcher = _build_dispatcher(core, replication.replica, endpoints)
    prober = Prober(
        settings.entry_id,
        endpoints,
        relay,
        core.peers,
        lambda: replication.replica.state,
    )
    attempts = AttemptRunner(
        dispatcher,
        relay,
        prober,
        core.timers,
        core.observer,
        limits.retry_ratio,
    )
    key_store = KeyStore(
        core.timers, limits.keys_kept_ms / MS_PER_S, limits.keys_limit
    )
    key_guard = KeyGuard(
        settings.entry_id,
        key_store,
        core.peers,
        lambda: replication.replica.state,
        core.timers,
        core.observer,
    )
    frontend = Frontend(
        RoutingSettings(
            entry_id=settings.entry_id,
            deadlines=DeadlineLimits(
                limits.default_deadline_ms, limits.longest_deadline_ms
            ),
            buffered_body_bytes=limits.buffered_body_bytes,
            kept_answer_bytes=limits.kept_answer_bytes,
        ),
        attempts,
        key_guard,
        core.timers,
        core.observer,
        readiness.find_reason_not_to_run,
    )
    handover = KeyHandover(
        settings.entry_id,
        key_store,
        core.peers,
        lambda: replication.replica.state,
        core.timers,
        core.observer,
    )
    return RoutingParts(
        endpoints, dispatcher, prober, key_store, handover, frontend
    )


def _build_dispatcher(
    core: Core, replica: Replica, endpoints: EndpointTable
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
            state=lambda: replica.state,
            endpoints=endpoints,
            peers=core.peers,
            timers=core.timers,
            observer=core.observer,
            queue_limit=limits.queue_limit,
            rng=random.Random(core.settings.entry_id),
        )
    )
