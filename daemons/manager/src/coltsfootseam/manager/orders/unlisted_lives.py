"""Calls to incarnations of workers whose entries haven't been read yet.

A reply may show that a worker has started anew up to seconds before the store
does. The new incarnation carries out late copies of starts that were meant for
the former ones until it has been called under its own fencing token, so it is
called at once. Nothing is ordered from it before its entry is read.
"""

import asyncio
from collections.abc import Callable

import msgspec

from coltsfootseam.manager.background import TaskCoroutine, start_once
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.orders.worker_lives import WorkerLives
from coltsfootseam.workers import (
    MAX_CALL_DELAY_S,
    HeartbeatReply,
    HeartbeatRequest,
    OrderOutcome,
    WorkerEntry,
    WorkerLink,
    send_until_answered,
    worker_incarnation_id,
)

_RETRY_DELAY_S = 0.15

_FINAL_OUTCOMES = (OrderOutcome.FENCED, OrderOutcome.OTHER_LIFE)
"""Outcomes after which the incarnation refuses what this owner has sent."""


class UnlistedLives:
    """Gives incarnations their fencing tokens before they are listed."""

    __slots__ = ("_context", "_lives", "_tasks_by_instance")

    def __init__(self, context: Context, lives: WorkerLives) -> None:
        self._context = context
        self._lives = lives
        self._tasks_by_instance: dict[str, asyncio.Task[None]] = {}

    def call(self, former: WorkerLink) -> None:
        """Calls the incarnation that has replied in place of another one.

        Args:
            former: The link to the other one.
        """
        assert former.restarted_ms is not None
        entry = _entry_of_successor(former.entry, former.restarted_ms)
        # Its first reply is needed even if no start is known to be under way.
        until_s = self._context.timers.now_s() + MAX_CALL_DELAY_S
        self._start(entry, lambda: self._call(entry, until_s))

    def await_successor(self, former: WorkerLink) -> None:
        """Calls a worker that has ended until starts to it have arrived.

        Its machine may have been listed as down, and come back.

        Args:
            former: The link to the worker, by which no more is sent.
        """
        until_s = self._last_arrival_s(former.entry.instance_id)
        if until_s > self._context.timers.now_s():
            self._start(
                former.entry,
                lambda: self._call(former.entry, until_s, former.token),
            )

    def _start(
        self, entry: WorkerEntry, function: Callable[[], TaskCoroutine]
    ) -> None:
        self.forget(entry.instance_id)
        task = start_once(
            self._context, f"first call to {entry.worker_id}", function
        )
        self._tasks_by_instance[entry.instance_id] = task
        task.add_done_callback(
            lambda done: self._discard(entry.instance_id, done)
        )

    def _discard(self, instance_id: str, done: asyncio.Task[None]) -> None:
        if self._tasks_by_instance.get(instance_id) is done:
            del self._tasks_by_instance[instance_id]

    def forget(self, instance_id: str) -> None:
        """Ends the calls to an instance, which has a link or has gone."""
        task = self._tasks_by_instance.pop(instance_id, None)
        if task is not None:
            task.cancel()

    def close(self) -> None:
        """Ends all calls."""
        for task in self._tasks_by_instance.values():
            task.cancel()

    async def _call(
        self, entry: WorkerEntry, until_s: float, token: int | None = None
    ) -> None:
        """Calls an incarnation, and those after it, until one is listed.

        One that has answered may start anew before it is listed, so it is
        called on while a start may reach it.

        Args:
            entry: The first one that may be at the address.
            until_s: When to give up without an answer, monotonic seconds.
            token: Its fencing token, ``None`` if it has none yet.
        """
        timers = self._context.timers
        if token is None:
            token = self._lives.take_token(entry)
        answered_ms: int | None = None
        while token is not None and timers.now_s() < until_s:
            request = HeartbeatRequest(token, 0, lease_end_ms=None, wait_ms=0)
            answer = await send_until_answered(
                self._context.ports.workers, timers, entry, request, until_s
            )
            reply = answer.reply
            if isinstance(reply, HeartbeatReply):
                if reply.started_ms not in (0, entry.started_ms):
                    # A later incarnation has replied.
                    entry = _entry_of_successor(entry, reply.started_ms)
                    token = self._lives.take_token(entry)
                    continue
                if answered_ms != entry.started_ms:
                    answered_ms = entry.started_ms
                    self._report(entry, token, OrderOutcome.DONE)
                until_s = self._last_arrival_s(entry.instance_id)
            elif reply.outcome in _FINAL_OUTCOMES:
                self._report(entry, token, reply.outcome)
                return
            await timers.sleep(_RETRY_DELAY_S)
        if answered_ms != entry.started_ms:
            self._report(entry, token, OrderOutcome.UNKNOWN)

    def _last_arrival_s(self, instance_id: str) -> float:
        """Returns until when a start may reach an instance."""
        sent_s = self._lives.last_unanswered_s(instance_id)
        return sent_s + MAX_CALL_DELAY_S

    def _report(
        self, entry: WorkerEntry, token: int | None, outcome: OrderOutcome
    ) -> None:
        self._context.log.write(
            "worker.called_unlisted",
            worker=entry.worker_id,
            token=token,
            outcome=outcome.name,
        )
        self._context.counters.increment(
            f"worker.called_unlisted.{outcome.name.lower()}"
        )


def _entry_of_successor(former: WorkerEntry, started_ms: int) -> WorkerEntry:
    """Returns an entry to call a later incarnation with.

    Its capacity and labels are those of the former one, so it serves for
    nothing else.
    """
    return msgspec.structs.replace(
        former,
        worker_id=worker_incarnation_id(former.instance_id, started_ms),
        started_ms=started_ms,
    )
