"""Idempotency keys: at most one run of each, whichever entry host is asked."""

from collections import OrderedDict
from collections.abc import Callable

import msgspec

from coltsfootseam.observe import Observer
from coltsfootseam.peers import (
    Answer,
    KeyReservation,
    KeyVerdict,
    PeerClients,
)
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.routing.request import RequestHead
from coltsfootseam.state import FleetState, Member, rank_members
from coltsfootseam.timers import TimerService

HOLDERS = 2
_RETRY_S = 0.2
_SETTLE_TRIES = 5


class _KeyRecord(msgspec.Struct):
    request_id: str
    verdict: KeyVerdict
    answer: Answer | None
    since_s: float


class KeyStore:
    """The keys that this entry host holds for all of them."""

    __slots__ = ("_kept_s", "_limit", "_records_by_key", "_timers")

    def __init__(self, timers: TimerService, kept_s: float, limit: int) -> None:
        self._timers = timers
        self._kept_s = kept_s
        self._limit = limit
        self._records_by_key: OrderedDict[str, _KeyRecord] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records_by_key)

    def reserve(
        self, key: str, request_id: str, state: FleetState
    ) -> KeyReservation:
        """Reserves a key unless an earlier request holds it.

        Asking again for the same request gives the same reply, so a lost
        reply is settled by asking again.
        """
        self._forget_old(state)
        record = self._records_by_key.get(key)
        if record is None:
            return self._reserve_new(key, request_id)
        if record.request_id == request_id:
            return _judge_own(record)
        if record.verdict is KeyVerdict.NOT_RUN:
            self._put(key, request_id, KeyVerdict.RUNNING, None)
            return KeyReservation(KeyVerdict.NEW)
        if record.verdict is KeyVerdict.RUNNING:
            return KeyReservation(_judge_running(record, state))
        return KeyReservation(record.verdict, record.answer)

    def settle(
        self,
        key: str,
        request_id: str,
        verdict: KeyVerdict,
        answer: Answer | None,
    ) -> None:
        """Records how the request that reserved a key ended."""
        record = self._records_by_key.get(key)
        if record is not None and record.request_id != request_id:
            return
        self._put(key, request_id, verdict, answer)

    def _put(
        self,
        key: str,
        request_id: str,
        verdict: KeyVerdict,
        answer: Answer | None,
    ) -> None:
        now_s = self._timers.now_s()
        self._records_by_key[key] = _KeyRecord(
            request_id, verdict, answer, now_s
        )
        self._records_by_key.move_to_end(key)

    def _reserve_new(self, key: str, request_id: str) -> KeyReservation:
        # Dropping a key before its time would let its request run twice, so
        # a full store takes no new ones.
        if len(self._records_by_key) >= self._limit:
            return KeyReservation(KeyVerdict.FULL)
        self._put(key, request_id, KeyVerdict.RUNNING, None)
        return KeyReservation(KeyVerdict.NEW)

    def _forget_old(self, state: FleetState) -> None:
        oldest_s = self._timers.now_s() - self._kept_s
        records = self._records_by_key
        while records:
            key, record = next(iter(records.items()))
            if record.since_s >= oldest_s:
                return
            if _judge_running(record, state) is KeyVerdict.RUNNING:
                self._put(key, record.request_id, KeyVerdict.RUNNING, None)
            else:
                del records[key]


class KeyGuard:
    """Reserves keys at the two entry hosts that hold them.

    The holders of a key are the first two members by rendezvous hashing. Both
    must have reserved the key before its request is dispatched, one after the
    other, so that of two requests with one key just one goes on.
    """

    __slots__ = (
        "_observer",
        "_own_id",
        "_peers",
        "_state",
        "_store",
        "_timers",
    )

    def __init__(
        self,
        own_id: str,
        store: KeyStore,
        peers: PeerClients,
        state: Callable[[], FleetState],
        timers: TimerService,
        observer: Observer,
    ) -> None:
        self._own_id = own_id
        self._store = store
        self._peers = peers
        self._state = state
        self._timers = timers
        self._observer = observer

    async def reserve(self, request: RequestHead) -> KeyReservation | Refusal:
        """Reserves a request's key; tries until its deadline.

        Returns:
            The reservation, or a refusal with ``NOT_RUN_KEY_UNGUARDED`` if
            the holders could not both be reached.
        """
        while True:
            result = await self._try_reserve(request)
            if not isinstance(result, Refusal):
                return result
            left_s = request.deadline_s - self._timers.now_s()
            if left_s <= _RETRY_S:
                await self.settle(request, KeyVerdict.NOT_RUN, None)
                return result
            await self._timers.sleep(_RETRY_S)

    async def settle(
        self, request: RequestHead, verdict: KeyVerdict, answer: Answer | None
    ) -> None:
        """Tells the holders how the request ended."""
        for member in self.holders(request.scoped_key()):
            await self._settle_at(member, request, verdict, answer)

    def holders(self, key: str) -> list[Member]:
        """Returns the members that hold a key, in order of reservation."""
        members_by_id = self._state().members_by_id
        ranked = rank_members(members_by_id, f"key/{key}")
        return [members_by_id[member_id] for member_id in ranked[:HOLDERS]]

    async def _try_reserve(
        self, request: RequestHead
    ) -> KeyReservation | Refusal:
        holders = self.holders(request.scoped_key())
        if not holders:
            return Refusal(
                ResultCode.NOT_RUN_KEY_UNGUARDED, "no entry host is a member"
            )
        for member in holders:
            result = await self._reserve_at(member, request)
            if isinstance(result, Refusal):
                self._observer.count("keys.holder_unreachable")
                return Refusal(ResultCode.NOT_RUN_KEY_UNGUARDED, result.reason)
            if result.verdict is KeyVerdict.FULL:
                return Refusal(
                    ResultCode.NOT_RUN_KEY_UNGUARDED,
                    f"{member.member_id} holds as many keys as it may",
                )
            if result.verdict is not KeyVerdict.NEW:
                return result
        return KeyReservation(KeyVerdict.NEW)

    async def _reserve_at(
        self, member: Member, request: RequestHead
    ) -> KeyReservation | Refusal:
        key = request.scoped_key()
        if member.member_id == self._own_id:
            return self._store.reserve(key, request.request_id, self._state())
        return await self._peers.reserve_key(
            member.peers, key, request.request_id
        )

    async def _settle_at(
        self,
        member: Member,
        request: RequestHead,
        verdict: KeyVerdict,
        answer: Answer | None,
    ) -> None:
        key = request.scoped_key()
        if member.member_id == self._own_id:
            self._store.settle(key, request.request_id, verdict, answer)
            return
        for _ in range(_SETTLE_TRIES):
            refusal = await self._peers.settle_key(
                member.peers, key, request.request_id, verdict, answer
            )
            if refusal is None:
                return
            await self._timers.sleep(_RETRY_S)
        self._observer.count("keys.settle_failures")


def _judge_own(record: _KeyRecord) -> KeyReservation:
    # A reservation that arrives after its request was given up comes late.
    if record.verdict is KeyVerdict.NOT_RUN:
        return KeyReservation(KeyVerdict.NOT_RUN)
    return KeyReservation(KeyVerdict.NEW)


def _judge_running(record: _KeyRecord, state: FleetState) -> KeyVerdict:
    if record.verdict is not KeyVerdict.RUNNING:
        return record.verdict
    # The request id begins with the name of the entry host that runs it. If
    # that is gone, nobody will ever tell how the request ended.
    runner = record.request_id.partition("/")[0]
    if runner in state.members_by_id:
        return KeyVerdict.RUNNING
    return KeyVerdict.UNKNOWN
