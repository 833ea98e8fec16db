"""Preempts runs in favor of steps of a higher priority.

Only tasks that save checkpoints are preempted, and best-effort tasks without a
limit on interruptions. The runs that would lose the least work go first.
"""

import msgspec

from coltsfootseam.jobs import Run, RunPhase, Task
from coltsfootseam.scheduling.placement import Shortage
from coltsfootseam.scheduling.worker_capacity import WorkerCapacity, step_key


class ResourceClaim(msgspec.Struct, frozen=True):
    """A run and the resources of a worker that it occupies.

    Attributes:
        task: The task.
        run: Its run.
        priority: Priority of its queue; 0 comes first.
        unsaved_s: Work that would be lost if it were stopped now.
    """

    task: Task
    run: Run
    priority: int
    unsaved_s: float

    def is_stopping(self) -> bool:
        """Returns whether its resources are about to become free anyway."""
        return self.run.phase is RunPhase.STOPPING


class _Candidate(msgspec.Struct):
    worker: WorkerCapacity
    victims: list[ResourceClaim]

    def rank(self) -> tuple[float, int]:
        lost_s = sum(victim.unsaved_s for victim in self.victims)
        return lost_s, len(self.victims)


class _CapacityState(msgspec.Struct):
    workers: list[WorkerCapacity]
    claims_by_worker: dict[str, list[ResourceClaim]]

    def copy(self) -> "_CapacityState":
        return _CapacityState(
            [_copy_worker(worker) for worker in self.workers],
            dict(self.claims_by_worker),
        )

    def stop(
        self, worker: WorkerCapacity, victims: list[ResourceClaim]
    ) -> None:
        self.claims_by_worker[worker.worker_id] = [
            claim
            for claim in self.claims_by_worker.get(worker.worker_id, ())
            if claim not in victims
        ]
        for victim in victims:
            worker.release(victim.task.step, step_key(victim.task.id))


def plan_preemption(
    shortages: list[Shortage],
    workers: list[WorkerCapacity],
    claims_by_worker: dict[str, list[ResourceClaim]],
) -> list[ResourceClaim]:
    """Chooses the runs to stop.

    Args:
        shortages: Tasks that could not be placed, in the order in which they
            are to be served.
        workers: Free capacity after the starts of this planning round.
        claims_by_worker: All runs that occupy resources.

    Returns:
        The runs to stop. Runs that are stopping already are counted first, so
        that no more are stopped than needed.
    """
    state = _CapacityState(
        [worker for worker in workers if worker.is_open], dict(claims_by_worker)
    )
    stops: list[ResourceClaim] = []
    for shortage in shortages:
        if shortage.needs_ticket or shortage.ready.step.best_effort:
            continue
        candidate_state = state.copy()
        victims = _choose_victims(shortage, candidate_state)
        if victims is not None:
            state = candidate_state
            stops.extend(victims)
    return stops


def _choose_victims(
    shortage: Shortage, state: _CapacityState
) -> list[ResourceClaim] | None:
    """Returns the runs to stop, ``None`` if a gang still wouldn't fit whole."""
    stops: list[ResourceClaim] = []
    step = shortage.ready.step
    for _ in range(shortage.count):
        best = _best_candidate(shortage, state)
        if best is None:
            return None if step.gang else stops
        state.stop(best.worker, best.victims)
        best.worker.reserve(step, shortage.key())
        stops.extend(
            victim for victim in best.victims if not victim.is_stopping()
        )
    return stops


def _best_candidate(
    shortage: Shortage, state: _CapacityState
) -> _Candidate | None:
    candidates = []
    for worker in state.workers:
        if not worker.may_run(shortage.ready.step, shortage.key()):
            continue
        claims = state.claims_by_worker.get(worker.worker_id, [])
        victims = _victims_on(shortage, worker, claims)
        if victims is not None:
            candidates.append(_Candidate(worker, victims))
    return min(candidates, key=_Candidate.rank, default=None)


def _victims_on(
    shortage: Shortage, worker: WorkerCapacity, claims: list[ResourceClaim]
) -> list[ResourceClaim] | None:
    """Returns the runs to stop for one task, ``None`` if it can't fit."""
    step = shortage.ready.step
    usable = [claim for claim in claims if _is_preemptible(claim, shortage)]
    usable.sort(key=lambda claim: (not claim.is_stopping(), claim.unsaved_s))
    free = _copy_worker(worker)
    victims: list[ResourceClaim] = []
    for claim in usable:
        if free.fits(step):
            break
        free.release(claim.task.step, step_key(claim.task.id))
        victims.append(claim)
    return victims if free.fits(step) else None


def _is_preemptible(claim: ResourceClaim, shortage: Shortage) -> bool:
    if claim.is_stopping():
        return True
    step = claim.task.step
    if claim.priority <= shortage.ready.queue.priority or step.gang:
        return False
    if step.long_running:
        return step.best_effort and step.may_miss is None
    return step.checkpointing


def _copy_worker(worker: WorkerCapacity) -> WorkerCapacity:
    return msgspec.structs.replace(
        worker, counts_by_step=dict(worker.counts_by_step)
    )
