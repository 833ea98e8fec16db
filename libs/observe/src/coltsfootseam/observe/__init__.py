"""Observability of a process: events, counters and log lines."""

from coltsfootseam.observe.clock import HybridClock, Stamp
from coltsfootseam.observe.counters import Counters
from coltsfootseam.observe.decisions import DecisionLog
from coltsfootseam.observe.events import Event, EventRing
from coltsfootseam.observe.logs import configure_logs
from coltsfootseam.observe.observer import Observer
from coltsfootseam.observe.timeline import (
    merge_events,
    render_text,
    to_chrome_trace,
)

__all__ = [
    "Counters",
    "DecisionLog",
    "Event",
    "EventRing",
    "HybridClock",
    "Observer",
    "Stamp",
    "configure_logs",
    "merge_events",
    "render_text",
    "to_chrome_trace",
]
