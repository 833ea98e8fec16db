"""Commands that query managers: owners, pools, workers, waves and jobs."""

from coltsfootseam.cli.client import AdminClient, run, split_addresses
from coltsfootseam.cli.output import fail, finish, print_json, print_table
from coltsfootseam.manager import (
    JobStatus,
    ManagerStatus,
    TeamsStatus,
    describe_amounts,
)
from coltsfootseam.results import Refusal, ResultCode


class ManagerCommands:
    """Commands that query managers for jobs, pools, owners, workers and waves.

    All take --managers, a comma-separated list of metrics addresses of
    managers. Each manager reports only the duties that it holds itself.
    """

    def owners(self, managers: str) -> None:
        """Shows which manager holds which duty."""
        rows = [
            (status.host_id, status.configuration_version, duty)
            for status in _query_all(managers)
            for duty in status.duties
        ]
        print_table(("host", "configuration", "duty"), rows)
        finish(ResultCode.OK)

    def pools(self, managers: str) -> None:
        """Shows the jobs and workers of each pool."""
        rows = [
            (
                pool.pool,
                status.host_id,
                pool.epoch,
                pool.active_jobs,
                pool.queued_jobs,
                len(pool.workers),
                sum(worker.runs for worker in pool.workers),
            )
            for status in _query_all(managers)
            for pool in status.pools
        ]
        print_table(
            ("pool", "owner", "epoch", "active", "queued", "workers", "runs"),
            rows,
        )
        finish(ResultCode.OK)

    def workers(self, managers: str) -> None:
        """Shows each worker, its machine and why it gets no tasks."""
        rows = [
            (
                worker.worker_id,
                worker.machine_id,
                pool.pool,
                worker.zone,
                worker.runs,
                _join_reasons(
                    unreachable=not worker.is_reachable,
                    draining=worker.is_draining,
                    evacuating=worker.is_vacating,
                    quarantined=worker.is_set_aside,
                ),
            )
            for status in _query_all(managers)
            for pool in status.pools
            for worker in pool.workers
        ]
        print_table(
            ("worker", "machine", "pool", "zone", "runs", "state"), rows
        )
        finish(ResultCode.OK)

    def waves(self, managers: str) -> None:
        """Shows the maintenance waves that operators requested."""
        waves_by_number = {
            wave.number: wave
            for status in _query_all(managers)
            for wave in status.waves
        }
        rows = [
            (wave.number, len(wave.machine_ids), wave.limit, wave.duration_s)
            for _, wave in sorted(waves_by_number.items())
        ]
        print_table(("wave", "machines", "at once", "seconds"), rows)
        finish(ResultCode.OK)

    def teams(self, managers: str, json: bool = False) -> None:
        """Shows the limit of each team, its grants by pool, and what it runs.

        Amounts are cores/GB/accelerators.

        Args:
            managers: Metrics addresses of managers. One of them has to be
                that of the host that holds the duty "fleet".
            json: Print JSON instead of a table.
        """
        for address in split_addresses(managers):
            status = run(AdminClient([address]).get("/teams", TeamsStatus))
            if not isinstance(status, Refusal) and status.is_coordinator:
                _print_teams(status, json)
                finish(ResultCode.OK)
        fail(
            Refusal(
                ResultCode.UNREACHABLE, "none of the managers divides quotas"
            )
        )

    def explain(self, job: str, managers: str, json: bool = False) -> None:
        """Shows the state of a job and what each open task waits for.

        Args:
            job: The job's id.
            managers: Metrics addresses of managers.
            json: Print JSON instead of a table.
        """
        job_id = str(job)
        for address in split_addresses(managers):
            client = AdminClient([address])
            status = run(client.get(f"/jobs/{job_id}", JobStatus))
            if not isinstance(status, Refusal):
                _print_job(status, json)
                finish(ResultCode.OK)
        fail(Refusal(ResultCode.JOB_UNKNOWN, f"no manager has job {job_id}"))


def _print_teams(status: TeamsStatus, json: bool) -> None:
    if json:
        print_json(status)
        return
    print(
        f"{status.host_id}: epoch {status.epoch}, confirmed "
        f"{status.confirmed_age_s} s ago"
    )
    if status.missing_pools:
        print(f"not heard from: {', '.join(status.missing_pools)}")
    print_table(
        ("team", "limit", "granted", "running", "waiting", "age"),
        [
            (
                team.team,
                describe_amounts(team.limit),
                " ".join(
                    f"{pool}={describe_amounts(granted)}"
                    for pool, granted in sorted(team.granted_by_pool.items())
                ),
                describe_amounts(team.running),
                describe_amounts(team.waiting),
                "" if team.age_s is None else team.age_s,
            )
            for team in status.teams
        ],
    )


def _print_job(status: JobStatus, json: bool) -> None:
    if json:
        print_json(status)
        return
    print(
        f"{status.job_id}: {status.state}, queue {status.queue}, pool "
        f"{status.pool}, {status.age_s} s old"
    )
    if status.failure_reason:
        print(status.failure_reason)
    print_table(
        (
            "step",
            "task",
            "runs so far",
            "failed",
            "worker",
            "crashed under it",
            "waits for",
        ),
        [
            (
                task.step,
                task.index,
                task.last_run,
                task.failures,
                " ".join(task.workers),
                " ".join(task.crashed_workers),
                task.waits_for,
            )
            for task in status.open_tasks
        ],
    )


def _query_all(managers: str) -> list[ManagerStatus]:
    statuses = []
    failure = Refusal(
        ResultCode.UNREACHABLE, "no addresses of managers were given"
    )
    for address in split_addresses(managers):
        status = run(AdminClient([address]).get("/status", ManagerStatus))
        if isinstance(status, Refusal):
            failure = status
            continue
        statuses.append(status)
    if not statuses:
        fail(failure)
    return statuses


def _join_reasons(**reasons: bool) -> str:
    return ", ".join(name for name, applies in reasons.items() if applies)
