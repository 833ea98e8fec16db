"""Plays of real processes: the owners of a pool end soon after one another.

Idle workers lose power and are back at once, unknown to the pool's owner, and
their next incarnations carry out starts that were meant for the former ones.
Once the workers have been handed on, they are cut off, as the last owner ends.
"""

import asyncio
import contextlib
import pathlib
import random
import time

import msgspec

from tests.common.soak import PlannedJob, Soak
from tests.common.zone_faults import cut_from_hosts, ending, find_owner
from tests.common.zoned_deployment import (
    ZonedDeployment,
    ZonedHost,
    running_zones,
)

PLAY_ZONES = ("a", "b", "c", "d")
WORKER_NODES = range(11, 19)
_RESTARTED = 3
_JOBS = 3
_LATER_JOBS = 2
_TASKS = 6
_CUT_S = 12.0
_HEALTHY_S = 4.0
"""With the time of a steady owner longer than the longest lease, so that a call
to a former incarnation names an end that is far ahead on the next clock."""
_STEADY_S = 8.0
"""How long an owner has owned the pool as a round begins, so that the leases of
the owner before have ended and it uses all workers."""
_STEADY_LIMIT_S = 60.0
_POLL_S = 0.2


class PlannedRound(msgspec.Struct, frozen=True):
    """A round of a play.

    Attributes:
        nodes: Workers that lose power.
        ends: How many owners end.
        is_planned: Whether they leave in peace.
        loses_replies: Whether no start on the next incarnations is answered
            until their entries are back.
        jobs_after_s: Time from the rebirth to the first jobs.
        end_after_s: Time from then to the end of the first owner.
        orders_again: Whether each next owner is sent more jobs.
        cut_after_s: Time from the last but one change of owner to the cut.
        loses_data: Whether what is sent meanwhile is lost, not late.
    """

    nodes: list[int]
    ends: int
    is_planned: bool
    loses_replies: bool
    jobs_after_s: float
    end_after_s: float
    orders_again: bool
    cut_after_s: float
    loses_data: bool


class PlayResult(msgspec.Struct, frozen=True):
    """What a play did and the guarantees that it broke."""

    rounds: list[PlannedRound]
    starts: int
    findings: list[str]


def plan_rounds(
    rng: random.Random, rounds: int, is_planned: bool
) -> list[PlannedRound]:
    """Draws the rounds of a play, most often with two owners that end."""
    return [
        PlannedRound(
            nodes=rng.sample(WORKER_NODES, _RESTARTED),
            ends=rng.choice((1, 2, 2, 2, 3)),
            is_planned=is_planned,
            loses_replies=rng.random() < 0.3,
            jobs_after_s=rng.uniform(0.0, 0.1),
            end_after_s=rng.uniform(0.05, 0.5),
            orders_again=rng.random() < 0.5,
            cut_after_s=rng.uniform(0.1, 1.5),
            loses_data=rng.random() < 0.5,
        )
        for _ in range(rounds)
    ]


class _Play:
    def __init__(
        self, deployment: ZonedDeployment, rng: random.Random, task_s: float
    ) -> None:
        self._deployment = deployment
        self._random = rng
        self._task_s = task_s
        self._count = 0
        self.soak = Soak(deployment)

    async def run_round(self, planned: PlannedRound) -> None:
        """Runs a round, and checks the jobs once all is healed."""
        ended: list[ZonedHost] = []
        await self._wait_for_steady_owner()
        async with contextlib.AsyncExitStack() as stack:
            await self._restart_workers(planned)
            for _ in range(planned.ends - 1):
                await self._end_owner(stack, planned, ended)
                self._list_workers(planned)
                await find_owner(self._deployment, ended)
                if planned.orders_again:
                    await self._submit(_LATER_JOBS, ended)
            await asyncio.sleep(planned.cut_after_s)
            cut = cut_from_hosts(self._deployment, planned.nodes)
            stack.enter_context(
                self._deployment.links.cutting(cut, planned.loses_data)
            )
            cut_s = time.monotonic()
            await self._end_owner(stack, planned, ended)
            self._list_workers(planned)
            await asyncio.sleep(cut_s + _CUT_S - time.monotonic())
        await self.soak.check(time.monotonic())

    async def _wait_for_steady_owner(self) -> None:
        owner = None
        since_s = time.monotonic()
        until_s = since_s + _STEADY_LIMIT_S
        while time.monotonic() < min(since_s + _STEADY_S, until_s):
            found = await find_owner(self._deployment)
            if found is not owner:
                owner = found
                since_s = time.monotonic()
            await asyncio.sleep(_POLL_S)

    async def _restart_workers(self, planned: PlannedRound) -> None:
        workers = self._deployment.workers_by_node
        lives = await asyncio.gather(
            *(workers[node].restart_unlisted() for node in planned.nodes)
        )
        for life in lives:
            life.faults.loses_start_replies = planned.loses_replies
        await asyncio.sleep(planned.jobs_after_s)
        await self._submit(_JOBS, [])
        await asyncio.sleep(planned.end_after_s)

    async def _end_owner(
        self,
        stack: contextlib.AsyncExitStack,
        planned: PlannedRound,
        ended: list[ZonedHost],
    ) -> None:
        owner = await find_owner(self._deployment, ended)
        if owner is not None:
            await stack.enter_async_context(ending(owner, planned.is_planned))
            ended.append(owner)

    def _list_workers(self, planned: PlannedRound) -> None:
        for node in planned.nodes:
            worker = self._deployment.workers_by_node[node]
            life = self._deployment.workers.workers_by_instance[
                worker.entry.instance_id
            ]
            life.faults.loses_start_replies = False
            worker.report_again()

    async def _submit(self, count: int, ended: list[ZonedHost]) -> None:
        hosts = [
            number
            for number, host in enumerate(self._deployment.hosts)
            if host not in ended
        ]
        jobs = []
        for _ in range(count):
            self._count += 1
            jobs.append(
                PlannedJob(
                    f"{self._count:016x}",
                    self._random.choice(hosts),
                    0.0,
                    _TASKS,
                    self._task_s,
                    cancel_s=None,
                    per_worker_limit=1,
                )
            )
        await asyncio.gather(*(self.soak.submit(job) for job in jobs))


async def run_play(
    rng: random.Random,
    folder: pathlib.Path,
    rounds: list[PlannedRound],
    task_s: float,
) -> PlayResult:
    """Runs a play.

    Args:
        rng: Draws the hosts that jobs are sent to.
        folder: Receives the settings and logs of the hosts.
        rounds: What happens.
        task_s: Duration of each task.
    """
    async with running_zones(folder, PLAY_ZONES, 1) as deployment:
        play = _Play(deployment, rng, task_s)
        await asyncio.sleep(_HEALTHY_S)
        for item in rounds:
            await play.run_round(item)
        return PlayResult(
            rounds, len(deployment.workers.starts), play.soak.findings
        )
