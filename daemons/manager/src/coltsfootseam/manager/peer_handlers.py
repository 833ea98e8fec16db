"""Handlers of the calls that an entry host gets from its peers."""

from coltsfootseam.calls import (
    ASK_JOB,
    ASK_OWNER,
    ASK_PENDING,
    ASK_QUEUE_POOLS,
    ASK_REACH,
    EVACUATE,
    FORWARD_APPEND,
    OFFER_DUTY,
    QUOTA_REPORT,
    DutyOffer,
    DutyOfferReply,
    EvacuationReply,
    EvacuationRequest,
    Handler,
    JobStatusReply,
    JobStatusRequest,
    Method,
    OwnerReply,
    OwnerRequest,
    PendingCountReply,
    PendingCountRequest,
    QueuePoolsReply,
    QueuePoolsRequest,
    ReachabilityReply,
    ReachabilityRequest,
)
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.jobs.inbox_storage import InboxStorage
from coltsfootseam.manager.leases.store_contacts import StoreContacts
from coltsfootseam.manager.machines.fleet_owner import FleetOwner
from coltsfootseam.manager.membership.duties import FLEET_DUTY
from coltsfootseam.manager.membership.duty_manager import DutyManager
from coltsfootseam.manager.membership.standby import Standby
from coltsfootseam.manager.pools.pool_owner import PoolOwner
from coltsfootseam.manager.queue_pools import QueuePools
from coltsfootseam.manager.quotas.coordinator import not_coordinator
from coltsfootseam.teams.quota import QuotaReply, QuotaReport

_MAX_INBOX_AGE_S = 2.5
_MAX_STORE_AGE_S = 1e6


class PeerHandlers:
    """Handles the calls of other entry hosts."""

    __slots__ = (
        "_contacts",
        "_context",
        "_duties",
        "_queue_pools",
        "_standby",
        "_storage",
    )

    def __init__(
        self,
        context: Context,
        duties: DutyManager,
        storage: InboxStorage,
        standby: Standby,
        contacts: StoreContacts,
        queue_pools: QueuePools,
    ) -> None:
        self._queue_pools = queue_pools
        self._context = context
        self._contacts = contacts
        self._standby = standby
        self._duties = duties
        self._storage = storage

    def handlers(self) -> dict[Method, Handler]:
        """Returns the handler of each method."""
        return {
            ASK_JOB: self.handle_job_status,
            ASK_OWNER: self.handle_owner,
            ASK_PENDING: self.handle_pending,
            ASK_QUEUE_POOLS: self.handle_queue_pools,
            ASK_REACH: self.handle_reachability,
            OFFER_DUTY: self.handle_duty_offer,
            FORWARD_APPEND: self._storage.handle_forward,
            EVACUATE: self.handle_evacuation,
            QUOTA_REPORT: self.handle_quota_report,
        }

    async def handle_job_status(
        self, request: JobStatusRequest
    ) -> JobStatusReply:
        """Returns the state of a job that is stored in the journal."""
        owner = self._owner(request.pool)
        if owner is None or owner.state is None or owner.inbox is None:
            return JobStatusReply(is_owner=False)
        age_s = self._context.timers.now_s() - owner.inbox.caught_up_s
        job = owner.state.job_table.jobs_by_id.get(request.job_id)
        return JobStatusReply(
            is_owner=True,
            is_current=age_s <= _MAX_INBOX_AGE_S,
            state=None if job is None else job.stored_state,
            team="" if job is None else job.request.team,
        )

    async def handle_owner(self, request: OwnerRequest) -> OwnerReply:
        """Returns whether this host owns a duty."""
        return await self._duties.handle_owner_request(request)

    async def handle_pending(
        self, request: PendingCountRequest
    ) -> PendingCountReply:
        """Returns how many jobs of a queue have no started task."""
        owner = self._owner(request.pool)
        if owner is None or owner.state is None:
            return PendingCountReply()
        count = sum(
            1
            for job in owner.state.job_table.active_by_id.values()
            if job.request.queue == request.queue
            and not job.state.is_final
            and not job.has_started()
        )
        return PendingCountReply(count)

    async def handle_queue_pools(
        self, request: QueuePoolsRequest
    ) -> QueuePoolsReply:
        """Returns the pools that may have a queue's jobs, as of now."""
        if not await self._queue_pools.catch_up():
            return QueuePoolsReply()
        return QueuePoolsReply(self._queue_pools.all_of(request.queue))

    async def handle_reachability(
        self, request: ReachabilityRequest
    ) -> ReachabilityReply:
        """Returns the time since the store last answered this host."""
        if request.address:
            self._standby.record_introduction(request)
        unanswered_s = self._context.ports.store.unanswered_s()
        return ReachabilityReply(
            min(unanswered_s, _MAX_STORE_AGE_S), self._contacts.uptime_s()
        )

    async def handle_duty_offer(self, offer: DutyOffer) -> DutyOfferReply:
        """Takes over a stalled duty of a peer; returns whether it does."""
        return DutyOfferReply(self._duties.accept_offer(offer.duty))

    async def handle_evacuation(
        self, request: EvacuationRequest
    ) -> EvacuationReply:
        """Applies the fleet owner's request to the evacuation of a pool."""
        owner = self._owner(request.pool)
        if owner is None or owner.evacuation is None or owner.state is None:
            return EvacuationReply(is_owner=False)
        return owner.evacuation.handle_request(request)

    async def handle_quota_report(self, report: QuotaReport) -> QuotaReply:
        """Returns what a pool may use, if this host divides the quotas."""
        owner = self._duties.duty(FLEET_DUTY)
        if not isinstance(owner, FleetOwner) or owner.quotas is None:
            return not_coordinator(report)
        return owner.quotas.handle_report(report)

    def _owner(self, pool: str) -> PoolOwner | None:
        return self._duties.owners_by_pool.get(pool)
