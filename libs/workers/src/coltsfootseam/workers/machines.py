"""Machines, as the platform lists and moves them."""

import enum
from typing import Protocol

import msgspec

from coltsfootseam.results import Refusal


class MachineState(enum.IntEnum):
    """What a machine is doing."""

    UP = 0
    MOVING = 1
    MAINTENANCE = 2
    DOWN = 3


class Machine(msgspec.Struct, frozen=True):
    """A machine; its worker has a new life after each move.

    Attributes:
        machine_id: Name of the machine.
        pool: Pool that it belongs to.
        state: What it is doing.
        zone: Its availability zone.
        labels: Its kind and its rack.
        instance_id: Its worker, or empty.
        cpu_millis: Processor that it has.
    """

    machine_id: str
    pool: str
    state: MachineState
    zone: str
    labels: tuple[str, ...]
    instance_id: str
    cpu_millis: int


class MachineOutcome(enum.IntEnum):
    """What became of an order for a machine."""

    DONE = 0
    FENCED = 1
    BUSY = 2
    NOT_IN_WAVE = 3
    MALFORMED = 4
    NOT_DONE = 5
    UNKNOWN = 6


class Holder(msgspec.Struct, frozen=True):
    """Who gives orders for machines, and the number of its ownership."""

    name: str
    token: int


class MachineCalls(Protocol):
    """Calls that list, move and maintain machines."""

    async def list_machines(self) -> list[Machine] | Refusal:
        """Lists all machines."""

    async def move(
        self, holder: Holder, machine_id: str, pool: str
    ) -> MachineOutcome:
        """Moves a machine to a pool. All that runs on it ends at once."""

    async def maintain(
        self, holder: Holder, machine_id: str, wave: int
    ) -> MachineOutcome:
        """Begins a machine's maintenance. All that runs on it ends at once."""
