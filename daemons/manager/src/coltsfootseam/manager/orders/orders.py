"""Sends orders to workers and retries each until its outcome is known.

An unanswered order may be carried out at once, later or never. A start is
repeated unchanged until the worker answers. If a worker that answers heartbeats
still doesn't answer it, a stop makes the worker reject the start before the
task may run elsewhere. On a worker that can't be heard it ends with its lease.
"""

import asyncio
from collections.abc import Callable

from coltsfootseam.jobs import Run, RunEnd, RunIndex, RunPhase, Task
from coltsfootseam.manager.background import start_once, start_restarting
from coltsfootseam.manager.orders.start_capacity import StartCapacity
from coltsfootseam.manager.pools.interruptions import Interruptions
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.workers import (
    OrderOutcome,
    PaceOrder,
    RunningRun,
    StartOrder,
    StopOrder,
    WorkerLink,
)

_RETRY_DELAY_S = 0.1
_MAX_START_RETRY_S = 1.0
_UNANSWERED_STOP_LOG_S = 1.0
_MAX_CONCURRENT_STARTS = 64
_MAX_UNSENT_STARTS = 100
_MAX_UNSENT_LATE_STARTS = 120
"""More than for others, so that late jobs start where others always go before
them."""

_REFUSED_RETRY_DELAY_S = 0.1
_MALFORMED_RETRY_DELAY_S = 2.0

_REFUSED_OUTCOMES = (
    OrderOutcome.OLD,
    OrderOutcome.LATE,
    OrderOutcome.NO_ROOM,
    OrderOutcome.NO_TICKET,
    OrderOutcome.UNHEALTHY,
    OrderOutcome.MALFORMED,
)

_STOPPED_OUTCOMES = (OrderOutcome.DONE, OrderOutcome.OLD)


