"""Starting and ending the duties that are dealt to this host."""

import asyncio
import zlib
from typing import Protocol

from coltsfootseam.calls import (
    ASK_REACH,
    OFFER_DUTY,
    DutyOffer,
    DutyOfferReply,
    OwnerQuestion,
    OwnerReply,
    ReachQuestion,
    ReachReply,
)
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.duties import Directory, pool_of_duty
from coltsfootseam.manager.duty_progress import DutyProgress
from coltsfootseam.manager.fleet_owner import FleetOwner
from coltsfootseam.manager.knowledge import Knowledge
from coltsfootseam.manager.locator import Locator
from coltsfootseam.manager.pool_owner import PoolOwner
from coltsfootseam.store import Membership

_CHECK_S = 0.2
_ASK_TIMEOUT_S = 0.4
_HELD_PAUSE_S = 0.5
_KEEP_S = 10.0
_RETURN_S = 1.0
_SILENCE_S = 0.7
_FROZEN_S = 1.5
_PATIENCE_S = 5.0
_MOST_PATIENCE_S = 40.0
_LEFT_S = 300.0
_TAKEN_S = 10.0
_UNHELD_IF_LEFT = 5
"""Answers in a row that nobody holds a duty before it is taken back."""
_MS_PER_S = 1000


class Duty(Protocol):
    """A duty that runs until it is cancelled or lost.

    Attributes:
        progress: How far it is from its begin to its work.
    """

    progress: DutyProgress

    async def run(self) -> None:
        """Does the duty."""


