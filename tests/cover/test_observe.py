"""Stamps order events across processes, and the timeline shows them."""

import io
import json

import msgspec
from loguru import logger
from syrupy.assertion import SnapshotAssertion

from coltsfootseam.observe import (
    Counters,
    Event,
    EventRing,
    HybridClock,
    Stamp,
    configure_logs,
    merge_events,
    render_text,
    to_chrome_trace,
)
from coltsfootseam.timers import VirtualTimers


def make_events() -> list[list[Event]]:
    first = Event(Stamp(1000, 0), "entry-0", "zone-a", "lease.held", "entry-0")
    second = Event(
        Stamp(1000, 1), "entry-1", "zone-b", "request.failed", "r", "cut", 60
    )
    third = Event(Stamp(2500, 0), "entry-0", "zone-a", "log.gap", "7", "why")
    return [[first, third], [second]]


def test_a_stamp_is_later_than_received_ones_if_the_clock_is_behind() -> None:
    clock = HybridClock(VirtualTimers(start_wall_ms=1000))
    clock.merge(Stamp(5000, 3))
    assert clock.tick() == Stamp(5000, 4)


async def test_a_stamp_follows_the_wall_clock() -> None:
    timers = VirtualTimers(start_wall_ms=1000)
    clock = HybridClock(timers)
    assert clock.tick() == Stamp(1000, 0)
    assert clock.tick() == Stamp(1000, 1)
    await timers.advance(1.0)
    assert clock.tick() == Stamp(2000, 0)


def test_the_ring_keeps_the_newest_events_and_counts_the_dropped() -> None:
    clock = HybridClock(VirtualTimers())
    ring = EventRing(clock, "entry-0", "zone-a", capacity=2)
    for number in range(3):
        ring.add("test", str(number))
    assert [event.subject for event in ring.since(Stamp())] == ["1", "2"]
    assert ring.dropped == 1


def test_the_time_line_merges_all_processes(
    snapshot: SnapshotAssertion,
) -> None:
    events = merge_events(make_events())
    assert render_text(events) == snapshot(name="text")
    trace = msgspec.json.encode(to_chrome_trace(events))
    assert json.loads(trace) == snapshot(name="chrome")


def test_a_log_line_is_one_json_object() -> None:
    stream = io.StringIO()
    configure_logs("entry-0", "INFO", stream)
    logger.bind(subject="s").info("lease.held")
    logger.debug("not shown")
    lines = stream.getvalue().splitlines()
    assert len(lines) == 1
    line = json.loads(lines[0])
    assert line["process"] == "entry-0"
    assert line["message"] == "lease.held"
    assert line["fields"] == {"subject": "s"}


def test_counters_add_up() -> None:
    counters = Counters()
    counters.increment("a")
    counters.increment("a", 2)
    assert counters.totals_by_name["a"] == 3