class Orders:
    """Sends the orders of one pool's owner."""

    __slots__ = (
        "_capacity",
        "_interruptions",
        "_on_change",
        "_send_slots",
        "_state",
        "_stopping",
        "_stopping_unknown",
        "_tasks",
        "_unsent",
    )

    def __init__(
        self,
        state: PoolState,
        interruptions: Interruptions,
        on_change: Callable[[], None],
    ) -> None:
        self._state = state
        self._interruptions = interruptions
        self._capacity = StartCapacity(state)
        self._on_change = on_change
        self._send_slots = asyncio.Semaphore(_MAX_CONCURRENT_STARTS)
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping: set[tuple[object, int, str]] = set()
        self._stopping_unknown: set[tuple[object, int, str]] = set()
        self._unsent = RunIndex()

    def remaining_start_capacity(self) -> int:
        """Returns how many more starts may be planned.

        A start that waits to be sent reserves capacity on a worker, and its
        decision becomes outdated. A host that sends slowly leaves further
        starts undecided: no machines are reserved for them, and whatever is
        most urgent by then is sent first.
        """
        return max(0, _MAX_UNSENT_STARTS - len(self._unsent))

    def remaining_late_capacity(self) -> int:
        """Returns how many starts of late jobs may be planned besides."""
        return max(0, _MAX_UNSENT_LATE_STARTS - len(self._unsent))

    def send_start(self, task: Task, run: Run, ticket: str) -> None:
        """Sends the start of a run whose record is stored."""
        self._unsent.add(task, run)
        self._track(
            start_once(
                self._state.context,
                f"start on {run.worker_id}",
                lambda: self._deliver_start(task, run, ticket),
                lambda: self._abandon_start(task, run),
            )
        )

    def send_stops(self) -> None:
        """Sends a stop for each run that is to be stopped."""
        for task, run in self._state.job_table.runs.all_runs():
            if run.phase is not RunPhase.STOPPING:
                continue
            key = (task.id, run.number, run.worker_id)
            if key not in self._stopping:
                self._stopping.add(key)
                self._send_stop(task, run)

    def stop_unknown_run(self, link: WorkerLink, reported: RunningRun) -> None:
        """Stops a reported run that the job table does not know."""
        key = (reported.task, reported.number, link.worker_id)
        if key not in self._stopping_unknown:
            self._stopping_unknown.add(key)
            self._report_unknown_run(link, reported)
            self._track(
                start_restarting(
                    self._state.context,
                    f"stop on {link.worker_id}",
                    lambda: self._deliver_unknown_stop(link, reported),
                )
            )

    def send_pace(self, task: Task, run: Run, percent: int) -> None:
        """Sets the pace of a run, in percent of its full speed."""
        self._track(
            start_once(
                self._state.context,
                f"pace on {run.worker_id}",
                lambda: self._deliver_pace(task, run, percent),
            )
        )

    def close(self) -> None:
        """Cancels every order that is in progress."""
        for task in self._tasks:
            task.cancel()

    def _send_stop(self, task: Task, run: Run) -> None:
        self._track(
            start_restarting(
                self._state.context,
                f"stop on {run.worker_id}",
                lambda: self._deliver_stop(task, run),
            )
        )

    def _abandon_start(self, task: Task, run: Run) -> None:
        """Stops a run whose start failed, as it may have been carried out."""
        self._unsent.remove(task, run)
        if _is_start_pending(task, run):
            self._state.job_table.stop_run(
                task, run, "sending its start failed"
            )
        self._on_change()

    def _report_unknown_run(
        self, link: WorkerLink, reported: RunningRun
    ) -> None:
        task = self._state.job_table.find_task(reported.task)
        self._state.context.log.write(
            "run.unknown",
            job=reported.task.job_id,
            task=reported.task.position(),
            run=reported.number,
            worker=link.worker_id,
            latest_run=None if task is None else task.last_run_number,
        )
        self._state.context.counters.increment("run.unknown")

    def _track(self, task: asyncio.Task[None]) -> None:
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _active_link(self, run: Run) -> WorkerLink | None:
        link = self._state.links_by_id.get(run.worker_id)
        return None if link is None or link.is_gone else link

    async def _deliver_start(self, task: Task, run: Run, ticket: str) -> None:
        state = self._state
        started_s = state.now_s()
        outcome = OrderOutcome.UNKNOWN
        order: StartOrder | None = None
        attempts = 0
        while _is_start_pending(task, run):
            if order is None and not self._capacity.is_known():
                await state.context.timers.sleep(_RETRY_DELAY_S)
                continue
            async with self._send_slots:
                self._unsent.remove(task, run)
                link = self._active_link(run)
                if link is None or state.journal.is_lost:
                    return
                if not _is_start_pending(task, run):
                    break
                if order is None and not self._capacity.has_room(
                    link, task, run, self._unsent
                ):
                    self._withdraw_start(task, run)
                    return
                if order is None:
                    order = self._build_start_order(link, task, run, ticket)
                    # The time limit runs from the first send, not from the
                    # wait for a send slot.
                    started_s = (
                        state.now_s() if order is not None else started_s
                    )
                if order is not None and self._may_send(link, attempts):
                    attempts += 1
                    outcome = await self._send_copy(link, run, order)
                    if link.is_gone:
                        # Its next incarnation may have replied.
                        return
            if outcome is not OrderOutcome.UNKNOWN:
                break
            if self._must_withdraw(task, run, started_s):
                state.job_table.stop_run(task, run, "start without an answer")
                break
            await state.context.timers.sleep(_RETRY_DELAY_S)
        self._unsent.remove(task, run)
        self._apply_start_outcome(task, run, outcome, attempts)

    async def _send_copy(
        self, link: WorkerLink, run: Run, order: StartOrder
    ) -> OrderOutcome:
        """Sends a start once and records whether that copy was answered."""
        earlier_s = run.unanswered_s
        run.sent_s = self._state.now_s()
        run.unanswered_s = run.sent_s
        reply = await link.start(order)
        if reply.outcome is OrderOutcome.UNKNOWN:
            return reply.outcome
        # Whoever has replied doesn't carry that copy out later.
        run.unanswered_s = earlier_s
        if reply.outcome is OrderOutcome.DONE and not reply.is_confirmed:
            # The next incarnation may have replied.
            run.unproven_s = self._state.now_s()
        return reply.outcome

    def _may_send(self, link: WorkerLink, attempts: int) -> bool:
        """Returns whether a start may be sent, for the first time or again.

        It isn't sent again to a worker that may have started anew: the reply to
        the next heartbeat tells. Nor by an owner that may have a successor, as
        a worker that has started anew doesn't know the successor's token.
        """
        if not attempts:
            return True
        return link.is_reachable and self._state.leases.may_grant()

    def _must_withdraw(self, task: Task, run: Run, sent_s: float) -> bool:
        """Returns whether to give up a start that isn't answered.

        A heartbeat may have reported the run while the start was repeated.
        """
        if not _is_start_pending(task, run):
            return False
        if self._state.now_s() - sent_s <= _MAX_START_RETRY_S:
            return False
        return self._interruptions.may_withdraw_start(run, sent_s)

    def _withdraw_start(self, task: Task, run: Run) -> None:
        """Ends a run whose start was never sent."""
        self._report_start(task, run, "WITHDRAWN")
        self._state.job_table.end_run(
            task, run, RunEnd.NEVER_STARTED, "", self._state.wall_ms()
        )
        self._on_change()

    def _build_start_order(
        self, link: WorkerLink, task: Task, run: Run, ticket: str
    ) -> StartOrder | None:
        """Returns the order, ``None`` while the worker's clock is unknown."""
        state = self._state
        lease_end_ms = link.lease.grant()
        if lease_end_ms is None:
            return None
        job = state.job_table.jobs_by_id[task.id.job_id]
        return StartOrder(
            task=task.id,
            number=run.number,
            text=job.request.text,
            lease_end_ms=lease_end_ms,
            token=link.token,
            checkpoint=run.checkpoint,
            ticket=ticket,
        )

    def _apply_start_outcome(
        self, task: Task, run: Run, outcome: OrderOutcome, attempts: int
    ) -> None:
        state = self._state
        now_s = state.now_s()
        self._report_start(task, run, outcome.name, attempts)
        if run not in task.runs:
            return
        if outcome is OrderOutcome.DONE:
            run.settled_s = now_s
            if run.unanswered_s is None and run.unproven_s is None:
                run.is_confirmed = True
            state.job_table.confirm_run(run, now_s)
            state.store_confirmation(task, run)
        elif outcome in _REFUSED_OUTCOMES:
            self._apply_refusal(task, run, outcome, attempts)
        self._on_change()

    def _report_start(
        self, task: Task, run: Run, outcome: str, copies: int = 0
    ) -> None:
        state = self._state
        link = state.links_by_id.get(run.worker_id)
        state.context.log.write(
            "run.ordered",
            job=task.id.job_id,
            task=task.id.position(),
            run=run.number,
            worker=run.worker_id,
            token=state.journal.epoch if link is None else link.token,
            outcome=outcome,
            copies=copies,
            unanswered=run.unanswered_s is not None,
        )
        state.context.counters.increment(f"start.{outcome.lower()}")

    def _apply_refusal(
        self, task: Task, run: Run, outcome: OrderOutcome, attempts: int
    ) -> None:
        state = self._state
        if outcome is OrderOutcome.UNHEALTHY:
            state.health.record_refusal(run.worker_id, state.now_s())
        pause_s = _MALFORMED_RETRY_DELAY_S
        if outcome is not OrderOutcome.MALFORMED:
            pause_s = _REFUSED_RETRY_DELAY_S
        task.wait_until_s = state.now_s() + pause_s
        if attempts > 1 or outcome is OrderOutcome.OLD:
            # An earlier, unanswered copy of the order may have been carried
            # out, or may still be in transit.
            state.job_table.stop_run(task, run, outcome.name.lower())
            return
        state.job_table.end_run(
            task, run, RunEnd.NEVER_STARTED, "", state.wall_ms()
        )

    async def _deliver_stop(self, task: Task, run: Run) -> None:
        state = self._state
        started_s = state.now_s()
        is_reported = False
        while run in task.runs:
            link = self._active_link(run)
            if link is None or state.journal.is_lost:
                break
            order = StopOrder(task.id, run.number, link.token)
            outcome = await link.stop(order)
            if outcome in _STOPPED_OUTCOMES:
                # Keeps the first time: a later one would delay the first
                # heartbeat that can show the run as ended.
                if run.settled_s is None:
                    run.settled_s = state.now_s()
                break
            if (
                not is_reported
                and state.now_s() - started_s >= _UNANSWERED_STOP_LOG_S
            ):
                is_reported = True
                self._report_unanswered_stop(task, run, outcome)
            await state.context.timers.sleep(_RETRY_DELAY_S)
        if run in task.runs:
            # By then the worker should report the end of the run; otherwise
            # the run is stopped again.
            await state.context.timers.sleep(state.context.times.stop_s)
            self._on_change()
        self._stopping.discard((task.id, run.number, run.worker_id))

    def _report_unanswered_stop(
        self, task: Task, run: Run, outcome: OrderOutcome
    ) -> None:
        """Logs a stop that has been repeated without success for a while."""
        self._state.context.log.write(
            "stop.unanswered",
            job=task.id.job_id,
            task=task.id.position(),
            run=run.number,
            worker=run.worker_id,
            outcome=outcome.name,
        )
        self._state.context.counters.increment("stop.unanswered")

    async def _deliver_unknown_stop(
        self, link: WorkerLink, reported: RunningRun
    ) -> None:
        order = StopOrder(reported.task, reported.number, link.token)
        await link.stop(order)
        await self._state.context.timers.sleep(self._state.context.times.stop_s)
        self._stopping_unknown.discard(
            (reported.task, reported.number, link.worker_id)
        )

    async def _deliver_pace(self, task: Task, run: Run, percent: int) -> None:
        link = self._active_link(run)
        if link is None:
            return
        order = PaceOrder(task.id, run.number, percent, link.token)
        outcome = await link.pace(order)
        if outcome is OrderOutcome.DONE:
            run.pace = percent


def _is_start_pending(task: Task, run: Run) -> bool:
    """Returns whether a run is still to be started."""
    return run in task.runs and run.phase is RunPhase.ORDERED
