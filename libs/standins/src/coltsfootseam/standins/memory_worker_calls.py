"""Access of one host to the in-memory workers, with its faults."""

import random
from typing import Protocol

from coltsfootseam.standins.memory_worker import MemoryWorker
from coltsfootseam.timers import TimerService
from coltsfootseam.workers import (
    HeartbeatReply,
    HeartbeatRequest,
    OrderOutcome,
    OrderReply,
    PaceOrder,
    StartOrder,
    StopOrder,
    WorkerEntry,
)

_MS_PER_S = 1000
_POLL_S = 0.02
_LATENCY_S = 0.002
_TIMEOUT_S = 0.5


class AppliesOrders(Protocol):
    """The workers, as the calls of a host use them."""

    start_transfer_s: float
    starts_in_flight: int
    max_starts_in_flight: int
    pace_orders: list[PaceOrder]

    def find(self, entry: WorkerEntry) -> MemoryWorker | None:
        """Returns the current incarnation of an entry's instance, if alive."""

    def clock_ms(self, worker: MemoryWorker) -> int:
        """Returns the worker's monotonic clock."""

    def apply_start(
        self, worker: MemoryWorker, order: StartOrder
    ) -> OrderOutcome:
        """Applies a start."""

    def apply_stop(
        self, worker: MemoryWorker, order: StopOrder
    ) -> OrderOutcome:
        """Applies a stop."""

    def apply_heartbeat(
        self, worker: MemoryWorker, order: HeartbeatRequest
    ) -> bool:
        """Applies a heartbeat; returns false if the sender is fenced."""

    def heartbeat_reply(self, worker: MemoryWorker) -> HeartbeatReply:
        """Returns a worker's reply with its running and ended runs."""

    def schedule_start(
        self, delay_s: float, worker: MemoryWorker, order: StartOrder
    ) -> None:
        """Applies a start after a delay, even if its sender is gone."""


class MemoryWorkerCalls:
    """Access of one host to the workers."""

    __slots__ = ("_host_id", "_link_free_s", "_random", "_timers", "_workers")

    def __init__(
        self,
        workers: AppliesOrders,
        timers: TimerService,
        rng: random.Random,
        host_id: str,
    ) -> None:
        self._workers = workers
        self._timers = timers
        self._random = rng
        self._host_id = host_id
        self._link_free_s = 0.0

    async def heartbeat(
        self, worker: WorkerEntry, order: HeartbeatRequest
    ) -> HeartbeatReply | OrderReply:
        """Extends a lease and returns the running and ended runs."""
        found = await self._find_reachable(worker)
        if isinstance(found, OrderReply):
            return found
        if not self._workers.apply_heartbeat(found, order):
            return OrderReply(OrderOutcome.FENCED)
        until_s = self._timers.now_s() + order.wait_ms / _MS_PER_S
        while not found.ended_runs and self._timers.now_s() < until_s:
            await self._timers.sleep(_POLL_S)
        if self._is_unreachable(found):
            return OrderReply(OrderOutcome.UNKNOWN)
        return self._workers.heartbeat_reply(found)

    async def start(self, worker: WorkerEntry, order: StartOrder) -> OrderReply:
        """Orders the start of a run."""
        workers = self._workers
        workers.starts_in_flight += 1
        workers.max_starts_in_flight = max(
            workers.max_starts_in_flight, workers.starts_in_flight
        )
        try:
            await self._wait_for_link()
            return await self._start(worker, order)
        finally:
            workers.starts_in_flight -= 1

    async def _wait_for_link(self) -> None:
        """Waits until this start and those queued before it are sent."""
        now_s = self._timers.now_s()
        self._link_free_s = (
            max(now_s, self._link_free_s) + self._workers.start_transfer_s
        )
        await self._timers.sleep(self._link_free_s - now_s)

    async def _start(
        self, worker: WorkerEntry, order: StartOrder
    ) -> OrderReply:
        found = await self._find_reachable(worker)
        if isinstance(found, OrderReply):
            return found
        if self._random.random() < found.faults.late_start_share:
            self._workers.schedule_start(found.faults.delay_s, found, order)
            await self._timers.sleep(_TIMEOUT_S)
            return OrderReply(OrderOutcome.UNKNOWN)
        outcome = self._workers.apply_start(found, order)
        return OrderReply(outcome, self._workers.clock_ms(found))

    async def stop(self, worker: WorkerEntry, order: StopOrder) -> OrderReply:
        """Orders the stop of a run."""
        found = await self._find_reachable(worker)
        if isinstance(found, OrderReply):
            return found
        outcome = self._workers.apply_stop(found, order)
        return OrderReply(outcome, self._workers.clock_ms(found))

    async def pace(self, worker: WorkerEntry, order: PaceOrder) -> OrderReply:
        """Records the order; the speed of the run doesn't change."""
        found = await self._find_reachable(worker)
        if isinstance(found, OrderReply):
            return found
        self._workers.pace_orders.append(order)
        return OrderReply(OrderOutcome.DONE, self._workers.clock_ms(found))

    def forget(self, worker: WorkerEntry) -> None:
        """Does nothing, as there are no connections."""

    async def _find_reachable(
        self, entry: WorkerEntry
    ) -> MemoryWorker | OrderReply:
        await self._timers.sleep(_LATENCY_S)
        worker = self._workers.find(entry)
        if worker is None or self._is_unreachable(worker):
            await self._timers.sleep(_TIMEOUT_S)
            return OrderReply(OrderOutcome.UNKNOWN)
        if worker.entry.started_ms != entry.started_ms:
            return OrderReply(OrderOutcome.OTHER_LIFE)
        return worker

    def _is_unreachable(self, worker: MemoryWorker) -> bool:
        is_cut_off = self._host_id in worker.faults.unreachable_from_hosts
        return worker.faults.is_unresponsive or is_cut_off or worker.is_dead
