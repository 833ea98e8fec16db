"""Stops runs of low priority where a higher one lacks capacity."""

from coltsfootseam.jobs import RunPair
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.scheduling import (
    ResourceClaim,
    Shortage,
    WorkerCapacity,
    plan_preemption,
)


def preempt(
    state: PoolState, shortages: list[Shortage], workers: list[WorkerCapacity]
) -> None:
    """Preempts runs of lower priority, which resume from their checkpoint.

    Args:
        state: The state of the pool.
        shortages: What could not be placed in this planning round.
        workers: The free capacity of each worker; modified.
    """
    if not shortages:
        return
    highest = min(item.ready.queue.priority for item in shortages)
    lowest = max(
        state.queue_of(job).priority
        for job in state.job_table.active_by_id.values()
    )
    if lowest <= highest:
        return
    claims_by_worker = {
        worker.worker_id: [
            _to_claim(state, pair)
            for pair in state.job_table.runs.runs_of(worker.worker_id)
        ]
        for worker in workers
    }
    for claim in plan_preemption(shortages, workers, claims_by_worker):
        state.job_table.stop_run(
            claim.task, claim.run, "a higher priority needs its capacity"
        )


def _to_claim(state: PoolState, pair: RunPair) -> ResourceClaim:
    task, run = pair
    job = state.job_table.jobs_by_id[task.id.job_id]
    is_saved = task.step.checkpointing
    age_s = state.now_s() - run.ordered_s
    return ResourceClaim(
        task,
        run,
        state.queue_of(job).priority,
        unsaved_s=0.0 if is_saved else age_s,
    )
