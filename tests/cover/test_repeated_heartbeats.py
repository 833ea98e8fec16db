"""Heartbeats to a silent worker to which a start may be under way."""

import asyncio
import itertools

from coltsfootseam.timers import VirtualTimers
from coltsfootseam.workers import (
    HeartbeatReply,
    HeartbeatRequest,
    OrderOutcome,
    OrderReply,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerEntry,
    WorkerLease,
    WorkerLink,
)

ENTRY = WorkerEntry(
    "i-1@1",
    "i-1",
    1,
    "counter",
    "10.1.0.1:80",
    "z",
    False,
    None,
    4000,
    1,
    0,
    (),
)
TOKEN = 3
CALL_S = 0.6


class SilentCalls:
    """Calls that aren't answered for a while; then another life replies."""

    def __init__(self, timers: VirtualTimers, answered_s: float) -> None:
        self._timers = timers
        self._answered_s = answered_s
        self.requests: list[tuple[float, HeartbeatRequest]] = []

    async def heartbeat(
        self, worker: WorkerEntry, order: HeartbeatRequest
    ) -> HeartbeatReply | OrderReply:
        self.requests.append((self._timers.now_s(), order))
        if self._timers.now_s() >= self._answered_s:
            return HeartbeatReply(0, 2, [], [])
        await self._timers.sleep(CALL_S)
        return OrderReply(OrderOutcome.UNKNOWN)

    async def start(self, worker: WorkerEntry, order: StartOrder) -> OrderReply:
        return OrderReply(OrderOutcome.UNKNOWN)

    async def stop(self, worker: WorkerEntry, order: StopOrder) -> OrderReply:
        return OrderReply(OrderOutcome.UNKNOWN)

    async def pace(self, worker: WorkerEntry, order: PaceOrder) -> OrderReply:
        return OrderReply(OrderOutcome.UNKNOWN)

    def forget(self, worker: WorkerEntry) -> None:
        pass


class Owner:
    """An owner that may grant leases."""

    def may_grant(self) -> bool:
        return True

    def have_earlier_ended(self) -> bool:
        return True


async def run_link(
    answered_s: float, unanswered_start_s: float | None
) -> tuple[WorkerLink, SilentCalls]:
    """Follows a silent worker until another life replies."""
    timers = VirtualTimers()
    began_s = timers.now_s()
    calls = SilentCalls(timers, began_s + answered_s)
    link = WorkerLink(
        ENTRY,
        calls,
        timers,
        WorkerLease(timers, 4.0, Owner()),
        TOKEN,
        1.0,
        lambda *report: None,
    )
    link.acknowledged = 5
    if unanswered_start_s is not None:
        link.unanswered_start_s = began_s + unanswered_start_s
    following = asyncio.ensure_future(link.run())
    await timers.advance(answered_s + 1.0)
    assert following.done()
    calls.requests = [(sent - began_s, order) for sent, order in calls.requests]
    return link, calls


# Guards against a next life that is called late, as a call to the former one
# has to fail first, and against one that is told to forget its own ends.
async def test_heartbeats_follow_closely_while_a_start_is_under_way() -> None:
    link, calls = await run_link(answered_s=2.1, unanswered_start_s=0.0)
    times = [sent_s for sent_s, _ in calls.requests]
    gaps = [later - sooner for sooner, later in itertools.pairwise(times)]
    assert max(gaps) < 0.3
    assert link.restarted_ms == 2
    assert all(order.lease_end_ms is None for _, order in calls.requests)
    assert all(order.acknowledged == 0 for _, order in calls.requests)


# Guards against calls without need: once no start can arrive any more, a silent
# worker is called as seldom as one to which none was sent.
async def test_heartbeats_are_not_repeated_for_longer_than_a_start_takes() -> (
    None
):
    link, calls = await run_link(answered_s=6.0, unanswered_start_s=-9.0)
    late = [sent_s for sent_s, _ in calls.requests if sent_s > 4.0]
    gaps = [later - sooner for sooner, later in itertools.pairwise(late)]
    assert min(gaps[:-1]) > CALL_S
    assert link.restarted_ms == 2


# Guards against ends that are named as stored to a worker that hasn't answered:
# its next life may be at the address, also where no start is under way.
async def test_a_silent_worker_is_told_to_forget_no_ends() -> None:
    _, calls = await run_link(answered_s=6.0, unanswered_start_s=None)
    assert all(order.acknowledged == 0 for _, order in calls.requests)
