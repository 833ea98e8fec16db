"""Seeded walks: a queue moves while hosts freeze and appends are late."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec
import pytest

from coltsfootseam.jobs import (
    Configuration,
    JobRequest,
    JobState,
    Pool,
    Queue,
    Step,
)
from coltsfootseam.results import OK, ResultCode
from tests.common.fleets import (
    DEADLINE_S,
    OPERATOR,
    POOL,
    Fleet,
    Host,
    bookings_queue,
    running_fleet,
)

POOLS = (POOL, "other", "third")
HOSTS = 4
SEEDS = 16
STEPS = 24
TASKS = 2
STEP = Step(count=TASKS, cpu_millis=100, estimate_ms=300)
PAUSES_S = (0.0, 0.01, 0.1, 0.4, 1.0)
FREEZES_S = (0.5, 2.0, 4.0)
DELAYS_S = (0.3, 2.0, 6.0)
RETRY_S = 0.2
SETTLED_S = 10.0


class WalkOfMoves:
    """A random walk through moves of a queue, with jobs handed in meanwhile.

    Attributes:
        job_ids: The jobs that were handed in.
    """

    def __init__(self, seed: int, fleet: Fleet) -> None:
        self._fleet = fleet
        self._random = random.Random(seed)
        self._version = 1
        self._tasks: list[asyncio.Task[None]] = []
        self.job_ids: list[str] = []
        self._steps: list[tuple[int, Callable[[], Awaitable[None]]]] = [
            (6, self.hand_in),
            (3, self.move),
            (2, self.freeze),
            (2, self.delay_appends),
        ]

    async def move(self) -> None:
        """Sends the queue to a pool, mostly to another one than before."""
        self._version += 2
        pool = self._random.choice(POOLS)
        queue = msgspec.structs.replace(bookings_queue(), pool=pool)
        configuration = Configuration(
            self._version,
            {queue.name: queue},
            {name: Pool(name, workers_guard=False) for name in POOLS},
        )
        self._fleet.store.put(
            OPERATOR, "configuration", msgspec.msgpack.encode(configuration)
        )

    async def run(self) -> None:
        """Takes all steps, then waits until each job was accepted."""
        weights = [weight for weight, _ in self._steps]
        steps = [step for _, step in self._steps]
        for step in self._random.choices(steps, weights, k=STEPS):
            await step()
            await self._fleet.timers.advance(self._random.choice(PAUSES_S))
        await self._fleet.timers.advance(SETTLED_S)
        await self._fleet.wait_until(
            lambda: all(task.done() for task in self._tasks), 60.0
        )
        for task in self._tasks:
            task.result()

    async def hand_in(self) -> None:
        """Hands a job in at two hosts, one after the other."""
        job_id = f"{len(self.job_ids):016x}"
        self.job_ids.append(job_id)
        for host in self._random.sample(self._fleet.hosts, 2):
            task = asyncio.ensure_future(self._submit(host, job_id))
            self._tasks.append(task)

    async def freeze(self) -> None:
        """Freezes a host for a while."""
        host = self._random.choice(self._fleet.hosts)
        if not host.timers.is_frozen:
            host.timers.is_frozen = True
            self._fleet.timers.schedule(
                self._random.choice(FREEZES_S), host.timers.thaw
            )

    async def delay_appends(self) -> None:
        """Has a host's appends carried out late and unanswered for a while."""
        faults = self._random.choice(self._fleet.hosts).store.faults
        faults.lost_reply_share = 0.5
        faults.delay_s = self._random.choice(DELAYS_S)

        def heal() -> None:
            faults.lost_reply_share = 0.0

        self._fleet.timers.schedule(self._random.choice(FREEZES_S), heal)

    async def _submit(self, host: Host, job_id: str) -> None:
        """Hands a job in, again and again until it is accepted."""
        fleet = self._fleet
        assert host.manager is not None
        jobs = host.manager.jobs
        while True:
            await host.timers.wait_until_thawed()
            queue = jobs.find_queue("host", "/q/x")
            assert isinstance(queue, Queue)
            request = JobRequest(
                queue.name,
                "text",
                (STEP,),
                fleet.wall_ms(),
                terms=queue.terms(),
            )
            deadline_s = fleet.timers.now_s() + DEADLINE_S
            outcome = await jobs.submit(queue, job_id, request, deadline_s)
            if outcome is OK:
                return
            assert outcome.code in (
                ResultCode.OUTCOME_UNKNOWN,
                ResultCode.NOT_RUN_OVERLOADED,
            )
            await fleet.timers.sleep(RETRY_S)


# Guards against jobs that run in two pools, whatever hosts know of a move.
@pytest.mark.parametrize("seed", range(SEEDS))
async def test_no_job_runs_in_two_pools(seed: int) -> None:
    async with running_fleet(hosts=HOSTS) as fleet:
        for number, pool in enumerate(POOLS[1:]):
            fleet.add_worker(10 + number, pool=pool)
        walk = WalkOfMoves(seed, fleet)
        await walk.move()
        await fleet.timers.advance(2.0)
        await walk.run()
        for job_id in walk.job_ids:
            await fleet.wait_for_state(job_id, JobState.COMPLETED)
            assert fleet.started(job_id) == TASKS, job_id
