"""Jobs and runs for tests of scheduling decisions."""

from coltsfootseam.jobs import (
    Job,
    JobRequest,
    Run,
    RunPhase,
    Step,
    Task,
)


def a_job(job_id: str, *steps: Step) -> Job:
    """Returns a job that has just been accepted."""
    return Job(job_id, JobRequest("bookings", "text", steps, accepted_ms=0))


def a_running_task(
    job_id: str,
    worker_id: str,
    step: Step,
    is_stopping: bool = False,
    progress: int = 0,
) -> tuple[Task, Run]:
    """Returns a job's first task and its only run, started at 0 s."""
    task = a_job(job_id, step).occurrence(0).tasks_by_step[0][0]
    phase = RunPhase.STOPPING if is_stopping else RunPhase.RUNNING
    run = Run(1, worker_id, phase, started_s=0.0, progress=progress)
    task.runs = [run]
    return task, run
