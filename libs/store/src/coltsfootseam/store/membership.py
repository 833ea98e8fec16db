"""Membership of this process in the group that deals duties."""

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
        ttl_s: Silence after which the store takes the partitions away.
        join_interval_s: Pause between two joins.
        holders_interval_s: Pause between two readings of who holds what.
        standby_interval_s: Pause between them for a standby host; from the
            readings alone it learns that it is needed.
        settle_s: For how long readings have to speak for joining or standing
            by. When the store returns, members are missing until their next
            join.
    """

    ttl_s: float = 1.0
    join_interval_s: float = 0.3
    holders_interval_s: float = 1.0
    standby_interval_s: float = 0.6
    settle_s: float = 0.4


class Membership:
    """Stays in the group and knows what was dealt to whom.

    A host that the others can spare stands by: it leaves the group, so that
    nothing is dealt to it, and joins as soon as it is needed.

    Attributes:
        member: This member's name; it holds the address for peers.
        assignment: What this member holds, ``None`` while that isn't known.
        members_by_partition: Which member holds which partition, as last read.
        is_standby: Whether the host stands by.
        problems_by_call: Why the last join or refresh of the holders
            failed; empty while both are answered.
    """

    __slots__ = (
        "_is_refresh_requested",
        "_is_surplus",
        "_on_change",
        "_standby_change_due_since_s",
        "_store",
        "_timers",
        "_times",
        "assignment",
        "is_standby",
        "leaving",
        "member",
        "members_by_partition",
        "problems_by_call",
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
            store: The store that deals.
            timers: Time.
            member: The name to join under.
            on_change: Called when another deal came or was given back.
            times: Periods.
            is_surplus: Tells whether those who hold something, as last read,
                can do without this host.
        """
        self._store = store
        self._timers = timers
        self._on_change = on_change
        self._times = times
        self._is_surplus = is_surplus
        self._standby_change_due_since_s: float | None = None
        self._is_refresh_requested = True
        self.is_standby = False
        self.member = member
        self.assignment: Assignment | None = None
        self.members_by_partition: dict[int, str] = {}
        self.problems_by_call: dict[str, Refusal] = {}
        self.leaving = False

    def is_store_unresponsive(self) -> bool:
        """Tells whether the store hasn't answered for as long as the TTL.

        The group may take this member for lost by now.
        """
        return self._store.unanswered_s() > self._times.ttl_s

    async def run(self) -> None:
        """Renews the membership until it is cancelled; may be begun again."""
        await self.refresh_partition_holders()
        if self.assignment is None:
            self.is_standby = self._is_surplus()
            self._standby_change_due_since_s = None
        while not self.leaving:
            if not self.is_standby:
                await self.renew()
            await self._timers.sleep(self._times.join_interval_s)

    async def renew(self) -> None:
        """Joins once; a refusal leaves what was dealt as it is."""
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
        """Keeps ``members_by_partition`` current until it is cancelled."""
        while True:
            await self.refresh_partition_holders()
            if self._is_standby_change_due():
                await self._toggle_standby()
            await self._wait_for_refresh()

    async def refresh_partition_holders(self) -> None:
        """Reads who holds what; a refusal keeps what was known."""
        self._is_refresh_requested = False
        result = await self._store.partition_holders(GROUP)
        self._record_result("holdings", result)
        if isinstance(result, Refusal):
            await self._timers.sleep(self._times.join_interval_s)
            return
        self.members_by_partition = _members_by_partition(result)
        if self._is_surplus() == self.is_standby:
            self._standby_change_due_since_s = None
        elif self._standby_change_due_since_s is None:
            self._standby_change_due_since_s = self._timers.now_s()

    def request_holders_refresh(self) -> None:
        """Has the holders read again soon, as one of them looks wrong."""
        self._is_refresh_requested = True

    async def leave(self) -> None:
        """Gives everything back, so that others take over at once."""
        self.leaving = True
        self.assignment = None
        await self._store.leave(GROUP, self.member)

    def _record_result(self, call: str, result: object) -> None:
        if isinstance(result, Refusal):
            self.problems_by_call[call] = result
        else:
            self.problems_by_call.pop(call, None)

    async def _wait_for_refresh(self) -> None:
        """Waits until it is time for the next reading."""
        times = self._times
        if self.is_standby and self._standby_change_due_since_s is not None:
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
        """Tells whether readings spoke for it for long enough."""
        if self._standby_change_due_since_s is None:
            return False
        differs_s = self._timers.now_s() - self._standby_change_due_since_s
        return differs_s >= self._times.settle_s and not self.leaving

    async def _toggle_standby(self) -> None:
        """Takes part again, or stands by."""
        self._standby_change_due_since_s = None
        self.is_standby = not self.is_standby
        if not self.is_standby:
            await self.renew()
            return
        self.problems_by_call.pop("join", None)
        self.assignment = None
        self._on_change()
        # Where the answer is lost, the group forgets this member by TTL.
        await self._store.leave(GROUP, self.member)


def _members_by_partition(holdings: list[PartitionHolder]) -> dict[int, str]:
    return {holding.number: holding.member for holding in holdings}
