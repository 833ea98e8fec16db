"""Orders in which the ready steps of jobs are placed.

Orders are registered by name in :data:`JOB_ORDERS`.
"""

import enum
from collections.abc import Callable

import msgspec

from coltsfootseam.jobs import Job, Occurrence, Queue, Step
from coltsfootseam.scheduling.registry import Registry

_EXPIRY_FACTOR = 3.0
_MARGIN_PER_OBJECTIVE = 0.2
"""Slack to keep when a step starts, as run times and estimates vary."""
_ON_TIME_RANK = 0.0
_AT_RISK_RANK = 1.0
_LATE_RANK = 2.0
_EXPIRED_RANK = 3.0


class ServiceClass(enum.IntEnum):
    """Class of a step; each class goes before the next, whoever submits it."""

    LONG_RUNNING = 0
    NORMAL = 1
    BEST_EFFORT = 2


class ReadyStep(msgspec.Struct):
    """A step of an occurrence with tasks that wait to run.

    Attributes:
        job: The job.
        occurrence: Its occurrence.
        number: Number of the step.
        step: Requirements of its tasks.
        queue: The job's queue.
        waited_s: Time since the job was accepted or due.
        remaining_s: Lower bound of the time until the job is done.
        objective_s: Time within which the job should be done.
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
        """Returns how long the step can wait without missing the objective."""
        return self.objective_s - self.waited_s - self.remaining_s

    def service_class(self) -> ServiceClass:
        """Returns the class of the step."""
        if self.step.best_effort:
            return ServiceClass.BEST_EFFORT
        if self.step.long_running:
            return ServiceClass.LONG_RUNNING
        return ServiceClass.NORMAL


OrderKey = Callable[[ReadyStep], tuple[float, ...]]

JOB_ORDERS: Registry[OrderKey] = Registry("job order")
"""Sort keys of ready steps; the lowest goes first."""


@JOB_ORDERS.register("arrival")
def order_by_arrival(ready: ReadyStep) -> tuple[float, ...]:
    """First come, first served."""
    return (-ready.waited_s,)


@JOB_ORDERS.register("shortest")
def order_by_remaining(ready: ReadyStep) -> tuple[float, ...]:
    """The job with the least remaining time goes first."""
    return (float(ready.step.best_effort), ready.remaining_s)


@JOB_ORDERS.register("objective")
def order_by_objective(ready: ReadyStep) -> tuple[float, ...]:
    """Long-running tasks first, then by priority, then by slack.

    Jobs that can still meet their objective with a margin go first, those with
    the least slack in front. Without the margin, every job of an overloaded
    pool would start at the last moment and most would end just too late. Jobs
    without the margin follow, those with the most slack in front, then late
    jobs, then those far beyond their objective; both are ordered by their
    waiting time relative to the objective, so that large jobs don't starve.
    Best-effort steps go last.
    """
    priority = ready.queue.priority
    service_class = ready.service_class()
    if service_class is not ServiceClass.NORMAL:
        return (service_class, priority, -ready.waited_s)
    slack_s = ready.slack_s()
    if slack_s >= _MARGIN_PER_OBJECTIVE * ready.objective_s:
        return (1.0, priority, _ON_TIME_RANK, slack_s)
    if slack_s >= 0:
        return (1.0, priority, _AT_RISK_RANK, -slack_s)
    is_expired = ready.waited_s > _EXPIRY_FACTOR * ready.objective_s
    lateness = _EXPIRED_RANK if is_expired else _LATE_RANK
    return (1.0, priority, lateness, -ready.waited_s / ready.objective_s)


def critical_path_s(job: Job, occurrence: Occurrence | None = None) -> float:
    """Returns the length of the longest chain of steps, by their estimates.

    Args:
        job: The job.
        occurrence: If given, its steps that are done take no time.
    """
    if occurrence is None:
        return job.layout().critical_path_s()
    return occurrence.remaining_path_s()