class DutyKeeper:
    """Runs the duties of this host.

    The group tells who takes a duty over that nobody holds. A host that holds
    one keeps it when the group deals anew, as every change of an owner costs
    those who wait; it gives one up if it holds more than its share. A host
    that alone is cut off from the store gives all duties up, so that the
    leases it gave out come to an end. One that can't bring a duty to work
    though the store answers it hands that duty to a peer, as the others can't
    tell it from an owner.

    Attributes:
        owners_by_pool: Owners of pools that run here.
        is_stopping: Whether no duty is begun any more.
    """

    __slots__ = (
        "_begun_s_by_duty",
        "_context",
        "_directory",
        "_down_for_all_s",
        "_duties_by_name",
        "_knowledge",
        "_left_by_duty",
        "_locator",
        "_looked_s",
        "_membership",
        "_offer_turn",
        "_offers_by_duty",
        "_patience_s",
        "_taken_by_duty",
        "_takeovers_by_duty",
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
        locator: Locator,
    ) -> None:
        self._context = context
        self._knowledge = knowledge
        self._membership = membership
        self._directory = directory
        self._locator = locator
        # Until when a duty is left to others, or taken though not dealt here.
        self._left_by_duty: dict[str, float] = {}
        self._taken_by_duty: dict[str, float] = {}
        self._offers_by_duty: dict[str, asyncio.Task[None]] = {}
        # Hosts begin with different peers.
        self._offer_turn = zlib.crc32(context.address.encode())
        self._patience_s = _PATIENCE_S
        self._looked_s = context.timers.now_s()
        self._duties_by_name: dict[str, Duty] = {}
        self._tasks_by_duty: dict[str, asyncio.Task[None]] = {}
        self._takeovers_by_duty: dict[str, asyncio.Task[None]] = {}
        self._begun_s_by_duty: dict[str, float] = {}
        self._down_for_all_s = float("-inf")
        self.owners_by_pool: dict[str, PoolOwner] = {}
        self.is_stopping = False

    async def run(self) -> None:
        """Keeps duties in line with what is dealt until cancelled."""
        while not self.is_stopping:
            await self._check_isolation()
            self._check_progress()
            self.follow_deal()
            await self._context.timers.sleep(_CHECK_S)

    def follow_deal(self) -> None:
        """Takes over what was dealt and held by nobody."""
        if self.is_stopping or self._membership.deal is None:
            self._end_everything()
            return
        duties = self._directory.own_duties()
        duties |= self._valid(self._taken_by_duty)
        for duty in set(self._takeovers_by_duty) - duties:
            self._takeovers_by_duty.pop(duty).cancel()
        wanted = duties - set(self._tasks_by_duty)
        for duty in sorted(wanted - set(self._takeovers_by_duty)):
            self._takeovers_by_duty[duty] = asyncio.ensure_future(
                self._take_over(duty)
            )

    def take_offer(self, duty: str) -> bool:
        """Takes a duty over that another host can't bring to work.

        Returns:
            Whether this host tries; not if it has left the duty itself.
        """
        is_out = self.is_stopping or self._membership.deal is None
        if is_out or self._membership.is_silent():
            return False
        if duty in self._valid(self._left_by_duty):
            return False
        until_s = self._context.timers.now_s() + _TAKEN_S
        self._taken_by_duty[duty] = until_s
        self.follow_deal()
        return True

    def _valid(self, until_s_by_duty: dict[str, float]) -> set[str]:
        now_s = self._context.timers.now_s()
        return {
            duty for duty, until_s in until_s_by_duty.items() if now_s < until_s
        }

    def end_all(self) -> None:
        """Ends every duty and begins none any more."""
        self.is_stopping = True
        self._end_everything()

    def held(self) -> list[str]:
        """Returns the duties that this host holds."""
        return sorted(self._tasks_by_duty)

    def answer_owner(self, question: OwnerQuestion) -> OwnerReply:
        """Tells whether this host owns a duty, and whether it keeps it."""
        duty = question.duty
        if duty not in self._tasks_by_duty or self._membership.is_silent():
            return OwnerReply(is_owner=False)
        if question.is_dealt and self._has_too_many(duty):
            self._end(duty)
            return OwnerReply(is_owner=False)
        return OwnerReply(is_owner=True)

    def _has_too_many(self, duty: str) -> bool:
        hosts = len(self._directory.peer_addresses()) + 1
        share = -(-len(self._directory.all_duties()) // hosts)
        age_s = self._context.timers.now_s() - self._begun_s_by_duty[duty]
        # One that doesn't come to work must not drive out one that does.
        at_work = sum(
            owner.progress.is_active for owner in self._duties_by_name.values()
        )
        return at_work > share and age_s > _KEEP_S

    async def _take_over(self, duty: str) -> None:
        """Begins a duty once nobody else holds it.

        One that was left to another host is that host's for as long as it
        holds it, and is taken back when nobody does.
        """
        unheld = 0
        while True:
            is_left = duty in self._valid(self._left_by_duty)
            await self._membership.read_holdings()
            addresses = self._directory.peer_addresses()
            replies = await asyncio.gather(
                *(
                    self._locator.is_owned_at(
                        address, OwnerQuestion(duty, is_dealt=not is_left)
                    )
                    for address in addresses
                )
            )
            unheld = 0 if any(replies) else unheld + 1
            if unheld >= (_UNHELD_IF_LEFT if is_left else 1):
                break
            await self._context.timers.sleep(_HELD_PAUSE_S)
        self._takeovers_by_duty.pop(duty, None)
        if duty not in self._tasks_by_duty and not self.is_stopping:
            self._begin(duty)

    def _begin(self, duty: str) -> None:
        pool = pool_of_duty(duty)
        owner: Duty
        if pool is None:
            owner = FleetOwner(self._context, self._knowledge, self._locator)
        else:
            owner = PoolOwner(pool, self._context, self._knowledge)
            self.owners_by_pool[pool] = owner
        self._context.log.write("duty.begun", duty=duty)
        self._begun_s_by_duty[duty] = self._context.timers.now_s()
        self._duties_by_name[duty] = owner
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
            if self._tasks_by_duty.get(duty) is asyncio.current_task():
                self._forget(duty)

    def _end(self, duty: str) -> None:
        task = self._tasks_by_duty[duty]
        self._forget(duty)
        task.cancel()
        self._context.log.write("duty.ended", duty=duty)

    def _forget(self, duty: str) -> None:
        del self._tasks_by_duty[duty]
        self._begun_s_by_duty.pop(duty, None)
        self._duties_by_name.pop(duty, None)
        pool = pool_of_duty(duty)
        if pool is not None:
            self.owners_by_pool.pop(pool, None)

    def _end_everything(self) -> None:
        for task in (
            *self._takeovers_by_duty.values(),
            *self._offers_by_duty.values(),
        ):
            task.cancel()
        self._takeovers_by_duty.clear()
        self._taken_by_duty.clear()
        for duty in list(self._tasks_by_duty):
            self._end(duty)

    def _check_progress(self) -> None:
        """Gives the duties up that don't come to work here.

        Time in which the store does not answer, or in which this process was
        frozen, counts for nobody.
        """
        now_s = self._context.timers.now_s()
        was_frozen = now_s - self._looked_s > _FROZEN_S
        self._looked_s = now_s
        if was_frozen or self._context.ports.store.silence_s() > _SILENCE_S:
            for owner in self._duties_by_name.values():
                owner.progress.record_step()
            return
        for duty, owner in list(self._duties_by_name.items()):
            stalled_s = owner.progress.stalled_s()
            if stalled_s < self._patience_s or duty in self._offers_by_duty:
                continue
            self._context.log.write(
                "duty.stalled", duty=duty, since_ms=round(stalled_s * _MS_PER_S)
            )
            self._context.counters.increment("duty.stalled")
            self._offers_by_duty[duty] = asyncio.ensure_future(
                self._offer(duty)
            )

    async def _offer(self, duty: str) -> None:
        """Hands a duty to the first peer that tries to take it over."""
        addresses = self._directory.peer_addresses()
        self._offer_turn += 1
        shift = self._offer_turn % max(1, len(addresses))
        try:
            for address in addresses[shift:] + addresses[:shift]:
                reply = await self._context.peers.call(
                    address, OFFER_DUTY, DutyOffer(duty), _ASK_TIMEOUT_S
                )
                if isinstance(reply, DutyOfferReply) and reply.is_taken:
                    self._leave(duty, address)
                    return
            # Where no host does better, this one tries for longer.
            self._patience_s = min(2 * self._patience_s, _MOST_PATIENCE_S)
        finally:
            self._offers_by_duty.pop(duty, None)

    def _leave(self, duty: str, address: str) -> None:
        """Ends a duty that a peer takes over."""
        self._context.log.write("duty.handed_on", duty=duty, to=address)
        self._patience_s = _PATIENCE_S
        self._left_by_duty[duty] = self._context.timers.now_s() + _LEFT_S
        self._taken_by_duty.pop(duty, None)
        if duty in self._tasks_by_duty:
            self._end(duty)

    async def _check_isolation(self) -> None:
        """Gives all duties up where this host alone lost the store.

        When the store returns to all, some hosts notice it a moment before
        the others; that does not make the others isolated.
        """
        silence_s = self._context.ports.store.silence_s()
        is_idle = self._membership.deal is None
        if is_idle or silence_s < self._context.times.isolation_s:
            return
        now_s = self._context.timers.now_s()
        if await self._is_store_down_for_all():
            self._down_for_all_s = now_s
            return
        if now_s - self._down_for_all_s < _RETURN_S:
            return
        self._membership.deal = None
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
