"""Describes reservations to operators."""

from coltsfootseam.jobs import Task
from coltsfootseam.manager.pools.pool_state import PoolState
from coltsfootseam.scheduling import step_key


def describe_reservation(state: PoolState, task: Task) -> str:
    """Returns what a reservation says about a waiting task, or empty."""
    reservation = state.reservations_by_step.get(step_key(task.id))
    first = None if reservation is None else reservation.first_due()
    if first is None:
        return ""
    now_s = state.now_s()
    expected_s = max(0.0, first.due.expected_s - now_s)
    early_s = max(0.0, first.due.early_s - now_s)
    late_s = max(0.0, first.due.late_s - now_s)
    return (
        f"a reservation on worker {first.worker_id}, expected in "
        f"{expected_s:.1f} s ({early_s:.1f} to {late_s:.1f} s)"
    )
