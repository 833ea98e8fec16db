"""What the in-memory workers count as a violation."""

import msgspec

from coltsfootseam.jobs import TaskId
from coltsfootseam.standins.memory_workers import MemoryWorkers
from coltsfootseam.timers import VirtualTimers
from coltsfootseam.workers import HeartbeatRequest, StartOrder, WorkerEntry

TASK = TaskId("a" * 16, 0, 0, 0)
ENTRY = WorkerEntry(
    worker_id="i-1@1",
    instance_id="i-1",
    started_ms=1,
    pool="pool",
    address="10.1.0.1:80",
    zone="a",
    is_draining=False,
    remaining_ms=None,
    cpu_millis=1000,
    memory_mb=1000,
    accelerators=0,
    labels=(),
)


def start_order(number: int) -> StartOrder:
    """Returns an order with a lease that lasts for one run."""
    return StartOrder(TASK, number, "text", lease_end_ms=3000, token=1)


async def rules_broken_by_a_second_run(
    acknowledged_after_s: float,
) -> list[str]:
    """Returns what a run after the acknowledged end of the first one breaks."""
    timers = VirtualTimers()
    workers = MemoryWorkers(timers, lambda task: 0.5)
    first = workers.add(ENTRY)
    workers.apply_start(first, start_order(1))
    await timers.advance(acknowledged_after_s)
    workers.apply_heartbeat(first, HeartbeatRequest(1, 1, None, 0))
    second = workers.add(ENTRY)
    workers.apply_start(second, start_order(2))
    return [violation.rule for violation in workers.violations]


async def test_a_run_after_an_acknowledged_end_is_a_violation() -> None:
    broken = await rules_broken_by_a_second_run(1.0)
    assert broken == ["run after its acknowledged end"]


# Guards against a false alarm: an owner may give a run up when its lease ends.
async def test_an_end_acknowledged_after_the_lease_ended_does_not_count() -> (
    None
):
    assert await rules_broken_by_a_second_run(5.0) == []


async def rules_broken_by_a_late_acknowledgement(
    acknowledged_after_s: float,
) -> list[str]:
    """Returns what a run breaks that starts after an unacknowledged end."""
    timers = VirtualTimers()
    workers = MemoryWorkers(timers, lambda task: 0.5)
    first = workers.add(ENTRY)
    second = workers.add(msgspec.structs.replace(ENTRY, instance_id="i-2"))
    workers.apply_start(first, start_order(1))
    await timers.advance(1.0)
    workers.apply_start(second, start_order(2))
    assert workers.violations == []
    await timers.advance(acknowledged_after_s)
    workers.apply_heartbeat(first, HeartbeatRequest(1, 1, None, 0))
    return [violation.rule for violation in workers.violations]


# Guards against runs that pass unnoticed: a cut-off owner can't acknowledge an
# end, so a later owner does so after it has started the task again.
async def test_an_end_acknowledged_after_the_next_start_is_a_violation() -> (
    None
):
    broken = await rules_broken_by_a_late_acknowledgement(1.0)
    assert broken == ["started after an end that was noted later"]


# Guards against a false alarm: an owner may give a run up when its lease ends.
async def test_a_lease_that_ended_before_that_does_not_count() -> None:
    assert await rules_broken_by_a_late_acknowledgement(5.0) == []
