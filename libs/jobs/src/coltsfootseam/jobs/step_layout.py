"""What follows from the steps of a job alone, worked out once per job."""

from collections.abc import Sequence

from coltsfootseam.jobs.model import Step

_MS_PER_S = 1000


class StepLayout:
    """Positions of the tasks and chains of the steps of a job.

    Attributes:
        first_positions: For each step, how many tasks the steps before it have.
        task_count: How many tasks an occurrence has.
        chains_s: For each step, the length of the longest chain that begins
            with it, by the estimates.
        longest_first: The numbers of the steps, those with the longest chains
            first.
    """

    __slots__ = ("chains_s", "first_positions", "longest_first", "task_count")

    def __init__(self, steps: Sequence[Step]) -> None:
        self.first_positions: list[int] = []
        self.task_count = 0
        for step in steps:
            self.first_positions.append(self.task_count)
            self.task_count += max(0, step.count)
        self.chains_s = _chains_s(steps)
        self.longest_first = sorted(
            range(len(steps)), key=lambda number: -self.chains_s[number]
        )

    def critical_path_s(self) -> float:
        """Returns the length of the longest chain of steps."""
        if not self.longest_first:
            return 0.0
        return self.chains_s[self.longest_first[0]]


def _chains_s(steps: Sequence[Step]) -> list[float]:
    """Returns the longest chain from each step on; steps follow in order."""
    after_s = [0.0] * len(steps)
    chains_s = [0.0] * len(steps)
    for number in reversed(range(len(steps))):
        step = steps[number]
        own_s = step.estimate_ms / _MS_PER_S if step.count > 0 else 0.0
        chains_s[number] = own_s + after_s[number]
        for before in step.after:
            after_s[before] = max(after_s[before], chains_s[number])
    return chains_s
