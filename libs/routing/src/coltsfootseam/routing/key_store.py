"""The idempotency keys that one entry host stores for all entry hosts."""

from collections import OrderedDict
from collections.abc import Iterable

import msgspec

from coltsfootseam.peers import Answer, KeyCopy, KeyReservation, KeyVerdict
from coltsfootseam.routing.key_placement import may_have_been_lost
from coltsfootseam.state import FleetState
from coltsfootseam.timers import TimerService

_MS_PER_S = 1000


class _KeyRecord(msgspec.Struct):
    request_id: str
    verdict: KeyVerdict
    answer: Answer | None
    since_s: float


class KeyStore:
    """The keys that this entry host stores for all entry hosts."""

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

        A repeated call for the same request gets the same reply, so a caller
        whose reply was lost can retry.
        """
        self._expire_old(state)
        record = self._records_by_key.get(key)
        if record is None:
            return self._reserve_new(key, request_id, state)
        if record.request_id == request_id:
            return _reply_to_owner(record)
        if record.verdict is KeyVerdict.NOT_RUN:
            self._put(key, request_id, KeyVerdict.RUNNING, None)
            return KeyReservation(KeyVerdict.NEW)
        if record.verdict is KeyVerdict.RUNNING:
            return KeyReservation(_current_verdict(record, state))
        return KeyReservation(record.verdict, record.answer)

    def record_outcome(
        self,
        key: str,
        request_id: str,
        verdict: KeyVerdict,
        answer: Answer | None,
    ) -> None:
        """Records the outcome of the request that reserved a key."""
        record = self._records_by_key.get(key)
        if record is not None and _belongs_to_other(record, request_id):
            return
        self._put(key, request_id, verdict, answer)

    def apply_copies(self, copies: Iterable[KeyCopy]) -> None:
        """Applies records of another holder.

        A running record does not replace a known outcome of its request.
        """
        for copy in copies:
            record = self._records_by_key.get(copy.key)
            is_same = (
                record is not None and record.request_id == copy.request_id
            )
            if is_same and copy.verdict is KeyVerdict.RUNNING:
                continue
            self.record_outcome(
                copy.key, copy.request_id, copy.verdict, copy.answer
            )

    def copies(self, keys: Iterable[str]) -> list[KeyCopy]:
        """Returns the records of the given keys that are still stored."""
        records = self._records_by_key
        return [
            KeyCopy(
                key,
                records[key].request_id,
                records[key].verdict,
                records[key].answer,
            )
            for key in keys
            if key in records
        ]

    def keys(self) -> list[str]:
        """Returns all keys."""
        return list(self._records_by_key)

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

    def _reserve_new(
        self, key: str, request_id: str, state: FleetState
    ) -> KeyReservation:
        now_ms = self._timers.wall_ms()
        kept_ms = round(self._kept_s * _MS_PER_S)
        if may_have_been_lost(state, key, now_ms, kept_ms):
            return KeyReservation(KeyVerdict.UNKNOWN)
        # A key that is dropped early lets its request run twice, so a full
        # store rejects new keys instead.
        if len(self._records_by_key) >= self._limit:
            return KeyReservation(KeyVerdict.FULL)
        self._put(key, request_id, KeyVerdict.RUNNING, None)
        return KeyReservation(KeyVerdict.NEW)

    def _expire_old(self, state: FleetState) -> None:
        oldest_s = self._timers.now_s() - self._kept_s
        records = self._records_by_key
        while records:
            key, record = next(iter(records.items()))
            if record.since_s >= oldest_s:
                return
            if _current_verdict(record, state) is KeyVerdict.RUNNING:
                self._put(key, record.request_id, KeyVerdict.RUNNING, None)
            else:
                del records[key]


def _belongs_to_other(record: _KeyRecord, request_id: str) -> bool:
    is_free = record.verdict is KeyVerdict.NOT_RUN
    return record.request_id != request_id and not is_free


def _reply_to_owner(record: _KeyRecord) -> KeyReservation:
    # The request was abandoned before its delayed reservation arrived.
    if record.verdict is KeyVerdict.NOT_RUN:
        return KeyReservation(KeyVerdict.NOT_RUN)
    return KeyReservation(KeyVerdict.NEW)


def _current_verdict(record: _KeyRecord, state: FleetState) -> KeyVerdict:
    if record.verdict is not KeyVerdict.RUNNING:
        return record.verdict
    # The request id starts with the name of the entry host that runs it. If
    # that host has left, the outcome will never be reported.
    runner = record.request_id.partition("/")[0]
    if runner in state.members_by_id:
        return KeyVerdict.RUNNING
    return KeyVerdict.UNKNOWN
