"""What an entry host answers to other entry hosts."""

from coltsfootseam.calls import (
    ASK_JOB,
    ASK_OWNER,
    ASK_PENDING,
    ASK_REACH,
    OFFER_DUTY,
    RELAY,
    VACATE,
    DutyOffer,
    DutyOfferReply,
    Handler,
    JobQuestion,
    JobReply,
    Method,
    OwnerQuestion,
    OwnerReply,
    PendingQuestion,
    PendingReply,
    ReachQuestion,
    ReachReply,
    RelayReply,
    RelayRequest,
    VacateReply,
    VacateRequest,
)
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.duty_keeper import DutyKeeper
from coltsfootseam.manager.pool_owner import PoolOwner
from coltsfootseam.manager.standby import Standby
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.store import KeyedRecord, Membership

_INBOX_AGE_S = 2.5
_LONGEST_SILENCE_S = 1e6


class PeerCalls:
    """Answers calls of other entry hosts."""

    __slots__ = ("_context", "_duties", "_membership", "_standby")

    def __init__(
        self,
        context: Context,
        duties: DutyKeeper,
        membership: Membership,
        standby: Standby,
    ) -> None:
        self._context = context
        self._standby = standby
        self._duties = duties
        self._membership = membership

    def handlers(self) -> dict[Method, Handler]:
        """Returns the handler of each method."""
        return {
            ASK_JOB: self.ask_job,
            ASK_OWNER: self.ask_owner,
            ASK_PENDING: self.ask_pending,
            ASK_REACH: self.ask_reach,
            OFFER_DUTY: self.offer_duty,
            RELAY: self.relay,
            VACATE: self.vacate,
        }

    async def ask_job(self, question: JobQuestion) -> JobReply:
        """Tells how far a job is, by what the journal holds."""
        owner = self._owner(question.pool)
        if owner is None or owner.state is None or owner.inbox is None:
            return JobReply(is_owner=False)
        age_s = self._context.timers.now_s() - owner.inbox.current_s
        job = owner.state.book.jobs_by_id.get(question.job_id)
        return JobReply(
            is_owner=True,
            is_current=age_s <= _INBOX_AGE_S,
            state=None if job is None else job.stored_state,
        )

    async def ask_owner(self, question: OwnerQuestion) -> OwnerReply:
        """Tells whether this host owns a duty."""
        return self._duties.answer_owner(question)

    async def ask_pending(self, question: PendingQuestion) -> PendingReply:
        """Counts the jobs of a queue of which nothing has started."""
        owner = self._owner(question.pool)
        if owner is None or owner.state is None:
            return PendingReply()
        count = sum(
            1
            for job in owner.state.book.active_by_id.values()
            if job.request.queue == question.queue
            and not job.state.is_final
            and not job.has_started()
        )
        return PendingReply(count)

    async def ask_reach(self, question: ReachQuestion) -> ReachReply:
        """Tells when the store last answered this host."""
        if question.address:
            self._standby.note(question)
        silence_s = self._context.ports.store.silence_s()
        return ReachReply(min(silence_s, _LONGEST_SILENCE_S))

    async def offer_duty(self, offer: DutyOffer) -> DutyOfferReply:
        """Takes a duty over that another host can't bring to work."""
        return DutyOfferReply(self._duties.take_offer(offer.duty))

    async def relay(self, request: RelayRequest) -> RelayReply:
        """Appends to an inbox for a host that can't reach the store."""
        if self._membership.is_silent():
            return RelayReply(is_stored=False)
        result = await self._context.ports.store.append(
            self._context.inbox_of(request.pool),
            [KeyedRecord(request.key, request.value)],
        )
        if not isinstance(result, Refusal):
            return RelayReply(is_stored=True)
        is_unknown = result.code is ResultCode.OUTCOME_PENDING
        return RelayReply(is_stored=False, is_unknown=is_unknown)

    async def vacate(self, request: VacateRequest) -> VacateReply:
        """Takes the fleet owner's wishes for a pool."""
        owner = self._owner(request.pool)
        if owner is None or owner.evacuation is None or owner.state is None:
            return VacateReply(is_owner=False)
        return owner.evacuation.handle_request(request)

    def _owner(self, pool: str) -> PoolOwner | None:
        return self._duties.owners_by_pool.get(pool)
