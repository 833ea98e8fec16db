"""Status of a manager's duties, pools and jobs, as operators see it."""

from collections.abc import Mapping

import msgspec

from coltsfootseam.jobs import Job, JobState, Task
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.machines.fleet_owner import FleetOwner
from coltsfootseam.manager.membership.duties import FLEET_DUTY
from coltsfootseam.manager.membership.duty_manager import DutyManager
from coltsfootseam.manager.pools.look_ahead_status import describe_reservation
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.manager.quotas.status import (
    TeamsStatus,
    quota_reason,
    teams_status,
)
from coltsfootseam.results import Refusal, ResultCode


class WorkerView(msgspec.Struct):
    """A worker of a pool that this host owns."""

    worker_id: str
    machine_id: str
    zone: str
    is_reachable: bool
    is_draining: bool
    is_vacating: bool
    is_set_aside: bool
    runs: int


class PoolStatus(msgspec.Struct):
    """A pool that this host owns."""

    pool: str
    epoch: int
    jobs: int
    active_jobs: int
    queued_jobs: int
    workers: list[WorkerView]


class WaveStatus(msgspec.Struct):
    """A wave of maintenance that the operator asked for."""

    number: int
    machine_ids: list[str]
    limit: int
    duration_s: float


class ManagerStatus(msgspec.Struct):
    """The status of a manager.

    Attributes:
        host_id: Name of the entry host.
        incarnation: Unique name of this instance of the process.
        configuration_version: Version in force, 0 before the first.
        duties: Duties that it holds.
        pools: Pools that it owns.
        waves: Waves that it knows of.
        dropped_lines: Log lines dropped by the limits of the log.
        group_problems: Why calls to the group that assigns duties fail, by
            call.
    """

    host_id: str
    incarnation: str
    configuration_version: int
    duties: list[str]
    pools: list[PoolStatus]
    waves: list[WaveStatus]
    dropped_lines: int
    group_problems: dict[str, str]


class TaskStatus(msgspec.Struct):
    """A task that is not done, and what it waits for."""

    occurrence: int
    step: int
    index: int
    last_run: int
    failures: int
    workers: list[str]
    waits_for: str
    crashed_workers: list[str] = []


class JobStatus(msgspec.Struct):
    """A job of a pool that this host owns.

    Attributes:
        job_id: The caller's id of it.
        queue: Queue that it was submitted to.
        pool: Pool that runs its tasks.
        state: Its state.
        age_s: Time since it was accepted.
        open_tasks: Its tasks that aren't done.
        failure_reason: Why it failed, if not by its limit on attempts.
    """

    job_id: str
    queue: str
    pool: str
    state: str
    age_s: float
    open_tasks: list[TaskStatus]
    failure_reason: str = ""


class StatusPage:
    """Builds the status pages for operators."""

    __slots__ = ("_cluster", "_context", "_duties", "_group_problems")

    def __init__(
        self, context: Context, cluster: ClusterState, duties: DutyManager
    ) -> None:
        self._context = context
        self._cluster = cluster
        self._duties = duties
        self._group_problems: Mapping[str, Refusal] = {}

    def show_group_problems(
        self, refusals_by_call: Mapping[str, Refusal]
    ) -> None:
        """Sets the source of the failing calls that the status shows."""
        self._group_problems = refusals_by_call

    def manager(self) -> ManagerStatus:
        """Returns the status of this manager."""
        configuration = self._cluster.configuration
        return ManagerStatus(
            host_id=self._context.host_id,
            incarnation=self._context.incarnation,
            configuration_version=0
            if configuration is None
            else configuration.version,
            duties=self._duties.held(),
            pools=[_pool_status(state) for state in self._states()],
            waves=[
                WaveStatus(
                    wave.number,
                    list(wave.machine_ids),
                    wave.limit,
                    wave.duration_s,
                )
                for wave in self._cluster.waves_by_number.values()
            ],
            dropped_lines=self._context.log.dropped,
            group_problems={
                call: refusal.reason
                for call, refusal in self._group_problems.items()
            },
        )

    def job(self, job_id: str) -> JobStatus | Refusal:
        """Returns the status of a job and why its tasks wait."""
        for state in self._states():
            job = state.job_table.jobs_by_id.get(job_id)
            if job is not None:
                return _job_status(state, job)
        return Refusal(
            ResultCode.JOB_UNKNOWN, f"no pool of this host has job {job_id}"
        )

    def teams(self) -> TeamsStatus:
        """Returns the quotas of teams, if this host divides them."""
        owner = self._duties.duty(FLEET_DUTY)
        quotas = owner.quotas if isinstance(owner, FleetOwner) else None
        return teams_status(self._context, self._cluster, quotas)

    def _states(self) -> list[PoolState]:
        return [
            owner.state
            for _, owner in sorted(self._duties.owners_by_pool.items())
            if owner.state is not None
        ]


