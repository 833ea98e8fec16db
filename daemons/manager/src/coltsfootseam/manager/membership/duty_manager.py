"""Starting and releasing the duties that are assigned to this host."""

import asyncio
import gc
import zlib
from typing import Protocol

from coltsfootseam.calls import (
    OFFER_DUTY,
    DutyOffer,
    DutyOfferReply,
    OwnerReply,
    OwnerRequest,
)
from coltsfootseam.manager.background import start_once
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.jobs.admissions import Admissions
from coltsfootseam.manager.leases.pool_leases import PoolLeases
from coltsfootseam.manager.leases.store_contacts import StoreContacts
from coltsfootseam.manager.machines.fleet_owner import FleetOwner
from coltsfootseam.manager.membership.duties import DutyDirectory, pool_of_duty
from coltsfootseam.manager.membership.duty_progress import DutyProgress
from coltsfootseam.manager.membership.locator import Locator
from coltsfootseam.manager.pools.pool_owner import PoolOwner
from coltsfootseam.store import Membership
from coltsfootseam.timers import run_with_timeout

_CHECK_PERIOD_S = 0.2
_PEER_CALL_TIMEOUT_S = 0.4
_TAKEOVER_RETRY_DELAY_S = 0.5
_MIN_TENURE_S = 10.0
_MAX_UNANSWERED_S = 0.7
_FREEZE_THRESHOLD_S = 1.5
_MIN_STALL_TIMEOUT_S = 5.0
_MAX_STALL_TIMEOUT_S = 40.0
_HANDOVER_EXPIRY_S = 300.0
_ACCEPTANCE_EXPIRY_S = 10.0
_UNOWNED_POLLS_TO_RECLAIM = 5
"""Consecutive polls without an owner before taking back a handed-over duty."""
_MS_PER_S = 1000

_STATE_IN_USE_S = 5.0
"""How long after a pool was left parts of its owner may still be in use."""

_RECORD_TIMEOUT_S = 0.2
"""How long the record of a release may take. The host that asks for the duty
waits for it."""


class Duty(Protocol):
    """A duty that runs until it is cancelled or lost.

    Attributes:
        progress: Whether it has become active or is stalled.
    """

    progress: DutyProgress

    async def run(self) -> None:
        """Runs the duty."""


