"""Caches tickets of queues whose policy service chooses the workers."""

import asyncio

import msgspec

from coltsfootseam.manager.background import start_restarting
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.results import Refusal
from coltsfootseam.scheduling import Shortage, StepKey, WorkerCapacity, step_key
from coltsfootseam.workers import AdviceDecision

_MS_PER_S = 1000
_MAX_WORKERS_PER_CALL = 12
_EXPIRY_MARGIN_S = 0.3
_RETRY_DELAY_S = 0.2


class _CachedTicket(msgspec.Struct, frozen=True):
    ticket: str
    valid_until_s: float


class TicketCache:
    """Requests tickets, one call at a time, and caches them while valid.

    The set of workers that may run a step does not change, so no ticket is
    requested again for a worker that was refused.
    """

    __slots__ = (
        "_on_change",
        "_refused",
        "_requested_workers_by_step",
        "_state",
        "_task",
        "_tickets_by_step_and_worker",
    )

    def __init__(self, state: PoolState, on_change: asyncio.Event) -> None:
        self._state = state
        self._on_change = on_change
        self._tickets_by_step_and_worker: dict[
            tuple[StepKey, str], _CachedTicket
        ] = {}
        self._refused: set[tuple[StepKey, str]] = set()
        self._requested_workers_by_step: dict[StepKey, list[str]] = {}
        self._task: asyncio.Task[None] | None = None

    def find(self, key: StepKey, worker_id: str) -> str | None:
        """Returns the valid ticket of a step for a worker, if cached."""
        cached = self._tickets_by_step_and_worker.get((key, worker_id))
        if cached is None or cached.valid_until_s < self._state.now_s():
            return None
        return cached.ticket

    def request_tickets(
        self,
        shortages: list[Shortage],
        suspects: list[Shortage],
        workers: list[WorkerCapacity],
    ) -> None:
        """Requests tickets for steps that have no worker with a ticket.

        Args:
            shortages: Steps whose tasks could not be placed.
            suspects: Steps of suspects. They need a ticket of a worker that
                isn't empty yet, so that it can be emptied.
            workers: The workers of the pool.
        """
        for shortage in shortages:
            if shortage.needs_ticket:
                step = shortage.ready.step
                open_workers = [
                    worker
                    for worker in workers
                    if worker.is_open and worker.fits(step)
                ]
                self._queue_request(shortage, open_workers)
        for shortage in suspects:
            step = shortage.ready.step
            large = [item for item in workers if item.fits_when_empty(step)]
            self._queue_request(shortage, large)
        is_idle = self._task is None or self._task.done()
        if self._requested_workers_by_step and is_idle:
            self._task = start_restarting(
                self._state.context,
                f"tickets of {self._state.pool}",
                self._send_requests,
            )

    def close(self) -> None:
        """Cancels the call in progress."""
        if self._task is not None:
            self._task.cancel()

    def _queue_request(
        self, shortage: Shortage, workers: list[WorkerCapacity]
    ) -> None:
        ready = shortage.ready
        tasks = ready.occurrence.tasks_by_step[ready.number]
        key = step_key(tasks[0].id)
        if key in self._requested_workers_by_step:
            return
        step = ready.step
        candidates = [
            worker
            for worker in workers
            if worker.may_run(step, key)
            and (key, worker.worker_id) not in self._refused
            and self.find(key, worker.worker_id) is None
        ]
        if step.rack:
            candidates.sort(key=lambda worker: worker.rack != step.rack)
        if candidates:
            chosen = candidates[:_MAX_WORKERS_PER_CALL]
            self._requested_workers_by_step[key] = [
                worker.worker_id for worker in chosen
            ]

    async def _send_requests(self) -> None:
        while self._requested_workers_by_step:
            key, worker_ids = next(
                iter(self._requested_workers_by_step.items())
            )
            await self._send_request(key, worker_ids)
            self._requested_workers_by_step.pop(key, None)
            self._on_change.set()

    async def _send_request(self, key: StepKey, worker_ids: list[str]) -> None:
        state = self._state
        instances_by_worker = {
            worker_id: state.links_by_id[worker_id].entry.instance_id
            for worker_id in worker_ids
            if worker_id in state.links_by_id
        }
        sent_s = state.now_s()
        decision = await state.context.ports.advice.advise(
            *key, list(instances_by_worker.values())
        )
        if isinstance(decision, Refusal):
            state.context.log.write(
                "advice.failed", step=key, why=decision.reason
            )
            await state.context.timers.sleep(_RETRY_DELAY_S)
            return
        self._apply_decision(key, instances_by_worker, decision, sent_s)

    def _apply_decision(
        self,
        key: StepKey,
        instances_by_worker: dict[str, str],
        decision: AdviceDecision,
        sent_s: float,
    ) -> None:
        tickets = {item.instance_id: item.ticket for item in decision.tickets}
        until_s = sent_s + decision.valid_ms / _MS_PER_S - _EXPIRY_MARGIN_S
        for worker_id, instance_id in instances_by_worker.items():
            ticket = tickets.get(instance_id)
            if ticket is None:
                self._refused.add((key, worker_id))
            else:
                self._tickets_by_step_and_worker[key, worker_id] = (
                    _CachedTicket(ticket, until_s)
                )
        self._state.context.log.write(
            "advice.taken",
            step=key,
            asked=len(instances_by_worker),
            allowed=len(tickets),
        )