def _pool_status(state: PoolState) -> PoolStatus:
    active = state.job_table.active_by_id.values()
    now_s = state.now_s()
    return PoolStatus(
        pool=state.pool,
        epoch=state.journal.epoch,
        jobs=len(state.job_table.jobs_by_id),
        active_jobs=len(active),
        queued_jobs=sum(1 for job in active if job.state is JobState.QUEUED),
        workers=[
            WorkerView(
                worker_id=link.worker_id,
                machine_id=link.entry.machine_id,
                zone=link.entry.zone,
                is_reachable=link.is_reachable,
                is_draining=link.entry.is_draining,
                is_vacating=link.worker_id in state.evacuating_worker_ids,
                is_set_aside=state.health.is_quarantined(link.worker_id, now_s),
                runs=len(state.job_table.runs.runs_of(link.worker_id)),
            )
            for link in state.links_by_id.values()
        ],
    )


def _job_status(state: PoolState, job: Job) -> JobStatus:
    now_ms = state.wall_ms()
    return JobStatus(
        job_id=job.id,
        queue=job.request.queue,
        pool=state.pool,
        state=job.state.name.lower(),
        age_s=round((now_ms - job.request.accepted_ms) / 1000, 1),
        open_tasks=[
            _task_status(state, job, task)
            for task in job.tasks()
            if not task.is_done
        ],
        failure_reason=job.failure_reason,
    )


def _task_status(state: PoolState, job: Job, task: Task) -> TaskStatus:
    return TaskStatus(
        occurrence=task.id.occurrence,
        step=task.id.step,
        index=task.id.index,
        last_run=task.last_run_number,
        failures=task.failures,
        workers=[run.worker_id for run in task.runs],
        waits_for=_waiting_reason(state, job, task),
        crashed_workers=list(task.crashed_worker_ids),
    )


def _waiting_reason(state: PoolState, job: Job, task: Task) -> str:
    """Returns a short description of what a task waits for."""
    if job.state.is_final:
        return f"nothing, the job is {job.state.name.lower()}"
    if task.runs:
        phases = {run.phase.name.lower() for run in task.runs}
        return f"its run, which is {', '.join(sorted(phases))}"
    occurrence = job.occurrence(task.id.occurrence)
    if occurrence.due_ms > state.wall_ms():
        return "its due time"
    if not occurrence.is_step_ready(task.step):
        open_steps = [
            str(number)
            for number in task.step.after
            if occurrence.open_count_by_step[number]
        ]
        return f"steps {', '.join(open_steps)}"
    lacks_quota = quota_reason(state, task)
    if lacks_quota:
        return lacks_quota
    if task.is_suspect:
        return "a worker of its own, as workers crashed under it"
    reserved = describe_reservation(state, task)
    if reserved:
        return reserved
    if state.queue_of(job).advice is not None:
        return "a ticket of the policy service, or room"
    if task.step.label:
        return f"room on a worker labelled {task.step.label}"
    return "room"
