"""Heartbeats to a worker that doesn't answer, one beside the other."""

import asyncio

import msgspec

from coltsfootseam.timers import TimerService
from coltsfootseam.workers.messages import (
    HeartbeatReply,
    HeartbeatRequest,
    OrderOutcome,
    OrderReply,
    WorkerEntry,
)
from coltsfootseam.workers.port import WorkerCalls

_INTERVAL_S = 0.2
"""A call to a machine that is off fails after 0.6 s. A worker that has started
anew meanwhile would be called that much later."""


class HeartbeatAnswer(msgspec.Struct, frozen=True):
    """The answer to a heartbeat.

    Attributes:
        reply: The worker's reply, or why there is none.
        sent_s: When the heartbeat was sent, monotonic seconds.
    """

    reply: HeartbeatReply | OrderReply
    sent_s: float


async def send_until_answered(
    calls: WorkerCalls,
    timers: TimerService,
    entry: WorkerEntry,
    request: HeartbeatRequest,
    until_s: float,
) -> HeartbeatAnswer:
    """Sends copies of a heartbeat at short intervals until one is answered.

    Args:
        calls: Calls to workers.
        timers: Clock and timers.
        entry: The worker.
        request: The heartbeat, which grants no lease.
        until_s: When to give up, monotonic seconds.

    Returns:
        The first answer. Its outcome is ``UNKNOWN`` if there was none in time.
    """
    tasks: set[asyncio.Task[HeartbeatAnswer]] = set()
    try:
        while timers.now_s() < until_s:
            call = _send(calls, timers, entry, request)
            tasks.add(asyncio.ensure_future(call))
            answer = await _first_answer(tasks, timers)
            if answer is not None:
                return answer
    finally:
        for task in tasks:
            task.cancel()
    return HeartbeatAnswer(OrderReply(OrderOutcome.UNKNOWN), timers.now_s())


async def _send(
    calls: WorkerCalls,
    timers: TimerService,
    entry: WorkerEntry,
    request: HeartbeatRequest,
) -> HeartbeatAnswer:
    sent_s = timers.now_s()
    return HeartbeatAnswer(await calls.heartbeat(entry, request), sent_s)


async def _first_answer(
    tasks: set[asyncio.Task[HeartbeatAnswer]], timers: TimerService
) -> HeartbeatAnswer | None:
    """Waits for an answer, for the interval between two copies at most."""
    pause = asyncio.ensure_future(timers.sleep(_INTERVAL_S))
    try:
        while not pause.done():
            await asyncio.wait(
                {pause, *tasks}, return_when=asyncio.FIRST_COMPLETED
            )
            for task in [task for task in tasks if task.done()]:
                tasks.remove(task)
                answer = task.result()
                if _is_answered(answer.reply):
                    return answer
    finally:
        pause.cancel()
    return None


def _is_answered(reply: HeartbeatReply | OrderReply) -> bool:
    if isinstance(reply, HeartbeatReply):
        return True
    return reply.outcome is not OrderOutcome.UNKNOWN
