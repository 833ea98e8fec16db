"""Merges the events of all processes into one timeline."""

import datetime
from collections.abc import Iterable

import msgspec

from coltsfootseam.observe.events import Event

_MICROSECONDS_PER_MS = 1000


class TraceEvent(msgspec.Struct):
    """An instant event of the Chrome trace-event format."""

    name: str
    cat: str
    ts: int
    pid: str
    tid: str
    args: dict[str, str | int]
    ph: str = "i"
    s: str = "p"


class ChromeTrace(msgspec.Struct, rename="camel"):
    """A file of the Chrome trace-event format."""

    trace_events: list[TraceEvent]
    display_time_unit: str = "ms"


def merge_events(groups: Iterable[Iterable[Event]]) -> list[Event]:
    """Merges events of several processes, oldest first."""
    events = [event for group in groups for event in group]
    return sorted(events, key=lambda event: (event.stamp, event.process))


def render_text(events: Iterable[Event]) -> str:
    """Renders events as human-readable lines."""
    return "\n".join(_render_line(event) for event in events)


def to_chrome_trace(events: Iterable[Event]) -> ChromeTrace:
    """Converts events to a trace in the Chrome trace-event format."""
    return ChromeTrace([_to_trace_event(event) for event in events])


def _render_line(event: Event) -> str:
    moment = datetime.datetime.fromtimestamp(
        event.stamp.wall_ms / 1000, tz=datetime.UTC
    )
    clock = moment.strftime("%H:%M:%S.%f")[:-3]
    stamp = f"{clock}+{event.stamp.count:<3}"
    code = f" [{event.code}]" if event.code else ""
    cause = f" ({event.cause})" if event.cause else ""
    source = f"{event.process}/{event.zone}"
    return f"{stamp} {source:<16} {event.kind} {event.subject}{cause}{code}"


def _to_trace_event(event: Event) -> TraceEvent:
    return TraceEvent(
        name=event.kind,
        cat=event.kind.split(".")[0],
        ts=event.stamp.wall_ms * _MICROSECONDS_PER_MS + event.stamp.count,
        pid=event.zone,
        tid=event.process,
        args={
            "subject": event.subject,
            "cause": event.cause,
            "code": event.code,
        },
    )
