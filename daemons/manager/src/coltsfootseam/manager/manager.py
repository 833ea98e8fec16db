"""One manager: all parts of the process, put together."""

import contextlib
from collections.abc import AsyncIterator, Callable
from contextlib import AbstractAsyncContextManager

import msgspec

from coltsfootseam.calls import Handler, Method, serving_calls
from coltsfootseam.manager.background import running
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.duties import Directory
from coltsfootseam.manager.duty_keeper import DutyKeeper
from coltsfootseam.manager.group_watch import GroupWatch
from coltsfootseam.manager.job_service import JobService
from coltsfootseam.manager.knowledge import Knowledge
from coltsfootseam.manager.locator import Locator
from coltsfootseam.manager.members import member_name
from coltsfootseam.manager.peer_calls import PeerCalls
from coltsfootseam.manager.standby import Standby
from coltsfootseam.manager.status import StatusPage
from coltsfootseam.store import Membership, MembershipTimes

Serving = Callable[
    [str, dict[Method, Handler]], AbstractAsyncContextManager[None]
]
"""Serves calls of other hosts at an address while its context is open."""


class Manager(msgspec.Struct):
    """The parts of a manager that its daemon uses.

    Attributes:
        context: What all parts share.
        knowledge: Configuration, waves and workers.
        membership: This host's place in the group.
        standby: Whether it stands by, and which others do.
        duties: The duties that it holds.
        jobs: What callers are answered.
        status: What operators are shown.
        is_stopping: Whether it was told to stop.
    """

    context: Context
    knowledge: Knowledge
    membership: Membership
    standby: Standby
    duties: DutyKeeper
    jobs: JobService
    status: StatusPage
    is_stopping: bool = False

    def is_ready(self) -> bool:
        """Tells whether callers should be sent here."""
        return self.knowledge.index is not None and not self.is_stopping

    async def leave(self) -> None:
        """Hands the duties over and leaves the group."""
        self.is_stopping = True
        self.duties.end_all()
        await self.membership.leave()


@contextlib.asynccontextmanager
async def running_manager(
    context: Context,
    times: MembershipTimes,
    serving: Serving = serving_calls,
) -> AsyncIterator[Manager]:
    """Runs a manager while the context is open.

    Args:
        context: What all parts share.
        times: Periods of the membership.
        serving: Serves calls of other hosts.
    """
    manager = _build(context, times)
    knowledge = manager.knowledge
    membership = manager.membership
    duties = manager.duties
    standby = manager.standby
    peer_calls = PeerCalls(context, duties, membership, standby)
    manager.status.show_group_problems(membership.problems_by_call)
    async with serving(context.address, peer_calls.handlers()):
        works = {
            "operator": knowledge.run_operator,
            "workers": knowledge.run_workers,
            "membership": membership.run,
            "holdings": membership.run_holdings,
            "group": GroupWatch(context, membership).run,
            "standby": standby.run,
            "duties": duties.run,
        }
        with running(context, works):
            try:
                yield manager
            finally:
                duties.end_all()


def _build(context: Context, times: MembershipTimes) -> Manager:
    knowledge = Knowledge(context)
    membership = Membership(
        context.ports.store,
        context.timers,
        member_name(context.address, context.incarnation, context.millicores),
        lambda: duties.follow_deal(),
        times,
        lambda: standby.is_spare(len(directory.all_duties())),
    )
    standby = Standby(context, membership)
    directory = Directory(membership, standby, context.duty_slots)
    locator = Locator(context, directory)
    duties = DutyKeeper(context, knowledge, membership, directory, locator)
    jobs = JobService(context, knowledge, directory, locator, membership)
    status = StatusPage(context, knowledge, duties)

    def on_configuration() -> None:
        assert knowledge.configuration is not None
        directory.configure(knowledge.configuration)
        duties.follow_deal()

    knowledge.listen(on_configuration)
    return Manager(
        context, knowledge, membership, standby, duties, jobs, status
    )
