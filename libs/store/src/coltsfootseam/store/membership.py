"""Membership of this process in the group that assigns duties."""

from collections.abc import Callable

import msgspec

from coltsfootseam.results import Refusal
from coltsfootseam.store.messages import Assignment, PartitionHolder
from coltsfootseam.store.monitored import MonitoredStore
from coltsfootseam.timers import TimerService

GROUP = "duties"
TOPIC = "duties"


class MembershipTimes(msgspec.Struct, frozen=True):
    """Periods of a member, in seconds.

    Attributes:
        ttl_s: Time after the last join at which the store takes a member's
            partitions away.
        join_interval_s: Pause between two joins.
        holders_interval_s: Pause between two refreshes of the partition
            holders.
        standby_interval_s: The same pause on a standby host. It is shorter, as
            the holders alone show such a host that it is needed.
        settle_s: How long the holders must call for a change before a host
            joins or becomes a standby. When the store returns after an outage,
            members are missing from the holders until their next join.
    """

    ttl_s: float = 1.0
    join_interval_s: float = 0.3
    holders_interval_s: float = 1.0
    standby_interval_s: float = 0.6
    settle_s: float = 0.4


class Membership:
    """Keeps this host in the group and follows the assigned partitions.

    A surplus host becomes a standby: it leaves the group, so that no partition
    is assigned to it, and joins again as soon as it is needed.

    Attributes:
        member: This member's name, which contains its address for peers.
        assignment: The partitions of this member, ``None`` while unknown.
        members_by_partition: Which member holds which partition, as last read.
        is_standby: Whether the host is a standby.
        leaving: Whether the host leaves the group for good.
        refusals_by_call: Why the last ``join`` or the last read of the
            ``holdings`` failed; empty if both succeeded.
    """

    __slots__ = (
        "_is_refresh_requested",
        "_is_surplus",
        "_on_change",
        "_standby_differs_since_s",
        "_store",
        "_timers",
        "_times",
        "assignment",
        "is_standby",
        "leaving",
        "member",
        "members_by_partition",
        "refusals_by_call",
    )

    def __init__(
        self,
        store: MonitoredStore,
        timers: TimerService,
        member: str,
        on_change: Callable[[], None],
        times: MembershipTimes,
        is_surplus: Callable[[], bool] = lambda: False,
    ) -> None:
        """Makes a member that hasn't joined yet.

        Args:
            store: The store that assigns the partitions.
            timers: Clock and timers.
            member: The name to join under.
            on_change: Called when the assignment changed or was returned.
            times: Periods.
            is_surplus: Returns whether the members that hold partitions, as
                last read, can do without this host.
        """
        self._store = store
        self._timers = timers
        self._on_change = on_change
        self._times = times
        self._is_surplus = is_surplus
        self._standby_differs_since_s: float | None = None
        self._is_refresh_requested = True
        self.is_standby = False
        self.member = member
        self.assignment: Assignment | None = None
        self.members_by_partition: dict[int, str] = {}
        self.refusals_by_call: dict[str, Refusal] = {}
        self.leaving = False

    def listed_members(self) -> set[str]:
        """Returns the members that hold partitions, as last read."""
        return set(self.members_by_partition.values())

    def is_store_unresponsive(self) -> bool:
        """Returns whether the store hasn't replied for longer than the TTL.

        The group may have removed this member by then.
        """
        return self._store.unanswered_s() > self._times.ttl_s

    async def run(self) -> None:
        """Renews the membership until cancelled; may be run again."""
        await self.refresh_partition_holders()
        if self.assignment is None:
            self.is_standby = self._is_surplus()
            self._standby_differs_since_s = None
        while not self.leaving:
            if not self.is_standby:
                await self.renew()
            await self._timers.sleep(self._times.join_interval_s)

    async def renew(self) -> None:
        """Joins once; a refusal leaves the assignment unchanged."""
        generation = (
            self.assignment.generation if self.assignment is not None else 0
        )
        result = await self._store.join(
            GROUP, self.member, TOPIC, self._times.ttl_s, generation
        )
        if self.leaving or self.is_standby:
            return
        self._record_result("join", result)
        if isinstance(result, Refusal):
            return
        if result != self.assignment:
            self.assignment = result
            self._is_refresh_requested = True
            self._on_change()

    async def run_holders_refresh(self) -> None:
        """Keeps ``members_by_partition`` up to date until cancelled."""
        while True:
            await self.refresh_partition_holders()
            if self._is_standby_change_due():
                await self._toggle_standby()
            await self._wait_for_refresh()

    async def refresh_partition_holders(self) -> None:
        """Reads which member holds which partition; keeps it on a refusal."""
        self._is_refresh_requested = False
        result = await self._store.list_holders(GROUP)
        self._record_result("holdings", result)
        if isinstance(result, Refusal):
            await self._timers.sleep(self._times.join_interval_s)
            return
        self.members_by_partition = _members_by_partition(result)
        if self._is_surplus() == self.is_standby:
            self._standby_differs_since_s = None
        elif self._standby_differs_since_s is None:
            self._standby_differs_since_s = self._timers.now_s()

    def request_holders_refresh(self) -> None:
        """Requests an early refresh, as a holder appears to be out of date."""
        self._is_refresh_requested = True

    async def leave(self) -> None:
        """Leaves the group for good, so that others take over at once."""
        self.leaving = True
        self.assignment = None
        await self._store.leave(GROUP, self.member)

    def _record_result(self, call: str, result: object) -> None:
        if isinstance(result, Refusal):
            self.refusals_by_call[call] = result
        else:
            self.refusals_by_call.pop(call, None)

    async def _wait_for_refresh(self) -> None:
        """Waits until the next refresh of the partition holders is due."""
        times = self._times
        if self.is_standby and self._standby_differs_since_s is not None:
            await self._timers.sleep(times.settle_s)
            return
        pause_s = (
            times.standby_interval_s
            if self.is_standby
            else times.holders_interval_s
        )
        while pause_s > 0 and not self._is_refresh_requested:
            await self._timers.sleep(times.join_interval_s)
            pause_s -= times.join_interval_s

    def _is_standby_change_due(self) -> bool:
        """Returns whether the holders have called for it for long enough."""
        if self._standby_differs_since_s is None:
            return False
        differs_s = self._timers.now_s() - self._standby_differs_since_s
        return differs_s >= self._times.settle_s and not self.leaving

    async def _toggle_standby(self) -> None:
        """Joins the group again, or leaves it as a standby."""
        self._standby_differs_since_s = None
        self.is_standby = not self.is_standby
        if not self.is_standby:
            await self.renew()
            return
        self.refusals_by_call.pop("join", None)
        self.assignment = None
        self._on_change()
        # If this call is lost, the group removes the member after the TTL.
        await self._store.leave(GROUP, self.member)


def _members_by_partition(holders: list[PartitionHolder]) -> dict[int, str]:
    return {holder.number: holder.member for holder in holders}
