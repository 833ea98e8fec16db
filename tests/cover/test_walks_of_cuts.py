"""Seeded random walks through cuts by zone, kills and freezes of hosts."""

import contextlib
import random
from collections.abc import Awaitable, Callable

import pytest

from coltsfootseam.jobs import Step
from tests.common.cuts import STORE, Lost, cut_off, zones_cut_off
from tests.common.fleets import Fleet, Host, running_fleet
from tests.common.long_jobs import LASTING_S

ZONES = ("a", "b", "c")
HOSTS = 5
WORKERS = 3
SEEDS = 20
STEPS = 8
JOBS = 3
"""Jobs that are submitted before the first fault."""
PAUSES_S = (0.5, 2.0, 5.0, 9.0)
DURATIONS_S = (6.0, 15.0, 30.0, LASTING_S)
MAX_CUTS = 2
SETTLED_S = 9.0
POLL_INTERVAL_S = 0.1


class WalkOfCuts:
    """A random walk through faults of a fleet whose hosts are in three zones.

    Attributes:
        fleet: The fleet.
        durations_by_job: How long the tasks of each job run.
    """

    def __init__(self, seed: int) -> None:
        self.durations_by_job: dict[str, float] = {}
        self._random = random.Random(seed)
        self._cuts: list[contextlib.ExitStack] = []
        self._steps: list[tuple[int, Callable[[], Awaitable[None]]]] = [
            (2, self.submit),
            (6, self.cut_zones),
            (2, self.cut_store),
            (2, self.heal),
            (1, self.kill),
            (1, self.restart),
            (2, self.freeze),
            (2, self.thaw),
        ]

    async def run(self, fleet: Fleet) -> None:
        """Takes all steps, heals everything and checks the workers' record."""
        self.fleet = fleet
        weights = [weight for weight, _ in self._steps]
        steps = [step for _, step in self._steps]
        for _ in range(JOBS):
            await self.submit()
        for step in self._random.choices(steps, weights, k=STEPS):
            await step()
            await fleet.timers.advance(self._random.choice(PAUSES_S))
        while self._cuts:
            await self.heal()
        for host in fleet.hosts:
            host.timers.thaw()
            if host.manager is None:
                host.start()
        await fleet.timers.advance(SETTLED_S)
        assert fleet.workers.violations == []

    async def submit(self) -> None:
        """Submits a job through a host that may be cut off."""
        hosts = [
            host
            for host in self.fleet.hosts
            if host.manager is not None
            and host.manager.is_ready()
            and not host.timers.is_frozen
        ]
        if not hosts:
            return
        job_id = f"{len(self.durations_by_job):016x}"
        duration_s = self._random.choice(DURATIONS_S)
        self.durations_by_job[job_id] = duration_s
        step = Step(
            count=2,
            cpu_millis=1000,
            estimate_ms=2000,
            long_running=duration_s >= LASTING_S,
        )
        host = self._random.choice(hosts)
        await self.fleet.submit(host, job_id, step)

    async def cut_zones(self) -> None:
        """Cuts off some zones, perhaps with the store or one way only."""
        if len(self._cuts) >= MAX_CUTS:
            await self.heal()
        zones = self._random.sample(ZONES, self._random.choice((1, 1, 2)))
        has_store = self._random.random() < 0.3
        lost = self._random.choice((Lost.BOTH_WAYS, Lost.BOTH_WAYS, *Lost))
        self._cut(
            zones_cut_off(self.fleet, *zones, has_store=has_store, lost=lost)
        )

    async def cut_store(self) -> None:
        """Cuts some hosts off from the store only."""
        if len(self._cuts) >= MAX_CUTS:
            await self.heal()
        count = self._random.randint(1, HOSTS)
        hosts = self._random.sample(self.fleet.hosts, count)
        self._cut(cut_off(self.fleet, hosts, others=[STORE]))

    def _cut(self, cut: contextlib.AbstractContextManager[object]) -> None:
        stack = contextlib.ExitStack()
        stack.enter_context(cut)
        self._cuts.append(stack)

    async def heal(self) -> None:
        """Ends the oldest cut."""
        if self._cuts:
            self._cuts.pop(0).close()

    async def kill(self) -> None:
        """Kills a host, mostly the owner."""
        host = self._choose_host()
        if host.manager is not None:
            host.timers.thaw()
            await host.kill()

    async def restart(self) -> None:
        """Starts a killed host again."""
        for host in self.fleet.hosts:
            if host.manager is None:
                host.start()
                await self.fleet.timers.advance(0.5)
                return

    async def freeze(self) -> None:
        """Pauses a host, mostly the owner."""
        self._choose_host().timers.is_frozen = True

    async def thaw(self) -> None:
        """Resumes all hosts."""
        for host in self.fleet.hosts:
            host.timers.thaw()

    def _choose_host(self) -> Host:
        owners = [host for host in self.fleet.hosts if host.owns()]
        if owners and self._random.random() < 0.7:
            return self._random.choice(owners)
        return self._random.choice(self.fleet.hosts)


async def walk(seed: int) -> None:
    """Takes a random walk."""
    walk_of_cuts = WalkOfCuts(seed)
    async with running_fleet(
        hosts=HOSTS,
        workers=0,
        duration_of=lambda task: walk_of_cuts.durations_by_job[task.job_id],
    ) as fleet:
        fleet.store.poll_interval_s = POLL_INTERVAL_S
        for number, host in enumerate(fleet.hosts):
            host.zone = ZONES[number % len(ZONES)]
        for number in range(1, WORKERS + 1):
            fleet.add_worker(number, zone=ZONES[number % len(ZONES)])
        await walk_of_cuts.run(fleet)


# Guards against task runs that two owners have at work at once, or that start
# after an end which a cut-off owner could not note.
@pytest.mark.parametrize("seed", range(SEEDS))
async def test_no_task_runs_twice_on_a_walk_of_cuts(seed: int) -> None:
    await walk(seed)
