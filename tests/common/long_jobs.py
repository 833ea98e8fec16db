"""A job with long tasks, whose runs outlast a cut or an outage."""

import contextlib
from collections import Counter
from collections.abc import AsyncIterator
from typing import Any

from coltsfootseam.jobs import JobState, Step, TaskId
from tests.common.fleets import Fleet, running_fleet

JOB = "a" * 16
TASKS = 6
LASTING_S = 1e9
"""Duration of the tasks of a job that only a cancellation ends."""
MARGIN_S = 60.0
"""Time for which a job may wait for its next run after a cut."""
CALM_S = 10.0
SETTLED_S = 14.0
"""Time after which the hosts have shared the duties out."""
POLL_INTERVAL_S = 0.03


@contextlib.asynccontextmanager
async def settled_fleet(
    hosts: int, duration_s: float, **options: Any
) -> AsyncIterator[Fleet]:
    """Yields a fleet whose duties no longer move by themselves.

    Args:
        hosts: Number of entry hosts.
        duration_s: How long each task runs.
        **options: Further arguments of ``running_fleet``.
    """
    async with running_fleet(
        hosts, duration_of=lambda task: duration_s, **options
    ) as fleet:
        fleet.store.poll_interval_s = POLL_INTERVAL_S
        await fleet.timers.advance(SETTLED_S)
        yield fleet


class LongJob:
    """A job of ``TASKS`` tasks that a fleet runs."""

    def __init__(self, fleet: Fleet, duration_s: float) -> None:
        self._fleet = fleet
        self._duration_s = duration_s

    async def start(self) -> str:
        """Starts the job; returns a worker that runs some of its tasks."""
        is_lasting = self._duration_s >= LASTING_S
        step = Step(
            count=TASKS,
            cpu_millis=1000,
            estimate_ms=0 if is_lasting else round(self._duration_s * 1000),
            long_running=is_lasting,
        )
        fleet = self._fleet
        await fleet.accept(fleet.hosts[0], JOB, step)
        await fleet.wait_until(lambda: fleet.started(JOB) == TASKS)
        await fleet.timers.advance(1.0)
        return self.workers()[0]

    def workers(self) -> list[str]:
        """Returns the instance ids of the workers that run its tasks."""
        workers_by_instance = self._fleet.workers.workers_by_instance
        return [
            instance_id
            for instance_id, worker in workers_by_instance.items()
            if worker.runs_by_task
        ]

    def runs_by_task(self) -> Counter[TaskId]:
        """Returns how many runs each task has at work."""
        return Counter(
            task
            for worker in self._fleet.workers.workers_by_instance.values()
            for task in worker.runs_by_task
            if not worker.is_dead
        )

    async def check_completion(self) -> None:
        """Waits until it is completed, or at work for good if it lasts."""
        fleet = self._fleet
        violations = fleet.workers.violations
        assert violations == [], violations
        if self._duration_s < LASTING_S:
            limit_s = self._duration_s + MARGIN_S
            await fleet.wait_for_state(JOB, JobState.COMPLETED, limit_s)
            return
        await fleet.wait_until(
            lambda: len(self.runs_by_task()) == TASKS, MARGIN_S
        )
        await fleet.timers.advance(CALM_S)
        assert set(self.runs_by_task().values()) == {1}
        assert len(self.runs_by_task()) == TASKS

    async def check_uninterrupted(self) -> None:
        """Checks that no task was stopped or started again until its end."""
        await self.check_completion()
        assert self._fleet.started(JOB) == TASKS


@contextlib.asynccontextmanager
async def fleet_with_job(
    hosts: int, duration_s: float, **options: Any
) -> AsyncIterator[tuple[Fleet, LongJob]]:
    """Yields a settled fleet and a job that it has started.

    Args:
        hosts: Number of entry hosts.
        duration_s: How long each task runs.
        **options: Further arguments of ``running_fleet``.
    """
    async with settled_fleet(hosts, duration_s, **options) as fleet:
        job = LongJob(fleet, duration_s)
        await job.start()
        yield fleet, job
