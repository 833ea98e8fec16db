"""Workers of the model: what they run, and how that ends."""

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
        """Returns the work done so far; a task that lasts has none to lose."""
        if self.task.step.long_running:
            return 0.0
        done_s = self.total_s - max(0.0, self.remaining_s)
        return done_s * self.task.step.cpu_millis / _MILLIS_PER_CORE

    def progress(self) -> int:
        """Returns the percent done; a task that lasts is at work at 100."""
        if self.task.step.long_running:
            return _FULL_PERCENT
        return int(_FULL_PERCENT * (1 - self.remaining_s / self.total_s))


class ModelWorker(msgspec.Struct):
    """A worker and what is true of it, whatever its owner believes.

    Attributes:
        entry: What it says of itself.
        slowness: How many times as long runs take.
        fails: Whether every run fails soon.
        hangs: Whether runs stand still.
        runs_by_key: What it runs.
        reported_s: When it last reported progress.
    """

    entry: WorkerEntry
    slowness: float = 1.0
    fails: bool = False
    hangs: bool = False
    runs_by_key: dict[tuple[TaskId, int], ModelRun] = {}
    reported_s: float = 0.0

    def start(self, task: Task, run: Run, total_s: float) -> None:
        """Begins a run, from what was saved if anything was."""
        saved_s = float(run.checkpoint or 0.0)
        remaining_s = max(0.02, total_s - saved_s)
        self.runs_by_key[task.id, run.number] = ModelRun(
            task, run, total_s, remaining_s
        )

    def advance(self, step_s: float) -> list[tuple[ModelRun, RunEnd]]:
        """Lets time pass; returns the runs that ended by themselves."""
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
        """Ends a run; returns what it saved and how much work is lost."""
        item = self.runs_by_key.pop((task.id, run.number), None)
        if item is None:
            return "", 0.0
        if task.step.checkpointing:
            return f"{item.total_s - item.remaining_s:.3f}", 0.0
        return "", item.done_core_s()

    def report(self, now_s: float) -> None:
        """Tells the owner how far each run is."""
        self.reported_s = now_s
        for item in self.runs_by_key.values():
            item.run.progress = item.progress()
            item.run.progress_s = now_s
