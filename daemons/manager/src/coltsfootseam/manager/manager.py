"""The manager, assembled from its parts."""

import contextlib
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager

import msgspec

from coltsfootseam.calls import Handler, Method, serving_calls
from coltsfootseam.manager.background import TaskCoroutine, running
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.jobs.admissions import Admissions
from coltsfootseam.manager.jobs.inbox_appender import InboxAppender
from coltsfootseam.manager.jobs.inbox_storage import InboxStorage
from coltsfootseam.manager.jobs.job_service import JobService
from coltsfootseam.manager.jobs.owned_jobs import OwnedJobs
from coltsfootseam.manager.jobs.owner_forwarding import OwnerForwarder
from coltsfootseam.manager.leases.store_contacts import StoreContacts
from coltsfootseam.manager.leases.witness_polling import WitnessPolling
from coltsfootseam.manager.membership.duties import DutyDirectory
from coltsfootseam.manager.membership.duty_manager import DutyManager
from coltsfootseam.manager.membership.group_monitor import GroupMonitor
from coltsfootseam.manager.membership.isolation import IsolationMonitor
from coltsfootseam.manager.membership.locator import Locator
from coltsfootseam.manager.membership.members import member_name
from coltsfootseam.manager.membership.standby import Standby
from coltsfootseam.manager.peer_handlers import PeerHandlers
from coltsfootseam.manager.status import StatusPage
from coltsfootseam.store import Membership, MembershipTimes

_STOP_POLL_PERIOD_S = 0.05
_STOP_MARGIN_S = 1.0

Serving = Callable[
    [str, dict[Method, Handler]], AbstractAsyncContextManager[None]
]
"""Serves peers' calls at an address while its context is open."""


class Manager(msgspec.Struct):
    """The parts of a manager that its daemon uses.

    Attributes:
        context: Shared context of the manager.
        cluster: Configuration, waves and workers.
        membership: This host's membership in the group.
        standby: Decides whether this is a standby host, and knows others.
        duties: Runs the duties of this host.
        directory: Finds the hosts that duties are assigned to.
        contacts: When the store last replied to each host.
        storage: Stores callers' records.
        jobs: Handles callers' requests.
        status: Status pages for operators.
        is_stopping: Whether the process was requested to stop.
    """

    context: Context
    cluster: ClusterState
    membership: Membership
    standby: Standby
    duties: DutyManager
    directory: DutyDirectory
    contacts: StoreContacts
    storage: InboxStorage
    jobs: JobService
    status: StatusPage
    is_stopping: bool = False

    def is_ready(self) -> bool:
        """Returns whether this host can serve callers."""
        return self.cluster.is_ready() and not self.is_stopping

    async def leave(self) -> None:
        """Releases all duties and leaves the group."""
        self.is_stopping = True
        self.duties.stop()
        await self.membership.leave()

    async def drain(self, count_open: Callable[[], int]) -> None:
        """Hands duties over and waits for the balancer and open requests.

        Args:
            count_open: Returns how many requests are open.
        """
        context = self.context
        context.log.write("process.stopping", busy=count_open())
        started_s = context.timers.now_s()
        await self.leave()
        earliest_end_s = started_s + context.times.balancer_s
        latest_end_s = started_s + context.times.stop_grace_s - _STOP_MARGIN_S
        while context.timers.now_s() < latest_end_s:
            is_balancer_done = context.timers.now_s() >= earliest_end_s
            if is_balancer_done and not count_open():
                break
            await context.timers.sleep(_STOP_POLL_PERIOD_S)


@contextlib.asynccontextmanager
async def running_manager(
    context: Context,
    times: MembershipTimes,
    serving: Serving = serving_calls,
) -> AsyncIterator[Manager]:
    """Runs a manager while the context is open.

    Args:
        context: Shared context of the manager.
        times: Durations of the membership.
        serving: Serves peers' calls.
    """
    manager = _build(context, times)
    peer_handlers = PeerHandlers(
        context,
        manager.duties,
        manager.storage,
        manager.standby,
        manager.contacts,
        manager.cluster.queue_pools,
    )
    manager.status.show_group_problems(manager.membership.refusals_by_call)
    async with serving(context.address, peer_handlers.handlers()):
        with running(context, _background_functions(manager)):
            try:
                yield manager
            finally:
                manager.duties.close()


def _background_functions(
    manager: Manager,
) -> dict[str, Callable[[], TaskCoroutine]]:
    """Returns what runs in the background, by name."""
    context = manager.context
    cluster = manager.cluster
    membership = manager.membership
    directory = manager.directory
    contacts = manager.contacts
    duties = manager.duties
    isolation = IsolationMonitor(
        context, contacts, membership, directory, duties
    )
    witnesses = WitnessPolling(context, contacts, directory, duties)
    return {
        "operator": cluster.follow_operator,
        "workers": cluster.follow_workers,
        "queue pools": cluster.queue_pools.follow,
        "membership": membership.run,
        "holdings": membership.run_holders_refresh,
        "group": GroupMonitor(context, membership).run,
        "standby": manager.standby.run,
        "duties": duties.run,
        "isolation": isolation.run,
        "witnesses": witnesses.run,
    }


def _build(context: Context, times: MembershipTimes) -> Manager:
    cluster = ClusterState(context)
    membership = Membership(
        context.ports.store,
        context.timers,
        member_name(context.address, context.incarnation, context.millicores),
        lambda: duties.follow_assignment(),
        times,
        lambda: standby.is_surplus(len(directory.all_duties())),
    )
    standby = Standby(context, membership)
    directory = DutyDirectory(membership, standby, context.duty_slots)
    locator = Locator(context, directory)
    contacts = StoreContacts(context)
    appender = InboxAppender(context)
    admissions = Admissions(context, cluster, appender)
    duties = DutyManager(
        context,
        cluster,
        membership,
        directory,
        locator,
        contacts,
        admissions,
    )
    storage = InboxStorage(
        context,
        directory,
        OwnerForwarder(context, locator, contacts),
        membership,
        appender,
        OwnedJobs(duties),
        admissions,
    )
    jobs = JobService(context, cluster, locator, storage, admissions)
    status = StatusPage(context, cluster, duties)

    def on_configuration() -> None:
        assert cluster.configuration is not None
        directory.configure(cluster.configuration)
        duties.follow_assignment()

    cluster.add_listener(on_configuration)
    return Manager(
        context,
        cluster,
        membership,
        standby,
        duties,
        directory,
        contacts,
        storage,
        jobs,
        status,
    )