class DutyManager:
    """Runs the duties of this host.

    The group's assignment decides which host takes over a duty without an
    owner. An owner keeps its duties when the group rebalances, as every change
    of owner delays the jobs in progress; it releases one if it owns more than
    its share. A host that alone is cut off from the store releases all duties,
    so that the leases it granted expire. A host whose duty doesn't become
    active although the store answers hands it over to a peer, as to the other
    hosts it looks like a working owner.

    Attributes:
        owners_by_pool: Owners of pools that run here.
        is_stopping: Whether no more duties are started.
    """

    __slots__ = (
        "_accepted_until_s_by_duty",
        "_admissions",
        "_checked_s",
        "_cluster",
        "_contacts",
        "_context",
        "_directory",
        "_duties_by_name",
        "_handed_over_until_s_by_duty",
        "_left_s",
        "_locator",
        "_membership",
        "_offer_rotation",
        "_offers_by_duty",
        "_recordings",
        "_stall_timeout_s",
        "_started_s_by_duty",
        "_takeovers_by_duty",
        "_tasks_by_duty",
        "is_stopping",
        "owners_by_pool",
    )

    def __init__(
        self,
        context: Context,
        cluster: ClusterState,
        membership: Membership,
        directory: DutyDirectory,
        locator: Locator,
        contacts: StoreContacts,
        admissions: Admissions,
    ) -> None:
        self._admissions = admissions
        self._context = context
        self._contacts = contacts
        self._cluster = cluster
        self._membership = membership
        self._directory = directory
        self._locator = locator
        # Until when a duty counts as handed over to a peer, or as accepted
        # from one without being assigned to this host.
        self._handed_over_until_s_by_duty: dict[str, float] = {}
        self._accepted_until_s_by_duty: dict[str, float] = {}
        self._offers_by_duty: dict[str, asyncio.Task[None]] = {}
        # Staggered, so that hosts don't all try the same peer first.
        self._offer_rotation = zlib.crc32(context.address.encode())
        self._stall_timeout_s = _MIN_STALL_TIMEOUT_S
        self._checked_s = context.timers.now_s()
        self._duties_by_name: dict[str, Duty] = {}
        self._tasks_by_duty: dict[str, asyncio.Task[None]] = {}
        self._takeovers_by_duty: dict[str, asyncio.Task[None]] = {}
        self._started_s_by_duty: dict[str, float] = {}
        self._recordings: set[asyncio.Task[None]] = set()
        self._left_s: float | None = None
        self.owners_by_pool: dict[str, PoolOwner] = {}
        self.is_stopping = False

    async def run(self) -> None:
        """Follows the assignment until cancelled."""
        while not self.is_stopping:
            self._check_progress()
            self.follow_assignment()
            await self._context.timers.sleep(_CHECK_PERIOD_S)

    def follow_assignment(self) -> None:
        """Takes over assigned duties that have no owner."""
        if self.is_stopping or self._membership.assignment is None:
            self._release_all()
            return
        duties = self._directory.assigned_duties()
        duties |= self._unexpired(self._accepted_until_s_by_duty)
        for duty in set(self._takeovers_by_duty) - duties:
            self._takeovers_by_duty.pop(duty).cancel()
        missing = duties - set(self._tasks_by_duty)
        for duty in sorted(missing - set(self._takeovers_by_duty)):
            self._takeovers_by_duty[duty] = asyncio.ensure_future(
                self._take_over(duty)
            )

    def accept_offer(self, duty: str) -> bool:
        """Takes over a duty that is stalled at another host.

        Returns:
            Whether it is accepted; not if this host has handed it over itself.
        """
        is_inactive = self.is_stopping or self._membership.assignment is None
        if is_inactive or self._membership.is_store_unresponsive():
            return False
        if duty in self._unexpired(self._handed_over_until_s_by_duty):
            return False
        until_s = self._context.timers.now_s() + _ACCEPTANCE_EXPIRY_S
        self._accepted_until_s_by_duty[duty] = until_s
        self.follow_assignment()
        return True

    def _unexpired(self, until_s_by_duty: dict[str, float]) -> set[str]:
        now_s = self._context.timers.now_s()
        return {
            duty for duty, until_s in until_s_by_duty.items() if now_s < until_s
        }

    def stop(self) -> None:
        """Releases every duty and starts no more."""
        self.is_stopping = True
        self._release_all()

    def close(self) -> None:
        """Ends every duty as a process does that is killed."""
        self.stop()
        for recording in self._recordings:
            recording.cancel()

    def duty(self, name: str) -> Duty | None:
        """Returns a duty of this host, ``None`` if it doesn't own it."""
        return self._duties_by_name.get(name)

    def pool_leases(self) -> list[PoolLeases]:
        """Returns the right to grant leases of each pool of this host."""
        return [
            owner.leases
            for owner in self.owners_by_pool.values()
            if owner.leases is not None
        ]

    def held(self) -> list[str]:
        """Returns the duties that this host owns."""
        return sorted(self._tasks_by_duty)

    async def handle_owner_request(self, request: OwnerRequest) -> OwnerReply:
        """Returns whether this host owns a duty and keeps it.

        A host that owns more than its share releases the duty if it is
        assigned to the host that asks.
        """
        duty = request.duty
        if (
            duty not in self._tasks_by_duty
            or self._membership.is_store_unresponsive()
        ):
            return OwnerReply(is_owner=False)
        if request.is_assigned and self._exceeds_share(duty):
            recording = self._release(duty)
            if recording is not None:
                await asyncio.shield(recording)
            return OwnerReply(is_owner=False)
        return OwnerReply(is_owner=True)

    def _exceeds_share(self, duty: str) -> bool:
        hosts = len(self._directory.peer_addresses()) + 1
        share = -(-len(self._directory.all_duties()) // hosts)
        age_s = self._context.timers.now_s() - self._started_s_by_duty[duty]
        # Counts active duties only: one that doesn't become active must not
        # cause the release of one that is.
        active_count = sum(
            owner.progress.is_active for owner in self._duties_by_name.values()
        )
        return active_count > share and age_s > _MIN_TENURE_S

    async def _take_over(self, duty: str) -> None:
        """Starts a duty once no other host owns it.

        A duty that was handed over stays with its new owner, and is taken back
        once several polls in a row find no owner.
        """
        unowned_polls = 0
        while True:
            is_handed_over = duty in self._unexpired(
                self._handed_over_until_s_by_duty
            )
            await self._membership.refresh_partition_holders()
            addresses = self._directory.peer_addresses()
            replies = await asyncio.gather(
                *(
                    self._locator.is_owned_at(
                        address,
                        OwnerRequest(duty, is_assigned=not is_handed_over),
                    )
                    for address in addresses
                )
            )
            unowned_polls = 0 if any(replies) else unowned_polls + 1
            required = _UNOWNED_POLLS_TO_RECLAIM if is_handed_over else 1
            if unowned_polls >= required:
                break
            await self._context.timers.sleep(_TAKEOVER_RETRY_DELAY_S)
        self._takeovers_by_duty.pop(duty, None)
        if duty not in self._tasks_by_duty and not self.is_stopping:
            self._start(duty)

    def _start(self, duty: str) -> None:
        pool = pool_of_duty(duty)
        owner: Duty
        if pool is None:
            owner = FleetOwner(self._context, self._cluster, self._locator)
        else:
            self._free_left_pools()
            owner = PoolOwner(
                pool,
                self._context,
                self._cluster,
                self._locator,
                self._contacts,
                self._admissions,
            )
            self.owners_by_pool[pool] = owner
        self._context.log.write("duty.begun", duty=duty)
        self._started_s_by_duty[duty] = self._context.timers.now_s()
        self._duties_by_name[duty] = owner
        self._tasks_by_duty[duty] = asyncio.ensure_future(
            self._run_duty(duty, owner)
        )

    def _free_left_pools(self) -> None:
        """Frees the states of pools that this host has left.

        They are in reference cycles, and tasks are not counted as allocations
        of tracked objects. So the collector may not run before a pool is loaded
        again, and the process would hold all of its tasks twice.
        """
        if self._left_s is None:
            return
        if self._context.timers.now_s() - self._left_s > _STATE_IN_USE_S:
            self._left_s = None
        gc.collect()

    async def _run_duty(self, duty: str, owner: Duty) -> None:
        try:
            await owner.run()
        except Exception as error:
            # A failed duty must not affect the host's other duties.
            self._context.log.write("duty.failed", duty=duty, why=repr(error))
            self._context.counters.increment("duty.failed")
            raise
        finally:
            if self._tasks_by_duty.get(duty) is asyncio.current_task():
                self._remove(duty)

    def _release(self, duty: str) -> asyncio.Task[None] | None:
        """Releases a duty.

        Returns:
            For a pool, the task that tells its next owner.
        """
        task = self._tasks_by_duty[duty]
        owner = self._duties_by_name[duty]
        self._remove(duty)
        task.cancel()
        self._context.log.write("duty.ended", duty=duty)
        if not isinstance(owner, PoolOwner):
            return None
        if owner.leases is not None:
            owner.leases.stop()
        recording = start_once(
            self._context,
            f"release of {duty}",
            lambda: run_with_timeout(
                self._context.timers,
                owner.record_release(),
                _RECORD_TIMEOUT_S,
            ),
        )
        self._recordings.add(recording)
        recording.add_done_callback(self._recordings.discard)
        return recording

    def _remove(self, duty: str) -> None:
        del self._tasks_by_duty[duty]
        self._started_s_by_duty.pop(duty, None)
        self._duties_by_name.pop(duty, None)
        pool = pool_of_duty(duty)
        if pool is not None:
            self.owners_by_pool.pop(pool, None)
            self._left_s = self._context.timers.now_s()

    def _release_all(self) -> None:
        for task in (
            *self._takeovers_by_duty.values(),
            *self._offers_by_duty.values(),
        ):
            task.cancel()
        self._takeovers_by_duty.clear()
        self._accepted_until_s_by_duty.clear()
        for duty in list(self._tasks_by_duty):
            self._release(duty)

    def _check_progress(self) -> None:
        """Offers stalled duties to the peers.

        Time in which the store did not answer, or in which this process was
        frozen, doesn't count as stalled.
        """
        now_s = self._context.timers.now_s()
        was_frozen = now_s - self._checked_s > _FREEZE_THRESHOLD_S
        self._checked_s = now_s
        if (
            was_frozen
            or self._context.ports.store.unanswered_s() > _MAX_UNANSWERED_S
        ):
            for owner in self._duties_by_name.values():
                owner.progress.record_progress()
            return
        for duty, owner in list(self._duties_by_name.items()):
            stalled_s = owner.progress.stalled_s()
            if (
                stalled_s < self._stall_timeout_s
                or duty in self._offers_by_duty
            ):
                continue
            self._context.log.write(
                "duty.stalled", duty=duty, since_ms=round(stalled_s * _MS_PER_S)
            )
            self._context.counters.increment("duty.stalled")
            self._offers_by_duty[duty] = asyncio.ensure_future(
                self._offer_to_peers(duty)
            )

    async def _offer_to_peers(self, duty: str) -> None:
        """Hands a duty over to the first peer that accepts it."""
        addresses = self._directory.peer_addresses()
        self._offer_rotation += 1
        shift = self._offer_rotation % max(1, len(addresses))
        try:
            for address in addresses[shift:] + addresses[:shift]:
                reply = await self._context.peers.call(
                    address, OFFER_DUTY, DutyOffer(duty), _PEER_CALL_TIMEOUT_S
                )
                if isinstance(reply, DutyOfferReply) and reply.is_accepted:
                    self._hand_over(duty, address)
                    return
            # No peer accepts it, so the next offer waits for longer.
            self._stall_timeout_s = min(
                2 * self._stall_timeout_s, _MAX_STALL_TIMEOUT_S
            )
        finally:
            self._offers_by_duty.pop(duty, None)

    def _hand_over(self, duty: str, address: str) -> None:
        """Releases a duty that a peer takes over."""
        self._context.log.write("duty.handed_on", duty=duty, to=address)
        self._stall_timeout_s = _MIN_STALL_TIMEOUT_S
        self._handed_over_until_s_by_duty[duty] = (
            self._context.timers.now_s() + _HANDOVER_EXPIRY_S
        )
        self._accepted_until_s_by_duty.pop(duty, None)
        if duty in self._tasks_by_duty:
            self._release(duty)
