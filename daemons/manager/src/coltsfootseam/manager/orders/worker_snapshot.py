"""Snapshots of the free capacity of a pool's workers, to plan with."""

from coltsfootseam.jobs import Run, Task
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.scheduling import (
    WorkerCapacity,
    WorkerSize,
    crashes_late,
    is_proven,
    step_key,
)
from coltsfootseam.workers import WorkerLink, instance_of

_MS_PER_S = 1000
_MAX_ISOLATION_S = 10.0
"""After this time the worker of a suspect, such as one that never ends, gets
other tasks again."""


def worker_capacities(state: PoolState) -> list[WorkerCapacity]:
    """Returns a snapshot of the free capacity of each worker of a pool."""
    workers_by_id = {
        link.worker_id: _empty_capacity(state, link)
        for link in state.links_by_id.values()
        if not link.is_gone
    }
    crash_rate = state.crashes_per_worker_s()
    for worker_id, worker in workers_by_id.items():
        for task, run in (
            *state.job_table.runs.runs_of(worker_id),
            *state.lives.pending_runs(instance_of(worker_id)),
        ):
            age_s = state.now_s() - run.ordered_s
            _add_run(worker, task, run, age_s, crash_rate)
    return list(workers_by_id.values())


def _empty_capacity(state: PoolState, link: WorkerLink) -> WorkerCapacity:
    entry = link.entry
    worker_id = link.worker_id
    is_open = (
        link.is_reachable
        and not entry.is_draining
        and worker_id not in state.evacuating_worker_ids
        and not state.health.is_quarantined(worker_id, state.now_s())
    )
    return WorkerCapacity(
        worker_id=worker_id,
        zone=entry.zone,
        rack=entry.labels[-1] if entry.labels else "",
        labels=entry.labels,
        free_cpu_millis=entry.cpu_millis,
        free_memory_mb=entry.memory_mb,
        free_accelerators=entry.accelerators,
        is_open=is_open,
        is_surplus=worker_id in state.surplus_worker_ids,
        probation_slots=state.health.probation_slots(worker_id),
        slowness=state.health.slowness(worker_id),
        counts_by_step={},
        size=WorkerSize(entry.cpu_millis, entry.memory_mb, entry.accelerators),
    )


def _add_run(
    worker: WorkerCapacity,
    task: Task,
    run: Run,
    age_s: float,
    crash_rate: float,
) -> None:
    """Adds an active run to the snapshot of its worker."""
    probation_slots = worker.probation_slots
    worker.reserve(task.step, step_key(task.id))
    if probation_slots is not None and task.step.long_running:
        worker.probation_slots = probation_slots
    estimate_s = task.step.estimate_ms / _MS_PER_S
    worker.remaining_s = max(worker.remaining_s, estimate_s - age_s)
    worker.long_running_count += task.step.long_running
    if not run.is_isolated:
        worker.has_only_isolated = False
    elif age_s < _MAX_ISOLATION_S:
        worker.is_isolating |= not is_proven(run) or crashes_late(
            task, crash_rate
        )
    if not is_proven(run):
        worker.unproven_count += 1
        worker.has_unproven_suspect |= bool(task.crashed_worker_ids)
