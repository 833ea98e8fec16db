"""A soak of real processes: overlapping faults drawn from a seed.

Whatever the faults, and as callers and workers see it: no task runs twice at
once or after an end that was noted (TWICE), none starts or runs on after its
job's cancel (UNASKED), and accepted jobs complete once all is healed (LOST).
"""

import asyncio
import pathlib
import random
import time

import msgspec

from coltsfootseam.adapter.tasks import task_name
from coltsfootseam.testbed.waiting import wait_until
from coltsfootseam.workers import StartOrder
from tests.common.zone_faults import (
    PlannedFault,
    applying,
    plan_faults,
    plan_series,
)
from tests.common.zoned_deployment import (
    LONG_RUNNING_S,
    ZonedDeployment,
    running_zones,
)

_CANCEL_S = 3.0
_STALE_START_S = 10.0
"""A host that is parted may start tasks of a cancelled job until it notices,
and a worker refuses a start whose lease has ended on the way."""
_SUBMIT_LIMIT_S = 30.0
_RETRY_S = 0.3
_STALL_CHECK_S = 0.05
_END_LIMIT_S = 60.0
_LASTING_SHARE = 0.1
_CANCEL_SHARE = 0.2


class PlannedJob(msgspec.Struct, frozen=True):
    """A job of one step.

    Attributes:
        job_id: Its id.
        host: Index of the host to which it is sent first.
        at_s: When it is sent first.
        tasks: Number of its tasks.
        task_s: Duration of a task.
        cancel_s: Time from the reply to its cancel, ``None`` for no cancel.
        per_worker_limit: How many of its tasks one worker may run, 0 for no
            limit.
    """

    job_id: str
    host: int
    at_s: float
    tasks: int
    task_s: float
    cancel_s: float | None
    per_worker_limit: int = 0

    def is_lasting(self) -> bool:
        """Returns whether its tasks run until it is cancelled."""
        return self.task_s == LONG_RUNNING_S


def plan_jobs(
    rng: random.Random, length_s: float, max_task_s: float, hosts: int
) -> list[PlannedJob]:
    """Draws jobs that are sent to all hosts in turn."""
    jobs: list[PlannedJob] = []
    at_s = 0.0
    while at_s < length_s:
        is_lasting = rng.random() < _LASTING_SHARE
        cancel_s = rng.uniform(0.0, 8.0)
        jobs.append(
            PlannedJob(
                f"{len(jobs) + 1:016x}",
                len(jobs) % hosts,
                at_s,
                rng.randint(1, 3),
                LONG_RUNNING_S if is_lasting else rng.uniform(1.0, max_task_s),
                cancel_s if rng.random() < _CANCEL_SHARE else None,
            )
        )
        at_s += rng.uniform(0.3, 1.2)
    return jobs


