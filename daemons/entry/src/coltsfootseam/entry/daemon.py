"""Runs an entry host until a signal stops it."""

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator, Iterator

import msgspec

from coltsfootseam.connections import (
    Listener,
    LoopShare,
    Port,
    ProcessLimits,
    Report,
    RequestLimits,
    make_server,
    serving_application,
    serving_connections,
)
from coltsfootseam.entry.admin import AdminInterface
from coltsfootseam.entry.context import MS_PER_S
from coltsfootseam.entry.entry_host import EntryHost, building_entry_host
from coltsfootseam.entry.peer_service import EntryPeerService
from coltsfootseam.observe import configure_logs
from coltsfootseam.peers import serving_peers
from coltsfootseam.settings import EntrySettings
from coltsfootseam.state import (
    LeaseRenewed,
    Outcome,
    Record,
    SnapshotChunk,
)
from coltsfootseam.timers import Callback

_LEASE_PERIOD_S = 0.2
_DISPATCH_PERIOD_S = 0.2
_EXPIRY_PERIOD_S = 0.5
_SNAPSHOT_PERIOD_S = 1.0
_STOP_POLL_S = 0.05
_SHUTDOWN_TIMEOUT_S = 1.0


async def run_entry(settings: EntrySettings) -> None:
    """Runs an entry host until SIGTERM or SIGINT.

    The stop is graceful: the host reports itself as not ready, completes the
    requests in progress and releases its lease.

    Raises:
        OSError: If an address cannot be listened on.
        ValueError: If the settings name an unknown dispatcher.
    """
    configure_logs(settings.entry_id, settings.log_level)
    stop = _stop_on_signal()
    share = LoopShare()
    async with (
        building_entry_host(settings) as entry_host,
        serving_peers(
            settings.listen.peers,
            EntryPeerService(entry_host),
            entry_host.context.observer.clock,
        ),
        _serving_admin(entry_host, share),
        _serving_callers(entry_host, share) as listener,
    ):
        with _running_background_tasks(entry_host):
            entry_host.context.observer.record_change(
                "entry.started", settings.entry_id
            )
            await stop.wait()
            await _stop_gracefully(entry_host, listener)
            entry_host.context.observer.record_change(
                "entry.stopped", settings.entry_id
            )


def _stop_on_signal() -> asyncio.Event:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    return stop


@contextlib.asynccontextmanager
async def _serving_admin(
    entry_host: EntryHost, share: LoopShare
) -> AsyncIterator[None]:
    settings = entry_host.context.settings
    port = Port(
        settings.listen.admin,
        _process_limits(settings).for_operators(),
        share,
        _report_to(entry_host, "admin"),
    )
    app = AdminInterface(entry_host).make_application()
    async with serving_application(app, port, _SHUTDOWN_TIMEOUT_S):
        yield


@contextlib.asynccontextmanager
async def _serving_callers(
    entry_host: EntryHost, share: LoopShare
) -> AsyncIterator[Listener]:
    settings = entry_host.context.settings
    limits = RequestLimits.for_streams(
        settings.requests.longest_head_bytes,
        settings.requests.buffered_body_bytes,
    )
    port = Port(
        settings.listen.callers,
        _process_limits(settings).for_callers(),
        share,
        _report_to(entry_host, "callers"),
        lambda: limits,
    )
    server = make_server(entry_host.routing.frontend.handle)
    async with serving_connections(
        server, port, _SHUTDOWN_TIMEOUT_S
    ) as listener:
        yield listener


def _process_limits(settings: EntrySettings) -> ProcessLimits:
    return ProcessLimits(settings.limits.memory_mb, settings.limits.descriptors)


def _report_to(entry_host: EntryHost, port: str) -> Report:
    """Returns what records the connections of a port that were closed."""

    def report(cause: str, count: int, open_count: int, held: int) -> None:
        observer = entry_host.context.observer
        observer.count(f"connections.closed.{cause}", count)
        observer.record_event(
            "connections.closed",
            port,
            f"{cause}: {count}, {open_count} open, {held} bytes held",
        )

    return report


