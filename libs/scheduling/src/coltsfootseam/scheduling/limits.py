"""Limits on what may start that don't depend on the workers' capacity."""

from typing import Protocol

from coltsfootseam.jobs import Task
from coltsfootseam.scheduling.ordering import ReadyStep


class StartLimits(Protocol):
    """Limits how many tasks of a step may start in a planning round."""

    def allowed(self, ready: ReadyStep, count: int) -> int:
        """Returns how many of ``count`` tasks of a step may start."""

    def take(self, ready: ReadyStep, count: int) -> None:
        """Records that ``count`` tasks of a step are planned to start."""


class NoLimits:
    """Limits nothing."""

    __slots__ = ()

    def allowed(self, ready: ReadyStep, count: int) -> int:
        """Returns ``count``."""
        del ready
        return count

    def take(self, ready: ReadyStep, count: int) -> None:
        """Does nothing."""


NO_LIMITS = NoLimits()


def tasks_within(
    limits: StartLimits, ready: ReadyStep, tasks: list[Task]
) -> list[Task]:
    """Returns the tasks that may start; of a gang all of them or none."""
    allowed = limits.allowed(ready, len(tasks))
    if allowed >= len(tasks):
        return tasks
    return [] if ready.step.gang else tasks[: max(0, allowed)]
