"""Builds the components that replicate the state and keep the membership."""

import msgspec

from coltsfootseam.entry.context import MS_PER_S, EntryContext
from coltsfootseam.fleet import OwnershipPlanner, PlannerParts
from coltsfootseam.platform import HostListClient, LogClient
from coltsfootseam.replication import (
    Connectivity,
    FollowTimes,
    LeaseManager,
    LogFollower,
    MemberExpiry,
    MemberIdentity,
    PeerCatchUp,
    Proposer,
    Replica,
    Snapshotter,
)
from coltsfootseam.routing import EndpointTable
from coltsfootseam.settings import EntrySettings


class ReplicationComponents(msgspec.Struct, frozen=True):
    """The components that replicate the state and keep the membership."""

    replica: Replica
    connectivity: Connectivity
    follower: LogFollower
    catch_up: PeerCatchUp
    proposer: Proposer
    lease: LeaseManager
    expiry: MemberExpiry
    snapshotter: Snapshotter
    planner: OwnershipPlanner


def build_replication(
    context: EntryContext, endpoints: EndpointTable
) -> ReplicationComponents:
    """Builds the components without starting them."""
    times = context.settings.timers
    replica = Replica(context.observer)
    connectivity = Connectivity(context.timers, context.observer)
    log = LogClient(
        context.session, context.settings.log, times.log_timeout_ms / MS_PER_S
    )
    proposer = _build_proposer(context, log, replica)
    lease = _build_lease(context, proposer, replica)
    return ReplicationComponents(
        replica=replica,
        connectivity=connectivity,
        follower=_build_follower(context, log, replica, connectivity),
        catch_up=_build_catch_up(context, replica, connectivity),
        proposer=proposer,
        lease=lease,
        expiry=_build_expiry(context, proposer, replica, connectivity),
        snapshotter=_build_snapshotter(context, proposer, replica, lease),
        planner=_build_planner(context, replica, lease, proposer, endpoints),
    )


def _build_proposer(
    context: EntryContext, log: LogClient, replica: Replica
) -> Proposer:
    return Proposer(
        context.settings.entry_id,
        log,
        replica,
        context.timers,
        context.observer,
        context.settings.timers.propose_ms / MS_PER_S,
    )


def _build_lease(
    context: EntryContext, proposer: Proposer, replica: Replica
) -> LeaseManager:
    return LeaseManager(
        _make_identity(context.settings),
        proposer,
        replica,
        context.timers,
        context.observer,
        context.settings.timers.renew_ms / MS_PER_S,
    )


def _build_follower(
    context: EntryContext,
    log: LogClient,
    replica: Replica,
    connectivity: Connectivity,
) -> LogFollower:
    wait_s = context.settings.timers.log_wait_ms / MS_PER_S
    return LogFollower(
        log,
        replica,
        connectivity,
        context.timers,
        context.observer,
        FollowTimes(wait_s=wait_s),
    )


def _build_catch_up(
    context: EntryContext, replica: Replica, connectivity: Connectivity
) -> PeerCatchUp:
    return PeerCatchUp(
        context.peers,
        replica,
        connectivity,
        context.observer,
        context.timers,
        context.settings.advertised_addresses().peers,
        context.settings.peers,
    )


def _build_expiry(
    context: EntryContext,
    proposer: Proposer,
    replica: Replica,
    connectivity: Connectivity,
) -> MemberExpiry:
    return MemberExpiry(
        context.settings.entry_id,
        proposer,
        replica,
        connectivity,
        context.timers,
        context.observer,
        context.settings.timers.drift_margin_ms / MS_PER_S,
    )


def _build_snapshotter(
    context: EntryContext,
    proposer: Proposer,
    replica: Replica,
    lease: LeaseManager,
) -> Snapshotter:
    return Snapshotter(
        context.settings.entry_id,
        proposer,
        replica,
        lease,
        context.timers,
        context.observer,
        context.settings.timers.snapshot_ms / MS_PER_S,
    )


def _make_identity(settings: EntrySettings) -> MemberIdentity:
    addresses = settings.advertised_addresses()
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
    context: EntryContext,
    replica: Replica,
    lease: LeaseManager,
    proposer: Proposer,
    endpoints: EndpointTable,
) -> OwnershipPlanner:
    settings = context.settings
    host_list = HostListClient(
        context.session,
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
            peers=context.peers,
            observer=context.observer,
            count_in_progress=endpoints.in_progress_on,
        )
    )