class Soak:
    """Sends jobs and checks what becomes of them.

    Attributes:
        findings: Broken guarantees so far.
        accepted: Jobs that were accepted.
        longest_stall_s: How late this process, which serves the store and the
            workers, woke up at most.
    """

    def __init__(self, deployment: ZonedDeployment) -> None:
        self.findings: list[str] = []
        self.accepted: list[PlannedJob] = []
        self.longest_stall_s = 0.0
        self._deployment = deployment
        self._started_s = time.monotonic()
        self._cancel_sent: set[str] = set()
        self._cancelled_s_by_job: dict[str, float] = {}
        self._healed_s = float("inf")
        self._reported_violations = 0
        deployment.workers.on_start = self._check_start

    async def run(
        self, faults: list[PlannedFault], jobs: list[PlannedJob]
    ) -> None:
        """Applies all faults while jobs are sent, then checks all jobs."""
        callers = [asyncio.ensure_future(self._play_job(job)) for job in jobs]
        measuring = asyncio.ensure_future(self._measure_stalls())
        try:
            await asyncio.gather(*(self._apply(item) for item in faults))
            healed_s = time.monotonic()
            await asyncio.gather(*callers)
            await self.check(healed_s)
        finally:
            for task in (*callers, measuring):
                task.cancel()

    async def check(self, healed_s: float) -> None:
        """Checks all jobs.

        Args:
            healed_s: When the last fault ended, monotonic seconds.
        """
        self._healed_s = healed_s
        await self._check_ready()
        await self._check_ends()
        violations = self._deployment.workers.violations
        for item in violations[self._reported_violations :]:
            self.findings.append(
                f"TWICE: {task_name(item.task)}: {item.rule}: {item.detail}"
            )
        self._reported_violations = len(violations)

    async def _measure_stalls(self) -> None:
        while True:
            slept_s = time.monotonic()
            await asyncio.sleep(_STALL_CHECK_S)
            late_s = time.monotonic() - slept_s - _STALL_CHECK_S
            self.longest_stall_s = max(self.longest_stall_s, late_s)

    async def _apply(self, planned: PlannedFault) -> None:
        await self._sleep_until(planned.at_s)
        async with applying(planned, self._deployment):
            await self._sleep_until(planned.at_s + planned.for_s)

    async def _sleep_until(self, at_s: float) -> None:
        elapsed_s = time.monotonic() - self._started_s
        await asyncio.sleep(max(0.0, at_s - elapsed_s))

    async def _play_job(self, job: PlannedJob) -> None:
        await self._sleep_until(job.at_s)
        if not await self.submit(job):
            return
        if job.cancel_s is not None:
            await asyncio.sleep(job.cancel_s)
            await self._cancel(job)

    async def submit(self, job: PlannedJob) -> bool:
        """Sends a job now; returns whether it was accepted."""
        self._deployment.durations_s_by_job[job.job_id] = job.task_s
        step = {
            "count": job.tasks,
            "cpu": 500,
            "mem_mb": 64,
            "anti_affinity": job.per_worker_limit,
        }
        if job.is_lasting():
            step["long_running"] = True
        body = {"spec": "x", "steps": [step]}
        if not await self._send("POST", job, body, {200}):
            return False
        self.accepted.append(job)
        return True

    async def _cancel(self, job: PlannedJob) -> None:
        self._cancel_sent.add(job.job_id)
        if await self._send("DELETE", job, None, {200, 410}):
            self._cancelled_s_by_job[job.job_id] = time.monotonic()

    async def _send(
        self, method: str, job: PlannedJob, body: object, statuses: set[int]
    ) -> bool:
        """Sends a request to one host after the other until one serves it."""
        hosts = self._deployment.hosts
        until_s = time.monotonic() + _SUBMIT_LIMIT_S
        number = job.host
        while time.monotonic() < until_s:
            status, _ = await self._deployment.call(
                method, hosts[number % len(hosts)], f"/q/{job.job_id}", body
            )
            if status in statuses:
                return True
            number += 1
            await asyncio.sleep(_RETRY_S)
        return False

    def _check_start(self, order: StartOrder) -> None:
        now_s = time.monotonic()
        cancelled_s = self._cancelled_s_by_job.get(order.task.job_id, now_s)
        late_s = now_s - cancelled_s
        is_healed = now_s - self._healed_s > _CANCEL_S
        if late_s > (_CANCEL_S if is_healed else _STALE_START_S):
            self.findings.append(
                f"UNASKED: {task_name(order.task)} starts {late_s:.1f} s after "
                "its cancel"
            )

    async def _check_ready(self) -> None:
        try:
            await self._deployment.wait_until_ready()
        except TimeoutError as error:
            self.findings.append(f"LOST: {error}")

    async def _check_ends(self) -> None:
        for job in self.accepted:
            if job.job_id not in self._cancel_sent:
                await self._check_done(job)
        for job in self.accepted:
            is_cancelled = job.job_id in self._cancelled_s_by_job
            if job.is_lasting() and not is_cancelled:
                await self._cancel(job)
                if job.job_id not in self._cancelled_s_by_job:
                    self.findings.append(f"LOST: cancel of {job}: no answer")
        await asyncio.sleep(_CANCEL_S)
        for job_id in self._cancelled_s_by_job:
            for task, entry in self._deployment.running_tasks(job_id):
                self.findings.append(
                    f"UNASKED: {task_name(task)} runs on {entry.worker_id} "
                    "after its cancel"
                )

    async def _check_done(self, job: PlannedJob) -> None:
        """Waits until a job is completed or, if it lasts, runs as a whole."""
        state = b""
        hosts = self._deployment.hosts

        async def is_done() -> bool:
            nonlocal state
            if job.is_lasting():
                running = self._deployment.running_tasks(job.job_id)
                return len(running) >= job.tasks
            _, state = await self._deployment.call(
                "GET", hosts[job.host], f"/q/{job.job_id}"
            )
            return b"completed" in state

        since_heal_s = time.monotonic() - self._healed_s
        limit_s = max(1.0, _END_LIMIT_S - since_heal_s)
        try:
            await wait_until(is_done, f"{job.job_id} completes", limit_s)
        except TimeoutError:
            self.findings.append(f"LOST: {job}, shown as {state!r}")


class SoakResult(msgspec.Struct, frozen=True):
    """What a soak did and the guarantees that it broke."""

    faults: list[PlannedFault]
    accepted: int
    starts: int
    longest_stall_s: float
    findings: list[str]


async def run_soak(
    seed: int, folder: pathlib.Path, length_s: float, max_task_s: float
) -> SoakResult:
    """Runs a soak.

    Args:
        seed: Determines the faults and jobs.
        folder: Receives the settings and logs of the hosts.
        length_s: How long faults begin and jobs are sent.
        max_task_s: Longest duration of a task that ends.
    """
    rng = random.Random(seed)
    async with running_zones(folder) as deployment:
        faults = plan_faults(rng, length_s)
        jobs = plan_jobs(rng, length_s, max_task_s, len(deployment.hosts))
        # Drawn apart, so that a seed keeps the faults and jobs above.
        faults += plan_series(random.Random(f"series {seed}"), length_s)
        soak = Soak(deployment)
        await soak.run(faults, jobs)
        starts = len(deployment.workers.starts)
        return SoakResult(
            faults,
            len(soak.accepted),
            starts,
            soak.longest_stall_s,
            soak.findings,
        )
