"""The membership lease of this entry host."""

import math
import uuid

import msgspec

from coltsfootseam.observe import Observer
from coltsfootseam.replication.proposer import Proposer
from coltsfootseam.replication.replica import Replica
from coltsfootseam.results import ResultCode
from coltsfootseam.state import (
    LeaseRenewed,
    MemberJoined,
    MemberLeft,
    Outcome,
    Record,
)
from coltsfootseam.timers import TimerService

_MAX_PENDING_RENEWALS = 64
_ID_PREFIX_LENGTH = 12
_JOIN_RETRY_INTERVAL_S = 0.5
_MS_PER_S = 1000


class MemberIdentity(msgspec.Struct, frozen=True):
    """How this entry host appears to the others.

    Attributes:
        member_id: Its name.
        region: Its region.
        zone: Its availability zone.
        callers: Address for callers.
        admin: Address for operators.
        peers: Address for other entry hosts.
        lease_ms: Length of its lease in milliseconds.
        drift_margin_ms: How much earlier the lease expires for this entry host
            than for the others, to allow for clock drift.
    """

    member_id: str
    region: str
    zone: str
    callers: str
    admin: str
    peers: str
    lease_ms: int
    drift_margin_ms: int


class LeaseManager:
    """Joins the members, renews the lease and leaves.

    The holder counts its lease from before it appends a renewal, the others
    from when they read it, so the lease always expires for the holder first.
    """

    __slots__ = (
        "_expires_s",
        "_identity",
        "_incarnation",
        "_is_held",
        "_last_sent_s",
        "_leaving",
        "_observer",
        "_proposer",
        "_renew_interval_s",
        "_renewal_count",
        "_replica",
        "_sent_s_by_record_id",
        "_timers",
    )

    def __init__(
        self,
        identity: MemberIdentity,
        proposer: Proposer,
        replica: Replica,
        timers: TimerService,
        observer: Observer,
        renew_interval_s: float,
    ) -> None:
        self._identity = identity
        self._renew_interval_s = renew_interval_s
        self._renewal_count = 0
        self._last_sent_s = -math.inf
        self._proposer = proposer
        self._replica = replica
        self._timers = timers
        self._observer = observer
        self._incarnation = uuid.uuid4().hex
        self._sent_s_by_record_id: dict[str, float] = {}
        self._expires_s = -math.inf
        self._is_held = False
        self._leaving = False
        replica.add_listener(self._on_folded)

    def holds_lease(self) -> bool:
        """Returns whether the lease is valid by this host's own clock."""
        return self._timers.now_s() < self._expires_s

    def remaining_s(self) -> float:
        """Returns the seconds until the lease expires, at least 0."""
        return max(0.0, self._expires_s - self._timers.now_s())

    def is_member(self) -> bool:
        """Returns whether this process is a member in the folded state."""
        member = self._replica.state.members_by_id.get(self._identity.member_id)
        return member is not None and member.incarnation == self._incarnation

    async def tick(self) -> None:
        """Appends a renewal or a request to join if one is due."""
        period_s = (
            self._renew_interval_s
            if self.is_member()
            else _JOIN_RETRY_INTERVAL_S
        )
        if self._timers.now_s() - self._last_sent_s >= period_s:
            await self.renew()

    async def renew(self) -> None:
        """Appends a renewal, or a request to join if this is no member."""
        if self._leaving:
            return
        self._last_sent_s = self._timers.now_s()
        self._choose_epoch()
        self._record_lapse()
        self._renewal_count += 1
        record = self._proposer.make_record(
            LeaseRenewed() if self.is_member() else self._make_join(),
            f"{self._incarnation[:_ID_PREFIX_LENGTH]}-{self._renewal_count}",
        )
        self._record_sent(record)
        await self._proposer.append_once(record)

    async def leave(self) -> None:
        """Ends the membership; called after the last request is answered."""
        self._leaving = True
        if not self.is_member():
            return
        outcome = await self._proposer.propose(MemberLeft())
        self._expires_s = -math.inf
        self._observer.record_change(
            "lease.left", self._identity.member_id, outcome.reason
        )

    def _make_join(self) -> MemberJoined:
        return MemberJoined(
            incarnation=self._incarnation,
            region=self._identity.region,
            zone=self._identity.zone,
            callers=self._identity.callers,
            admin=self._identity.admin,
            peers=self._identity.peers,
            lease_ms=self._identity.lease_ms,
        )

    def _choose_epoch(self) -> None:
        if self.is_member():
            return
        state = self._replica.state
        member_id = self._identity.member_id
        highest_epoch = state.ended_epochs_by_member_id.get(member_id, 0)
        current = state.members_by_id.get(member_id)
        if current is not None:
            highest_epoch = max(highest_epoch, current.epoch)
        self._proposer.epoch = highest_epoch + 1

    def _record_lapse(self) -> None:
        if self._is_held and not self.holds_lease():
            self._is_held = False
            self._observer.record_change(
                "lease.lapsed", self._identity.member_id
            )

    def _record_sent(self, record: Record) -> None:
        sent = self._sent_s_by_record_id
        sent[record.record_id] = self._timers.now_s()
        while len(sent) > _MAX_PENDING_RENEWALS:
            del sent[next(iter(sent))]

    def _on_folded(self, offset: int, record: Record, outcome: Outcome) -> None:
        del offset
        sent_s = self._sent_s_by_record_id.pop(record.record_id, None)
        if sent_s is None:
            return
        if outcome.code is not ResultCode.OK:
            self._expires_s = -math.inf
            self._observer.record_change(
                "lease.refused",
                self._identity.member_id,
                outcome.reason,
                outcome.code,
            )
            return
        length_ms = self._identity.lease_ms - self._identity.drift_margin_ms
        self._expires_s = max(self._expires_s, sent_s + length_ms / _MS_PER_S)
        if not self._is_held and self.holds_lease():
            self._is_held = True
            self._observer.record_change(
                "lease.held",
                self._identity.member_id,
                f"epoch {record.epoch}",
            )
