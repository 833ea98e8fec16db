"""Starting and ending the duties that are dealt to this host."""

import asyncio
from typing import Protocol

from coltsfootseam.calls import ASK_REACH, ReachQuestion, ReachReply
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.duties import Directory, pool_of_duty
from coltsfootseam.manager.fleet_owner import FleetOwner
from coltsfootseam.manager.knowledge import Knowledge
from coltsfootseam.manager.pool_owner import PoolOwner
from coltsfootseam.store import Membership

_CHECK_S = 0.2
_ASK_TIMEOUT_S = 0.4
_RETRY_S = 0.2


class Duty(Protocol):
    """A duty that runs until it is cancelled or lost."""

    async def run(self) -> None:
        """Does the duty."""


class DutyKeeper:
    """Runs the duties of this host.

    A duty that was lost to another host is begun again only if it is still
    dealt to this one. A host that alone is cut off from the store gives its
    duties up, so that the leases it gave out come to an end.
    """

    __slots__ = (
        "_context",
        "_directory",
        "_knowledge",
        "_membership",
        "_tasks_by_duty",
        "is_stopping",
        "owners_by_pool",
    )

    def __init__(
        self,
        context: Context,
        knowledge: Knowledge,
        membership: Membership,
        directory: Directory,
    ) -> None:
        self._context = context
        self._knowledge = knowledge
        self._membership = membership
        self._directory = directory
        self._tasks_by_duty: dict[str, asyncio.Task[None]] = {}
        self.owners_by_pool: dict[str, PoolOwner] = {}
        self.is_stopping = False

    async def run(self) -> None:
        """Keeps duties in line with what is dealt until cancelled."""
        while not self.is_stopping:
            await self._check_isolation()
            self.follow_deal()
            await self._context.timers.sleep(_CHECK_S)

    def follow_deal(self) -> None:
        """Begins duties that were dealt and ends those that were not."""
        wanted = set() if self.is_stopping else self._directory.own_duties()
        for duty in set(self._tasks_by_duty) - wanted:
            self._end(duty)
        for duty in sorted(wanted - set(self._tasks_by_duty)):
            self._begin(duty)

    def end_all(self) -> None:
        """Ends every duty and begins none any more."""
        self.is_stopping = True
        self.follow_deal()

    def _begin(self, duty: str) -> None:
        pool = pool_of_duty(duty)
        owner: Duty
        if pool is None:
            owner = FleetOwner(self._context, self._knowledge, self._directory)
        else:
            owner = PoolOwner(pool, self._context, self._knowledge)
            self.owners_by_pool[pool] = owner
        self._context.log.write("duty.begun", duty=duty)
        self._tasks_by_duty[duty] = asyncio.ensure_future(
            self._run_duty(duty, owner)
        )

    async def _run_duty(self, duty: str, owner: Duty) -> None:
        try:
            await owner.run()
        except Exception as error:
            # One broken duty must not take the host's other duties along.
            self._context.log.write("duty.failed", duty=duty, why=repr(error))
            self._context.counters.increment("duty.failed")
            raise
        finally:
            await self._context.timers.sleep(_RETRY_S)
            if self._tasks_by_duty.get(duty) is asyncio.current_task():
                del self._tasks_by_duty[duty]

    def _end(self, duty: str) -> None:
        task = self._tasks_by_duty.pop(duty)
        task.cancel()
        pool = pool_of_duty(duty)
        if pool is not None:
            self.owners_by_pool.pop(pool, None)
        self._context.log.write("duty.ended", duty=duty)

    async def _check_isolation(self) -> None:
        membership = self._membership
        silence_s = self._context.timers.now_s() - membership.joined_s
        is_idle = membership.deal is None
        if is_idle or silence_s < self._context.times.isolation_s:
            return
        if await self._is_store_down_for_all():
            return
        membership.deal = None
        self._context.log.write("host.isolated", silence_s=round(silence_s, 2))

    async def _is_store_down_for_all(self) -> bool:
        """Asks the peers whether the store answers them.

        A host that reaches no peer at all can't tell and takes itself to be
        cut off, unless it never knew of a peer.
        """
        addresses = self._directory.peer_addresses()
        if not addresses:
            return True
        replies = await asyncio.gather(
            *(self._ask_reach(address) for address in addresses)
        )
        ages_s = [reply.store_age_s for reply in replies if reply is not None]
        isolation_s = self._context.times.isolation_s
        return bool(ages_s) and min(ages_s) > isolation_s / 2

    async def _ask_reach(self, address: str) -> ReachReply | None:
        reply = await self._context.peers.call(
            address, ASK_REACH, ReachQuestion(), _ASK_TIMEOUT_S
        )
        return reply if isinstance(reply, ReachReply) else None
