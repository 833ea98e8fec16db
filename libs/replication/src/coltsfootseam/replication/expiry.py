"""Expires the memberships of entry hosts whose lease has lapsed."""

import msgspec

from coltsfootseam.observe import Observer
from coltsfootseam.replication.connectivity import Connectivity
from coltsfootseam.replication.proposer import Proposer
from coltsfootseam.replication.replica import Replica
from coltsfootseam.state import Member, MemberExpired, rank_members
from coltsfootseam.timers import TimerService

_DELAY_PER_RANK_S = 1.0
_MS_PER_S = 1000


class _SeenRenewal(msgspec.Struct, frozen=True):
    epoch: int
    renewed_offset: int
    seen_s: float


class MemberExpiry:
    """Proposes to expire members that no longer renew their lease."""

    __slots__ = (
        "_connectivity",
        "_margin_s",
        "_observer",
        "_own_id",
        "_proposer",
        "_replica",
        "_seen_renewals_by_member_id",
        "_timers",
    )

    def __init__(
        self,
        own_id: str,
        proposer: Proposer,
        replica: Replica,
        connectivity: Connectivity,
        timers: TimerService,
        observer: Observer,
        margin_s: float,
    ) -> None:
        self._own_id = own_id
        self._proposer = proposer
        self._replica = replica
        self._connectivity = connectivity
        self._timers = timers
        self._observer = observer
        self._margin_s = margin_s
        self._seen_renewals_by_member_id: dict[str, _SeenRenewal] = {}

    async def tick(self) -> None:
        """Proposes to expire each membership whose lease has lapsed."""
        self._record_renewals()
        if not self._connectivity.is_log_reachable():
            return
        for member in list(self._replica.state.members_by_id.values()):
            if member.member_id != self._own_id and self._has_lapsed(member):
                await self._propose_expiry(member)

    def _record_renewals(self) -> None:
        members_by_id = self._replica.state.members_by_id
        seen_renewals: dict[str, _SeenRenewal] = {}
        for member_id, member in members_by_id.items():
            seen = self._seen_renewals_by_member_id.get(member_id)
            if seen is None or not _is_same_renewal(seen, member):
                seen = _SeenRenewal(
                    member.epoch, member.renewed_offset, self._timers.now_s()
                )
            seen_renewals[member_id] = seen
        self._seen_renewals_by_member_id = seen_renewals

    def _has_lapsed(self, member: Member) -> bool:
        renewal = self._seen_renewals_by_member_id[member.member_id]
        # No member can renew during an outage of the log, so the time of the
        # outage does not count.
        since_s = max(renewal.seen_s, self._connectivity.log_resumed_s)
        lease_s = member.lease_ms / _MS_PER_S + self._margin_s
        delay_s = self._own_rank_for(member) * _DELAY_PER_RANK_S
        return self._timers.now_s() - since_s > lease_s + delay_s

    def _own_rank_for(self, member: Member) -> int:
        # The first in rank proposes at once. The others wait in order of rank
        # and propose only if the membership still exists by then.
        others = [
            member_id
            for member_id in self._replica.state.members_by_id
            if member_id != member.member_id
        ]
        ranked = rank_members(others, f"expiry/{member.member_id}")
        if self._own_id not in ranked:
            return len(ranked)
        return ranked.index(self._own_id)

    async def _propose_expiry(self, member: Member) -> None:
        body = MemberExpired(
            member_id=member.member_id,
            member_epoch=member.epoch,
            renewed_offset=member.renewed_offset,
        )
        outcome = await self._proposer.propose(body)
        self._observer.record_change(
            "member.expired", member.member_id, outcome.reason, outcome.code
        )


def _is_same_renewal(renewal: _SeenRenewal, member: Member) -> bool:
    return (
        renewal.epoch == member.epoch
        and renewal.renewed_offset == member.renewed_offset
    )
