"""The command that shows the merged events of all entry hosts."""

import asyncio
import pathlib
import sys

import msgspec

from coltsfootseam.cli.client import AdminClient, connect, run
from coltsfootseam.cli.output import fail, finish, print_json
from coltsfootseam.entry import EntryStatus
from coltsfootseam.observe import (
    Event,
    merge_events,
    render_text,
    to_chrome_trace,
)
from coltsfootseam.results import Refusal, ResultCode


class CollectedEvents(msgspec.Struct, frozen=True):
    """Events of the entry hosts that answered.

    Attributes:
        events: The merged events.
        unresponsive: Addresses of the entry hosts that didn't answer.
    """

    events: list[Event]
    unresponsive: list[str]


def show_timeline(entries: str, since_ms: int, chrome: str, json: bool) -> None:
    """Prints or writes the merged events of all entry hosts, and exits.

    Args:
        entries: Addresses of entry hosts.
        since_ms: Time of the earliest event.
        chrome: File to write a Chrome trace to; empty to print the events.
        json: Whether to print JSON instead of text.
    """
    collected = run(collect_events(connect(entries), since_ms))
    if isinstance(collected, Refusal):
        fail(collected)
    for address in collected.unresponsive:
        print(f"no answer from {address}", file=sys.stderr)
    if chrome:
        trace = msgspec.json.encode(to_chrome_trace(collected.events))
        pathlib.Path(chrome).write_bytes(trace)
        print(f"{chrome}: {len(collected.events)} events")
    elif json:
        print_json(collected.events)
    else:
        print(render_text(collected.events))
    finish(ResultCode.UNREACHABLE if collected.unresponsive else ResultCode.OK)


async def collect_events(
    client: AdminClient, since_ms: int
) -> CollectedEvents | Refusal:
    """Returns the merged events of all entry hosts.

    A refusal is returned if no list of the entry hosts was obtained.
    """
    status = await client.get("/v1/status", EntryStatus)
    if isinstance(status, Refusal):
        return status
    addresses = [member.admin for member in status.members]
    path = f"/v1/events?since_ms={since_ms}"
    groups = await asyncio.gather(
        *(
            AdminClient([address]).get(path, list[Event])
            for address in addresses
        )
    )
    unresponsive = [
        address
        for address, group in zip(addresses, groups, strict=True)
        if isinstance(group, Refusal)
    ]
    events = merge_events(
        group for group in groups if not isinstance(group, Refusal)
    )
    return CollectedEvents(events, unresponsive)
