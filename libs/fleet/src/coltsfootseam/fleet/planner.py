"""Plans host ownership on the member that has the role of planner."""

import asyncio
from collections.abc import Callable

import msgspec

from coltsfootseam.fleet.ownership import PlanInput, plan_ownership
from coltsfootseam.observe import Observer
from coltsfootseam.peers import PeerClients
from coltsfootseam.platform import HostList
from coltsfootseam.replication import LeaseManager, Proposer, Replica
from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.state import Body, ClaimPhase, HostClaim, rank_members

_MAX_CONCURRENT_PROPOSALS = 32


class PlannerParts(msgspec.Struct, frozen=True):
    """Dependencies of the planner.

    Attributes:
        own_id: Name of this entry host.
        host_list: The platform's host list.
        replica: The folded state.
        lease: This entry host's lease; nothing is proposed without it.
        proposer: Appends proposals.
        peers: Calls to other entry hosts.
        observer: Events and counters.
        count_in_progress: Returns how many requests of this entry host are in
            progress on a host.
    """

    own_id: str
    host_list: HostList
    replica: Replica
    lease: LeaseManager
    proposer: Proposer
    peers: PeerClients
    observer: Observer
    count_in_progress: Callable[[str], int]


class OwnershipPlanner:
    """Proposes changes of host ownership while this entry host has the role."""

    __slots__ = ("_parts", "_reported_reasons")

    def __init__(self, parts: PlannerParts) -> None:
        self._parts = parts
        self._reported_reasons: set[str] = set()

    def has_role(self) -> bool:
        """Returns whether this host is the planner and holds its lease."""
        parts = self._parts
        if not parts.lease.holds_lease():
            return False
        members = parts.replica.state.members_by_id
        return rank_members(members, "planner")[:1] == [parts.own_id]

    async def tick(self) -> None:
        """Reads the host list and proposes the next steps."""
        if not self.has_role():
            return
        hosts = await self._parts.host_list.read()
        if isinstance(hosts, Refusal):
            self._parts.observer.count("host_list.failures")
            return
        self._report_unreadable()
        plan_input = PlanInput(
            state=self._parts.replica.state,
            hosts_by_id={host.host_id: host for host in hosts},
            idle_host_ids=await self._find_idle_hosts(),
        )
        bodies = plan_ownership(plan_input)
        self._parts.observer.counters.set_gauge("planner.due", len(bodies))
        await asyncio.gather(
            *(
                self._propose(each)
                for each in bodies[:_MAX_CONCURRENT_PROPOSALS]
            )
        )

    def _report_unreadable(self) -> None:
        """Reports entries of the list that can't be read, once each."""
        reasons = self._parts.host_list.unreadable
        for reason in set(reasons) - self._reported_reasons:
            self._parts.observer.record_change(
                "host_list.unreadable", "entry", reason, ResultCode.BAD_INPUT
            )
        self._reported_reasons = set(reasons)

    async def _propose(self, body: Body) -> None:
        outcome = await self._parts.proposer.propose(body)
        if outcome.code is not ResultCode.OK:
            self._parts.observer.record_event(
                "planner.refused",
                type(body).__name__,
                outcome.reason,
                outcome.code,
            )

    async def _find_idle_hosts(self) -> frozenset[str]:
        draining = [
            claim
            for claim in self._parts.replica.state.claims_by_host_id.values()
            if claim.phase is ClaimPhase.DRAINING and not claim.down
        ]
        idle = await asyncio.gather(*(self._is_idle(each) for each in draining))
        return frozenset(
            claim.host_id
            for claim, is_idle in zip(draining, idle, strict=True)
            if is_idle
        )

    async def _is_idle(self, claim: HostClaim) -> bool:
        """Returns whether no member uses a draining host any more.

        A member that has not folded the drain may still start requests there,
        and an unreachable one may have some in progress. Both keep the host
        from being released until they reply or their lease ends.
        """
        parts = self._parts
        if parts.count_in_progress(claim.host_id):
            return False
        members = list(parts.replica.state.members_by_id.values())
        statuses = await asyncio.gather(
            *(
                parts.peers.status(member.peers, claim.host_id)
                for member in members
                if member.member_id != parts.own_id
            )
        )
        return all(
            not isinstance(status, Refusal)
            and status.offset >= claim.changed_offset
            and status.in_progress == 0
            for status in statuses
        )
