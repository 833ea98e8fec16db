"""Access of one host to the in-memory workers, with its faults."""

import random
from typing import TYPE_CHECKING

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

if TYPE_CHECKING:
    from coltsfootseam.standins.memory_workers import MemoryWorkers

_MS_PER_S = 1000
_POLL_S = 0.02
_LATENCY_S = 0.002
_TIMEOUT_S = 0.5


class MemoryWorkerCalls:
    """Access of one host to the workers."""

    __slots__ = ("_host_id", "_link_free_s", "_random", "_timers", "_workers")

    def __init__(
        self,
        workers: "MemoryWorkers",
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
            if self._is_reset(found):
                return OrderReply(OrderOutcome.UNKNOWN)
        if self._is_unreachable(found):
            return OrderReply(OrderOutcome.UNKNOWN)
        if self._is_unheard(found):
            return await self._lose_reply()
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
            self._workers.schedule_start(found.faults.delay_s, worker, order)
            return await self._lose_reply()
        outcome = self._workers.apply_start(found, order)
        if self._is_reset(found):
            return OrderReply(OrderOutcome.UNKNOWN)
        is_lost = self._is_unheard(found) or found.faults.loses_start_replies
        if found.is_dead or is_lost:
            return await self._lose_reply()
        return OrderReply(outcome, self._workers.clock_ms(found))

    async def stop(self, worker: WorkerEntry, order: StopOrder) -> OrderReply:
        """Orders the stop of a run."""
        found = await self._find_reachable(worker)
        if isinstance(found, OrderReply):
            return found
        outcome = self._workers.apply_stop(found, order)
        if self._is_unheard(found):
            return await self._lose_reply()
        return OrderReply(outcome, self._workers.clock_ms(found))

    async def pace(self, worker: WorkerEntry, order: PaceOrder) -> OrderReply:
        """Records the order; the speed of the run doesn't change."""
        found = await self._find_reachable(worker)
        if isinstance(found, OrderReply):
            return found
        self._workers.pace_orders.append(order)
        if self._is_unheard(found):
            return await self._lose_reply()
        return OrderReply(OrderOutcome.DONE, self._workers.clock_ms(found))

    def forget(self, worker: WorkerEntry) -> None:
        """Does nothing, as there are no connections."""

    async def _find_reachable(
        self, entry: WorkerEntry
    ) -> MemoryWorker | OrderReply:
        await self._timers.sleep(_LATENCY_S)
        worker = self._workers.find(entry)
        if worker is None or self._is_unreachable(worker):
            return await self._lose_reply()
        if worker.entry.instance_id != entry.instance_id:
            return OrderReply(OrderOutcome.OTHER_LIFE)
        return worker

    async def _lose_reply(self) -> OrderReply:
        """Returns the outcome of a call that isn't answered, after a while."""
        await self._timers.sleep(_TIMEOUT_S)
        return OrderReply(OrderOutcome.UNKNOWN)

    def _is_reset(self, worker: MemoryWorker) -> bool:
        """Returns whether the end of a worker's process is noticed at once."""
        if not worker.is_dead or self._is_cut_off(worker):
            return False
        return worker.faults.resets_connections

    def _is_unheard(self, worker: MemoryWorker) -> bool:
        return self._host_id in worker.faults.unheard_by_hosts

    def _is_unreachable(self, worker: MemoryWorker) -> bool:
        return worker.is_dead or self._is_cut_off(worker)

    def _is_cut_off(self, worker: MemoryWorker) -> bool:
        is_cut_off = self._host_id in worker.faults.unreachable_from_hosts
        return worker.faults.is_unresponsive or is_cut_off
