"""Machines and a policy service in memory."""

import msgspec

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.timers import TimerService
from coltsfootseam.workers import (
    Holder,
    Machine,
    MachineOutcome,
    MachineState,
    Ruling,
    Ticket,
)

_ANSWER_S = 0.005


class MachineOrder(msgspec.Struct, frozen=True):
    """An order for a machine that was carried out."""

    at_s: float
    holder: Holder
    machine_id: str
    wave: int = 0
    pool: str = ""


class MemoryMachines:
    """Machines of a deployment, and the orders that they got.

    Attributes:
        machines_by_id: All machines.
        orders: Orders that were carried out, in order.
        is_down: Whether no call is answered.
    """

    __slots__ = (
        "_timers",
        "_tokens_by_id",
        "is_down",
        "machines_by_id",
        "orders",
    )

    def __init__(self, timers: TimerService, machines: list[Machine]) -> None:
        self._timers = timers
        self._tokens_by_id: dict[str, int] = {}
        self.machines_by_id = {
            machine.machine_id: machine for machine in machines
        }
        self.orders: list[MachineOrder] = []
        self.is_down = False

    async def list_machines(self) -> list[Machine] | Refusal:
        """Lists all machines."""
        await self._timers.sleep(_ANSWER_S)
        if self.is_down:
            return Refusal(ResultCode.UNREACHABLE, "machines: down")
        return list(self.machines_by_id.values())

    async def move(
        self, holder: Holder, machine_id: str, pool: str
    ) -> MachineOutcome:
        """Moves a machine at once."""
        outcome = await self._check(holder, machine_id)
        if outcome is MachineOutcome.DONE:
            machine = self.machines_by_id[machine_id]
            moved = msgspec.structs.replace(machine, pool=pool)
            self.machines_by_id[machine_id] = moved
            self.orders.append(
                MachineOrder(
                    self._timers.now_s(), holder, machine_id, pool=pool
                )
            )
        return outcome

    async def maintain(
        self, holder: Holder, machine_id: str, wave: int
    ) -> MachineOutcome:
        """Maintains a machine, which takes no time here."""
        outcome = await self._check(holder, machine_id)
        if outcome is MachineOutcome.DONE:
            self.orders.append(
                MachineOrder(
                    self._timers.now_s(), holder, machine_id, wave=wave
                )
            )
        return outcome

    async def _check(self, holder: Holder, machine_id: str) -> MachineOutcome:
        await self._timers.sleep(_ANSWER_S)
        if self.is_down:
            return MachineOutcome.UNKNOWN
        machine = self.machines_by_id.get(machine_id)
        if machine is None:
            return MachineOutcome.MALFORMED
        if holder.token < self._tokens_by_id.get(machine_id, 0):
            return MachineOutcome.FENCED
        self._tokens_by_id[machine_id] = holder.token
        if machine.state is not MachineState.UP:
            return MachineOutcome.BUSY
        return MachineOutcome.DONE


class MemoryAdvice:
    """A policy service that allows some workers.

    Attributes:
        allowed_ids: Instances that may run any step.
        calls: Instances named in each call.
    """

    __slots__ = ("_timers", "allowed_ids", "calls")

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self.allowed_ids: set[str] = set()
        self.calls: list[list[str]] = []

    async def advise(
        self, job_id: str, occurrence: int, step: int, instance_ids: list[str]
    ) -> Ruling | Refusal:
        """Allows those of the workers named that may run any step."""
        del job_id, occurrence, step
        await self._timers.sleep(_ANSWER_S * len(instance_ids))
        self.calls.append(instance_ids)
        tickets = [
            Ticket(instance_id, f"ticket-{instance_id}")
            for instance_id in instance_ids
            if instance_id in self.allowed_ids
        ]
        return Ruling(tickets, valid_ms=3000)
