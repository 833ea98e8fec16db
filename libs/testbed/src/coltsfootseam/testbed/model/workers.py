"""Workers of the model and their runs."""

import msgspec

from coltsfootseam.jobs import Run, RunEnd, Task, TaskId
from coltsfootseam.workers import WorkerEntry

_FULL_PERCENT = 100
_MILLIS_PER_CORE = 1000


class ModelRun(msgspec.Struct):
    """A run on a worker of the model."""

    task: Task
    run: Run
    total_s: float
    remaining_s: float

    def done_core_s(self) -> float:
        """Returns the work done so far, 0 for a long-running task."""
        if self.task.step.long_running:
            return 0.0
        done_s = self.total_s - max(0.0, self.remaining_s)
        return done_s * self.task.step.cpu_millis / _MILLIS_PER_CORE

    def progress(self) -> int:
        """Returns the percent done, always 100 for a long-running task."""
        if self.task.step.long_running:
            return _FULL_PERCENT
        return int(_FULL_PERCENT * (1 - self.remaining_s / self.total_s))


class ModelWorker(msgspec.Struct):
    """Actual state of a worker, which its owner may not know.

    Attributes:
        entry: How the worker describes itself.
        slowness: Factor by which runs take longer.
        fails: Whether every run fails soon after its start.
        hangs: Whether runs make no progress.
        runs_by_key: Current runs by task id and run number.
        reported_s: When it reported progress last.
    """

    entry: WorkerEntry
    slowness: float = 1.0
    fails: bool = False
    hangs: bool = False
    runs_by_key: dict[tuple[TaskId, int], ModelRun] = {}
    reported_s: float = 0.0

    def free_cpu_millis(self) -> int:
        """Returns the processor that runs leave free, negative if too many."""
        used = sum(
            item.task.step.cpu_millis
            for item in self.runs_by_key.values()
            if not item.task.step.best_effort
        )
        return self.entry.cpu_millis - used

    def start(self, task: Task, run: Run, total_s: float) -> None:
        """Starts a run, from its checkpoint if there is one."""
        saved_s = float(run.checkpoint or 0.0)
        remaining_s = max(0.02, total_s - saved_s)
        self.runs_by_key[task.id, run.number] = ModelRun(
            task, run, total_s, remaining_s
        )

    def advance(self, step_s: float) -> list[tuple[ModelRun, RunEnd]]:
        """Advances all runs; returns those that were done or failed."""
        ended = []
        for key, item in list(self.runs_by_key.items()):
            if self.fails:
                ended.append((item, RunEnd.FAILED))
                del self.runs_by_key[key]
                continue
            if not self.hangs:
                item.remaining_s -= step_s / self.slowness
            if item.remaining_s <= 0:
                ended.append((item, RunEnd.DONE))
                del self.runs_by_key[key]
        return ended

    def stop(self, task: Task, run: Run) -> tuple[str, float]:
        """Stops a run; returns its checkpoint and the core seconds lost."""
        item = self.runs_by_key.pop((task.id, run.number), None)
        if item is None:
            return "", 0.0
        if task.step.checkpointing:
            return f"{item.total_s - item.remaining_s:.3f}", 0.0
        return "", item.done_core_s()

    def report(self, now_s: float) -> None:
        """Reports the progress of each run to the owner."""
        self.reported_s = now_s
        for item in self.runs_by_key.values():
            item.run.progress = item.progress()
            item.run.progress_s = now_s
