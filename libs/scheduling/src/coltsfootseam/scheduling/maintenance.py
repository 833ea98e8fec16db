"""Chooses which machines of a wave are evacuated and maintained next.

A wave is a list of machines that an operator submits for maintenance, with a
time limit and a limit on how many may be down at once.
"""

import msgspec

_EXPECTED_MAINTENANCE_S = 4.0
_DEADLINE_MARGIN_S = 6.0


class DueMachine(msgspec.Struct, frozen=True):
    """A machine that is due for maintenance.

    Attributes:
        machine_id: Id of the machine.
        pool: Pool that it is in.
        is_on_standby: Whether it is in the standby pool.
        is_idle: Whether it runs no tasks.
        has_waiting_work: Whether tasks wait for capacity in its pool.
        is_selected: Whether it was chosen before and is being evacuated.
    """

    machine_id: str
    pool: str
    is_on_standby: bool
    is_idle: bool
    has_waiting_work: bool
    is_selected: bool = False


class WaveProgress(msgspec.Struct):
    """Progress of the maintenance of a wave's machines.

    Attributes:
        first_seen_s: When this process first saw the wave, monotonic seconds.
        started_ids: Machines whose maintenance has started.
        busy_until_s_by_id: Machines in maintenance, with the earliest time at
            which they are back.
        ordered_workers_by_id: Machines that were or are about to be ordered,
            each with the worker that ran on it before the first order, empty
            if there was none. Only that worker has ended for certain once the
            platform reports the order as done: it may have been carried out
            long before, and another worker may run there by now.
        uncertain_ids: Machines among them whose order has an unknown outcome.
        is_complete: Whether the maintenance of all machines is over.
    """

    first_seen_s: float = 0.0
    started_ids: set[str] = set()
    busy_until_s_by_id: dict[str, float] = {}
    ordered_workers_by_id: dict[str, str] = {}
    uncertain_ids: set[str] = set()
    is_complete: bool = False


def choose_maintenance(
    due: list[DueMachine],
    free_slots: int,
    remaining_s: float,
    limit: int,
    busy_count_by_pool: dict[str, int],
) -> list[str]:
    """Returns the ids of the machines to maintain next, most suitable first.

    Machines on standby come first, then those that are being evacuated, then
    idle ones. Machines of pools with waiting tasks are deferred as long as the
    wave can still meet its deadline.

    Args:
        due: Machines whose maintenance hasn't started.
        free_slots: How many may be chosen now.
        remaining_s: Time left until the deadline of the wave.
        limit: How many machines may be down at once.
        busy_count_by_pool: How many machines of each pool are in maintenance.
    """
    batches = -(-len(due) // max(1, limit))
    is_urgent = (
        remaining_s < batches * _EXPECTED_MAINTENANCE_S + _DEADLINE_MARGIN_S
    )
    candidates = [
        machine
        for machine in due
        if is_urgent
        or machine.is_on_standby
        or machine.is_selected
        or not machine.has_waiting_work
    ]
    down_count_by_pool = dict(busy_count_by_pool)
    chosen: list[str] = []
    while candidates and len(chosen) < free_slots:
        best = min(
            candidates,
            key=lambda machine: _sort_key(machine, down_count_by_pool),
        )
        candidates.remove(best)
        chosen.append(best.machine_id)
        down_count_by_pool[best.pool] = down_count_by_pool.get(best.pool, 0) + 1
    return chosen


def _sort_key(
    machine: DueMachine, down_count_by_pool: dict[str, int]
) -> tuple[bool, bool, bool, bool, int, str]:
    return (
        not machine.is_on_standby,
        not machine.is_selected,
        not machine.is_idle,
        machine.has_waiting_work,
        down_count_by_pool.get(machine.pool, 0),
        machine.machine_id,
    )
