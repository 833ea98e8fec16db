"""The share of the loop that input takes, with work that takes known time."""

import asyncio
import time

from coltsfootseam.connections import LoopShare

STEP_S = 0.002
BEGUN_STEPS = 5
LIMIT_S = 30.0


class BusyWork:
    """Work that always has more steps.

    Attributes:
        steps: How many it has done.
        begun: Set after a few steps.
        done: Set after all steps.
    """

    def __init__(self, most: int) -> None:
        self.used_s = 0.0
        self.is_queued = False
        self.steps = 0
        self._most = most
        self.begun = asyncio.Event()
        self.done = asyncio.Event()

    def step(self) -> bool:
        """Keeps the processor busy for a while."""
        end_s = time.perf_counter() + STEP_S
        while time.perf_counter() < end_s:
            pass
        self.steps += 1
        if self.steps == BEGUN_STEPS:
            self.begun.set()
        if self.steps == self._most:
            self.done.set()
        return self.steps < self._most


async def test_a_step_is_done_at_once_while_nothing_waits() -> None:
    work = BusyWork(1)
    LoopShare().submit(work)
    assert work.steps == 1
    assert not work.is_queued


# Guards against a newcomer that waits until those before it have sent all.
async def test_a_newcomer_goes_before_those_that_used_more() -> None:
    share = LoopShare()
    crowd = [BusyWork(100) for _ in range(5)]
    for work in crowd:
        share.submit(work)
    async with asyncio.timeout(LIMIT_S):
        await asyncio.gather(*(work.begun.wait() for work in crowd))
        newcomer = BusyWork(3)
        share.submit(newcomer)
        before = sum(work.steps for work in crowd)
        await newcomer.done.wait()
    assert sum(work.steps for work in crowd) - before <= 2 * len(crowd)


# Guards against input that keeps the loop from everything else.
async def test_other_work_gets_its_turns_beside_a_backlog() -> None:
    share = LoopShare()
    crowd = [BusyWork(10_000) for _ in range(20)]
    for work in crowd:
        share.submit(work)
    turns = 0
    async with asyncio.timeout(LIMIT_S):
        while sum(work.steps for work in crowd) < 200:
            await asyncio.sleep(0)
            turns += 1
    # Without a share the 200 steps take one turn each, or fewer.
    assert turns > 2 * 200


# Guards against a step that fails and holds up the steps of all others.
async def test_a_step_that_fails_holds_up_no_other() -> None:
    class FailingWork(BusyWork):
        def step(self) -> bool:
            raise ValueError("a fault")

    failures: list[dict[str, object]] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: failures.append(context))
    share = LoopShare()
    share.submit(BusyWork(50))
    failing = FailingWork(1)
    share.submit(failing)
    last = BusyWork(1)
    last.used_s = 10.0
    share.submit(last)
    async with asyncio.timeout(LIMIT_S):
        await last.done.wait()
    assert len(failures) == 1
    assert not failing.is_queued


async def test_work_done_elsewhere_waits_for_its_turn() -> None:
    share = LoopShare()
    crowd = [BusyWork(100) for _ in range(5)]
    for work in crowd:
        share.submit(work)
    async with asyncio.timeout(LIMIT_S):
        await share.wait_turn(0.0)
    assert sum(work.steps for work in crowd) < 500
