"""In which order the ready steps of jobs get room.

Ways are registered by name in :data:`JOB_ORDERS`.
"""

from collections.abc import Callable

import msgspec

from coltsfootseam.jobs import Job, Occurrence, Queue, Step
from coltsfootseam.scheduling.registry import Registry

_MS_PER_S = 1000
_EXPIRY_FACTOR = 3.0
_ON_TIME_RANK = 0.0
_LATE_RANK = 1.0
_EXPIRED_RANK = 2.0


class ReadyStep(msgspec.Struct):
    """A step of an occurrence of which tasks wait to run.

    Attributes:
        job: The job.
        occurrence: Its occurrence.
        number: Number of the step.
        step: What its tasks ask for.
        queue: The job's queue.
        waited_s: Time since the job was accepted or due.
        remaining_s: Least time until the job can be done.
        objective_s: Time within which it is worth its full credit.
    """

    job: Job
    occurrence: Occurrence
    number: int
    step: Step
    queue: Queue
    waited_s: float
    remaining_s: float
    objective_s: float

    def slack_s(self) -> float:
        """Returns how long it can still wait within its objective."""
        return self.objective_s - self.waited_s - self.remaining_s


OrderKey = Callable[[ReadyStep], tuple[float, ...]]

JOB_ORDERS: Registry[OrderKey] = Registry("job order")
"""Ways to order ready steps; the lowest key goes first."""


@JOB_ORDERS.register("arrival")
def order_by_arrival(ready: ReadyStep) -> tuple[float, ...]:
    """First come, first served."""
    return (-ready.waited_s,)


@JOB_ORDERS.register("shortest")
def order_by_remaining(ready: ReadyStep) -> tuple[float, ...]:
    """The job with the least left to do goes first."""
    return (float(ready.step.best_effort), ready.remaining_s)


@JOB_ORDERS.register("objective")
def order_by_objective(ready: ReadyStep) -> tuple[float, ...]:
    """Long-running tasks first, then by priority, then what can be in time.

    Among those in time the tightest goes first. Jobs whose objective is lost
    follow, the one that has waited longest against its size first, so that
    large jobs don't starve.
    """
    priority = ready.queue.priority
    if ready.step.long_running and not ready.step.best_effort:
        return (0.0, priority, -ready.waited_s)
    if ready.step.best_effort:
        return (2.0, priority, -ready.waited_s)
    if ready.slack_s() >= 0:
        return (1.0, priority, _ON_TIME_RANK, ready.slack_s())
    is_expired = ready.waited_s > _EXPIRY_FACTOR * ready.objective_s
    lateness = _EXPIRED_RANK if is_expired else _LATE_RANK
    return (1.0, priority, lateness, -ready.waited_s / ready.objective_s)


def critical_path_s(job: Job, occurrence: Occurrence | None = None) -> float:
    """Returns the longest chain of a job's steps, by their estimates.

    Args:
        job: The job.
        occurrence: If given, its steps that are done count as nothing.
    """
    ends_s: list[float] = []
    for number, step in enumerate(job.request.steps):
        start_s = max((ends_s[before] for before in step.after), default=0.0)
        is_done = (
            occurrence is not None and occurrence.open_by_step[number] == 0
        )
        own_s = 0.0 if is_done else step.estimate_ms / _MS_PER_S
        ends_s.append(start_s + own_s)
    return max(ends_s, default=0.0)
