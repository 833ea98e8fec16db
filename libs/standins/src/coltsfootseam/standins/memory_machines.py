"""In-memory machines and policy service with injectable faults."""

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from coltsfootseam.results import Refusal, ResultCode
from coltsfootseam.timers import TimerService
from coltsfootseam.workers import (
    AdviceDecision,
    Holder,
    Machine,
    MachineOutcome,
    MachineState,
    Ticket,
)

_CALL_TIMEOUT_S = 0.5
"""Time after which the call of a delayed order ends without a reply."""

_LATENCY_S = 0.005
_REPLY_S = 0.001


class MachineOrder(msgspec.Struct, frozen=True):
    """An order for a machine that was applied.

    Attributes:
        at_s: When it was applied.
        holder: Its sender.
        machine_id: The machine.
        wave: Wave of the maintenance, 0 if the order is a move.
        pool: Pool to move to, empty if the order is maintenance.
    """

    at_s: float
    holder: Holder
    machine_id: str
    wave: int = 0
    pool: str = ""


class MemoryMachines:
    """Machines of a deployment, and the orders that were applied to them.

    Attributes:
        machines_by_id: All machines.
        orders: Orders that were applied, in order.
        is_down: Whether every call fails.
        latency_s: Duration of a call.
        reply_delay_s: Further time that the reply to an order takes.
        maintenance_s: How long a machine is down for its maintenance.
        replies_to_lose: How many of the next maintenance orders are applied
            without a reply.
        orders_to_delay: How many of the next maintenance orders are applied
            late and without a reply.
        delay_s: Delay after which such orders are applied.
        on_taken_down: Called with the id of each machine whose maintenance
            starts, which ends the worker on it.
        on_returned: Called with its id when its maintenance has ended.
        listing_delay_s: How much later it is listed as up.
    """

    __slots__ = (
        "_maintained_waves",
        "_timers",
        "_tokens_by_id",
        "delay_s",
        "is_down",
        "latency_s",
        "listing_delay_s",
        "machines_by_id",
        "maintenance_s",
        "on_returned",
        "on_taken_down",
        "orders",
        "orders_to_delay",
        "replies_to_lose",
        "reply_delay_s",
    )

    def __init__(self, timers: TimerService, machines: list[Machine]) -> None:
        self._timers = timers
        self._tokens_by_id: dict[str, int] = {}
        self.machines_by_id = {
            machine.machine_id: machine for machine in machines
        }
        self.orders: list[MachineOrder] = []
        self.is_down = False
        self.latency_s = _LATENCY_S
        self.reply_delay_s = 0.0
        self.maintenance_s = 0.0
        self.listing_delay_s = 0.0
        self.replies_to_lose = 0
        self.orders_to_delay = 0
        self.delay_s = 0.0
        self.on_taken_down: Callable[[str], None] = lambda machine_id: None
        self.on_returned: Callable[[str], None] = lambda machine_id: None
        self._maintained_waves: set[tuple[str, int]] = set()

    def down_count(self) -> int:
        """Returns the number of machines that are down for maintenance."""
        return sum(
            1
            for machine in self.machines_by_id.values()
            if machine.state is MachineState.MAINTENANCE
        )

    async def list_machines(self) -> list[Machine] | Refusal:
        """Lists all machines."""
        await self._timers.sleep(self.latency_s)
        if self.is_down:
            return Refusal(ResultCode.UNREACHABLE, "machine service is down")
        return list(self.machines_by_id.values())

    async def move(
        self, holder: Holder, machine_id: str, pool: str, valid_s: float
    ) -> MachineOutcome:
        """Moves a machine at once, and returns the outcome."""
        del valid_s  # Orders are sent at once.
        await self._timers.sleep(self.latency_s)
        outcome = self._check_order(holder, machine_id)
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
        self, holder: Holder, machine_id: str, wave: int, valid_s: float
    ) -> MachineOutcome:
        """Takes a machine down, once for each wave; returns the outcome."""
        del valid_s  # Orders are sent at once.
        if (machine_id, wave) in self._maintained_waves:
            await self._timers.sleep(self.latency_s)
            return MachineOutcome.DONE
        await self._timers.sleep(self.latency_s)
        if self.orders_to_delay:
            self.orders_to_delay -= 1
            self._start_maintenance_late(holder, machine_id, wave)
            await self._timers.sleep(_CALL_TIMEOUT_S)
            return MachineOutcome.UNKNOWN
        outcome = self._start_maintenance(holder, machine_id, wave)
        if outcome is MachineOutcome.DONE and self.replies_to_lose:
            self.replies_to_lose -= 1
            return MachineOutcome.UNKNOWN
        return outcome

    def _start_maintenance_late(
        self, holder: Holder, machine_id: str, wave: int
    ) -> None:
        def start() -> None:
            self._start_maintenance(holder, machine_id, wave)

        self._timers.schedule(self.delay_s, start)

    def _start_maintenance(
        self, holder: Holder, machine_id: str, wave: int
    ) -> MachineOutcome:
        outcome = self._check_order(holder, machine_id)
        if outcome is not MachineOutcome.DONE:
            return outcome
        self._maintained_waves.add((machine_id, wave))
        self._set_state(machine_id, MachineState.MAINTENANCE)
        self.on_taken_down(machine_id)
        self._timers.schedule(
            self.maintenance_s, lambda: self._end_maintenance(machine_id)
        )
        self.orders.append(
            MachineOrder(self._timers.now_s(), holder, machine_id, wave=wave)
        )
        return outcome

    def _end_maintenance(self, machine_id: str) -> None:
        self.on_returned(machine_id)
        self._timers.schedule(
            self.listing_delay_s,
            lambda: self._set_state(machine_id, MachineState.UP),
        )

    def _set_state(self, machine_id: str, state: MachineState) -> None:
        machine = self.machines_by_id[machine_id]
        self.machines_by_id[machine_id] = msgspec.structs.replace(
            machine, state=state
        )

    def _check_order(self, holder: Holder, machine_id: str) -> MachineOutcome:
        """Returns whether an order may be applied; records its token."""
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


