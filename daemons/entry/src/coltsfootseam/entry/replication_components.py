"""Building the parts that keep the folded state and the membership."""

import msgspec

from coltsfootseam.entry.context import MS_PER_S, EntryContext
from coltsfootseam.fleet import OwnershipPlanner, PlannerParts
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
from coltsfootseam.routing import EndpointTable
from coltsfootseam.settings import EntrySettings


class ReplicationComponents(msgspec.Struct, frozen=True):
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


def build_replication(
    core: EntryContext, endpoints: EndpointTable
) -> ReplicationComponents:
    """Builds the parts; none of them runs yet."""
    times = core.settings.timers
    replica = Replica(core.observer)
    connectivity = Connectivity(core.timers, core.observer)
    log = LogClient(
        core.session, core.settings.log, times.log_timeout_ms / MS_PER_S
    )
    proposer = _build_proposer(core, log, replica)
    lease = _build_lease(core, proposer, replica)
    return ReplicationComponents(
        replica=replica,
        connectivity=connectivity,
        follower=_build_follower(core, log, replica, connectivity),
        catch_up=_build_catch_up(core, replica, connectivity),
        proposer=proposer,
        lease=lease,
        expiry=_build_expiry(core, proposer, replica, connectivity),
        snapshotter=_build_snapshotter(core, proposer, replica, lease),
        planner=_build_planner(core, replica, lease, proposer, endpoints),
    )


def _build_proposer(
    core: EntryContext, log: LogClient, replica: Replica
) -> Proposer:
    return Proposer(
        core.settings.entry_id,
        log,
        replica,
        core.timers,
        core.observer,
        core.settings.timers.propose_ms / MS_PER_S,
    )


def _build_lease(
    core: EntryContext, proposer: Proposer, replica: Replica
) -> LeaseKeeper:
    return LeaseKeeper(
        _make_identity(core.settings),
        proposer,
        replica,
        core.timers,
        core.observer,
        core.settings.timers.renew_ms / MS_PER_S,
    )


def _build_follower(
    core: EntryContext,
    log: LogClient,
    replica: Replica,
    connectivity: Connectivity,
) -> LogFollower:
    wait_s = core.settings.timers.log_wait_ms / MS_PER_S
    return LogFollower(
        log,
        replica,
        connectivity,
        core.timers,
        core.observer,
        FollowTimes(wait_s=wait_s),
    )


def _build_catch_up(
    core: EntryContext, replica: Replica, connectivity: Connectivity
) -> PeerCatchUp:
    return PeerCatchUp(
        core.peers,
        replica,
        connectivity,
        core.observer,
        core.timers,
        core.settings.advertised_addresses().peers,
        core.settings.peers,
    )


def _build_expiry(
    core: EntryContext,
    proposer: Proposer,
    replica: Replica,
    connectivity: Connectivity,
) -> MemberExpiry:
    return MemberExpiry(
        core.settings.entry_id,
        proposer,
        replica,
        connectivity,
        core.timers,
        core.observer,
        core.settings.timers.drift_margin_ms / MS_PER_S,
    )


def _build_snapshotter(
    core: EntryContext, proposer: Proposer, replica: Replica, lease: LeaseKeeper
) -> Snapshotter:
    return Snapshotter(
        core.settings.entry_id,
        proposer,
        replica,
        lease,
        core.timers,
        core.observer,
        core.settings.timers.snapshot_ms / MS_PER_S,
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
    core: EntryContext,
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
