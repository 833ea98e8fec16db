"""Index of the runs that may be active, by worker."""

from coltsfootseam.jobs.entities import Run, Task
from coltsfootseam.jobs.model import Step, TaskId
from coltsfootseam.jobs.resources import Resources

RunPair = tuple[Task, Run]
"""A task and one of its runs."""

RunKey = tuple[TaskId, int]
"""The id of a task and the number of a run within it."""


class RunIndex:
    """Finds the runs of a worker without a scan of all jobs."""

    __slots__ = ("_occupied_by_worker", "_pairs_by_worker")

    def __init__(self) -> None:
        self._pairs_by_worker: dict[str, dict[RunKey, RunPair]] = {}
        self._occupied_by_worker: dict[str, Resources] = {}

    def __len__(self) -> int:
        return sum(len(pairs) for pairs in self._pairs_by_worker.values())

    def add(self, task: Task, run: Run) -> None:
        """Adds a run."""
        pairs = self._pairs_by_worker.setdefault(run.worker_id, {})
        if (task.id, run.number) not in pairs:
            occupied = self.occupied_on(run.worker_id)
            self._occupied_by_worker[run.worker_id] = occupied.plus(
                occupied_by(task.step)
            )
        pairs[task.id, run.number] = (task, run)

    def remove(self, task: Task, run: Run) -> None:
        """Removes a run; does nothing if it isn't indexed."""
        pairs = self._pairs_by_worker.get(run.worker_id)
        if pairs is None:
            return
        if pairs.pop((task.id, run.number), None) is not None:
            occupied = self._occupied_by_worker[run.worker_id]
            self._occupied_by_worker[run.worker_id] = occupied.minus(
                occupied_by(task.step)
            )
        if not pairs:
            del self._pairs_by_worker[run.worker_id]
            del self._occupied_by_worker[run.worker_id]

    def occupied_on(self, worker_id: str) -> Resources:
        """Returns what the runs that may be active on a worker occupy."""
        return self._occupied_by_worker.get(worker_id, Resources())

    def worker_ids(self) -> list[str]:
        """Returns the ids of the workers that may have active runs."""
        return list(self._pairs_by_worker)

    def runs_of(self, worker_id: str) -> list[RunPair]:
        """Returns the runs that may be active on a worker."""
        return list(self._pairs_by_worker.get(worker_id, {}).values())

    def isolating_worker_ids(self) -> set[str]:
        """Returns the ids of the workers that run a task in isolation."""
        return {run.worker_id for _, run in self.all_runs() if run.is_isolated}

    def all_runs(self) -> list[RunPair]:
        """Returns all runs that may be active."""
        return [
            pair
            for pairs in self._pairs_by_worker.values()
            for pair in pairs.values()
        ]


def occupied_by(step: Step) -> Resources:
    """Returns what a run occupies; best-effort tasks use what others leave."""
    cpu_millis = 0 if step.best_effort else step.cpu_millis
    return Resources(cpu_millis, step.memory_mb, step.accelerators)