@contextlib.contextmanager
def _running_background_tasks(entry_host: EntryHost) -> Iterator[None]:
    """Runs the log follower and the periodic tasks inside the context."""
    _subscribe_to_state(entry_host)
    following = asyncio.ensure_future(entry_host.replication.follower.run())
    subscriptions = [
        entry_host.context.timers.subscribe(task.period_s, task.callback)
        for task in _periodic_tasks(entry_host)
    ]
    try:
        yield
    finally:
        following.cancel()
        for subscription in subscriptions:
            subscription.cancel()


class _PeriodicTask(msgspec.Struct, frozen=True):
    period_s: float
    callback: Callback


def _periodic_tasks(entry_host: EntryHost) -> list[_PeriodicTask]:
    times = entry_host.context.settings.timers
    requests = entry_host.context.settings.requests
    replication = entry_host.replication
    return [
        _PeriodicTask(_LEASE_PERIOD_S, replication.lease.tick),
        _PeriodicTask(_EXPIRY_PERIOD_S, replication.expiry.tick),
        _PeriodicTask(_SNAPSHOT_PERIOD_S, replication.snapshotter.tick),
        _PeriodicTask(
            times.peer_catch_up_ms / MS_PER_S, replication.catch_up.tick
        ),
        _PeriodicTask(times.plan_ms / MS_PER_S, replication.planner.tick),
        _PeriodicTask(_DISPATCH_PERIOD_S, entry_host.routing.dispatcher.tick),
        _PeriodicTask(
            requests.set_aside_ms / MS_PER_S, entry_host.routing.prober.tick
        ),
    ]


def _subscribe_to_state(entry_host: EntryHost) -> None:
    """Updates routing when the state folded from the log changes.

    Lease renewals and snapshots alone don't affect routing.
    """
    replica = entry_host.replication.replica

    def on_restored() -> None:
        entry_host.routing.endpoints.rebuild(replica.state)
        entry_host.routing.dispatcher.refresh()
        entry_host.routing.handover.handle_member_changes()

    members_offset = replica.state.members_offset

    def on_folded(offset: int, record: Record, outcome: Outcome) -> None:
        nonlocal members_offset
        del offset, outcome
        is_change = not isinstance(record.body, LeaseRenewed | SnapshotChunk)
        if is_change or replica.state.members_offset != members_offset:
            members_offset = replica.state.members_offset
            on_restored()

    replica.add_listener(on_folded)
    replica.add_restore_listener(on_restored)


async def _stop_gracefully(entry_host: EntryHost, listener: Listener) -> None:
    times = entry_host.context.settings.timers
    entry_host.context.observer.record_change(
        "entry.stopping", entry_host.context.settings.entry_id
    )
    entry_host.readiness.stopping = True
    entry_host.routing.frontend.closing = True
    await entry_host.context.timers.sleep(times.balancer_lag_ms / MS_PER_S)
    await listener.stop()
    # Requests on open connections are still served until the host is idle. Each
    # connection is closed after its answer, so requests soon cease.
    await _wait_until_idle(entry_host, times.stop_ms / MS_PER_S)
    entry_host.readiness.stopped = True
    await entry_host.routing.handover.hand_over_all()
    await entry_host.replication.lease.leave()


async def _wait_until_idle(entry_host: EntryHost, limit_s: float) -> None:
    timers = entry_host.context.timers
    deadline_s = timers.now_s() + limit_s
    while not _is_idle(entry_host) and timers.now_s() < deadline_s:
        await timers.sleep(_STOP_POLL_S)


def _is_idle(entry_host: EntryHost) -> bool:
    """Returns whether all requests are answered and the balancer has caught up.

    A request shows that the balancer hadn't seen the host as not ready when it
    was sent, so the balancer's lag counts from the last arrival.
    """
    frontend = entry_host.routing.frontend
    lag_s = entry_host.context.settings.timers.balancer_lag_ms / MS_PER_S
    quiet_s = entry_host.context.timers.now_s() - frontend.last_arrival_s
    return not frontend.outstanding_work() and quiet_s >= lag_s
