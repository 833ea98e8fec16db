"""Machines and the calls to the platform that move and maintain them."""

import enum
from typing import Protocol

import msgspec

from coltsfootseam.results import Refusal


class MachineState(enum.IntEnum):
    """State of a machine."""

    UP = 0
    MOVING = 1
    MAINTENANCE = 2
    DOWN = 3


class Machine(msgspec.Struct, frozen=True):
    """A machine; its worker has a new incarnation after each move.

    Attributes:
        machine_id: Name of the machine.
        pool: Pool that it belongs to.
        state: Its state.
        zone: Its availability zone.
        labels: Its kind and its rack.
        instance_id: Its worker, or empty.
        cpu_millis: Its processor, in thousandths of a core.
    """

    machine_id: str
    pool: str
    state: MachineState
    zone: str
    labels: tuple[str, ...]
    instance_id: str
    cpu_millis: int


class MachineOutcome(enum.IntEnum):
    """Outcome of an order for a machine."""

    DONE = 0
    FENCED = 1
    BUSY = 2
    NOT_IN_WAVE = 3
    MALFORMED = 4
    NOT_DONE = 5
    UNKNOWN = 6
    NOT_SENT = 7
    """It was too late to send the order."""


class Holder(msgspec.Struct, frozen=True):
    """The sender of orders for machines, with its fencing token."""

    name: str
    token: int


class MachineCalls(Protocol):
    """Calls that list, move and maintain machines."""

    async def list_machines(self) -> list[Machine] | Refusal:
        """Returns all machines."""

    async def move(
        self, holder: Holder, machine_id: str, pool: str, valid_s: float
    ) -> MachineOutcome:
        """Moves a machine to a pool. All runs on it end at once.

        Args:
            holder: The sender.
            machine_id: The machine.
            pool: The pool.
            valid_s: Time after which the order is no longer sent.
        """

    async def maintain(
        self, holder: Holder, machine_id: str, wave: int, valid_s: float
    ) -> MachineOutcome:
        """Starts a machine's maintenance. All runs on it end at once.

        Args:
            holder: The sender.
            machine_id: The machine.
            wave: The wave.
            valid_s: Time after which the order is no longer sent.
        """
