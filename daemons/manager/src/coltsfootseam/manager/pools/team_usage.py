"""What the runs of a pool use, by the team of their job."""

from coltsfootseam.jobs import JobTable, Resources


def usage_by_team(
    job_table: JobTable, includes_best_effort: bool = True
) -> dict[str, Resources]:
    """Returns what the runs of each team use.

    All runs that may be active count, in any phase: copies, gangs and isolated
    runs too. Runs of jobs without a team are listed under the empty name.

    Args:
        job_table: The pool's jobs.
        includes_best_effort: Whether best-effort runs count.
    """
    amounts_by_team: dict[str, list[int]] = {}
    jobs_by_id = job_table.jobs_by_id
    for task, _ in job_table.runs.all_runs():
        step = task.step
        if step.best_effort and not includes_best_effort:
            continue
        team = jobs_by_id[task.id.job_id].request.team
        amounts = amounts_by_team.setdefault(team, [0, 0, 0])
        amounts[0] += step.cpu_millis
        amounts[1] += step.memory_mb
        amounts[2] += step.accelerators
    return {
        team: Resources(*amounts) for team, amounts in amounts_by_team.items()
    }