class MemoryMachineCalls:
    """Access of one host to the machines.

    An order that was sent is carried out even if its sender is cancelled.
    Replies reach the host by its own timers, so not while it is frozen.
    """

    __slots__ = ("_machines", "_timers")

    def __init__(self, machines: MemoryMachines, timers: TimerService) -> None:
        self._machines = machines
        self._timers = timers

    async def list_machines(self) -> list[Machine] | Refusal:
        """Lists all machines."""
        reply = await self._machines.list_machines()
        await self._timers.sleep(_REPLY_S)
        return reply

    async def move(
        self, holder: Holder, machine_id: str, pool: str, valid_s: float
    ) -> MachineOutcome:
        """Moves a machine."""
        return await self._send(
            self._machines.move(holder, machine_id, pool, valid_s)
        )

    async def maintain(
        self, holder: Holder, machine_id: str, wave: int, valid_s: float
    ) -> MachineOutcome:
        """Takes a machine down."""
        return await self._send(
            self._machines.maintain(holder, machine_id, wave, valid_s)
        )

    async def _send(self, order: Awaitable[MachineOutcome]) -> MachineOutcome:
        """Sends an order and waits for the reply."""
        reply = await asyncio.shield(order)
        await self._timers.sleep(_REPLY_S + self._machines.reply_delay_s)
        return reply


class MemoryAdvice:
    """In-memory policy service that allows the given instances.

    Attributes:
        allowed_ids: Ids of instances that may run any step.
        calls: Instance ids in each call so far.
    """

    __slots__ = ("_timers", "allowed_ids", "calls")

    def __init__(self, timers: TimerService) -> None:
        self._timers = timers
        self.allowed_ids: set[str] = set()
        self.calls: list[list[str]] = []

    async def advise(
        self, job_id: str, occurrence: int, step: int, instance_ids: list[str]
    ) -> AdviceDecision | Refusal:
        """Returns tickets for the given instances that are allowed."""
        del job_id, occurrence, step
        await self._timers.sleep(_LATENCY_S * len(instance_ids))
        self.calls.append(instance_ids)
        tickets = [
            Ticket(instance_id, f"ticket-{instance_id}")
            for instance_id in instance_ids
            if instance_id in self.allowed_ids
        ]
        return AdviceDecision(tickets, valid_ms=3000)
