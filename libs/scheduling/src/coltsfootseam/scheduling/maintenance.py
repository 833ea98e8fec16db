"""Which machines of a wave are emptied and maintained next."""

import msgspec

_MAINTENANCE_S = 4.0
_SLACK_S = 6.0


class DueMachine(msgspec.Struct, frozen=True):
    """A machine that waits for its maintenance.

    Attributes:
        machine_id: Name of the machine.
        pool: Pool that it is in.
        is_off: Whether it is on standby.
        is_free: Whether it runs nothing.
        has_waiting_work: Whether work waits for room in its pool.
        is_selected: Whether it was chosen before and is being emptied.
    """

    machine_id: str
    pool: str
    is_off: bool
    is_free: bool
    has_waiting_work: bool
    is_selected: bool = False


class WaveProgress(msgspec.Struct):
    """How far a wave is.

    Attributes:
        first_seen_s: When it was first seen, monotonic seconds.
        started_ids: Machines whose maintenance has begun.
        busy_until_s_by_id: Machines that are in maintenance, and the earliest
            moment at which they are back.
        uncertain_ids: Machines whose order got no answer.
        is_complete: Whether all of it is done.
    """

    first_seen_s: float = 0.0
    started_ids: set[str] = set()
    busy_until_s_by_id: dict[str, float] = {}
    uncertain_ids: set[str] = set()
    is_complete: bool = False


def choose_maintenance(
    due: list[DueMachine],
    free_slots: int,
    left_s: float,
    limit: int,
    busy_by_pool: dict[str, int],
) -> list[str]:
    """Chooses the machines that are wanted now.

    Machines that are off or run nothing come first. Pools in which work waits
    are spared as long as the wave can still be over in time without them.

    Args:
        due: Machines whose maintenance hasn't begun.
        free_slots: How many may be wanted or down now.
        left_s: Time until the wave should be over.
        limit: Most machines down at once.
        busy_by_pool: How many machines of each pool are in maintenance.
    """
    rounds = -(-len(due) // max(1, limit))
    is_urgent = left_s < rounds * _MAINTENANCE_S + _SLACK_S
    waiting = [
        machine
        for machine in due
        if is_urgent
        or machine.is_off
        or machine.is_selected
        or not machine.has_waiting_work
    ]
    away_by_pool = dict(busy_by_pool)
    chosen: list[str] = []
    while waiting and len(chosen) < free_slots:
        best = min(waiting, key=lambda machine: _rank(machine, away_by_pool))
        waiting.remove(best)
        chosen.append(best.machine_id)
        away_by_pool[best.pool] = away_by_pool.get(best.pool, 0) + 1
    return chosen


def _rank(
    machine: DueMachine, away_by_pool: dict[str, int]
) -> tuple[bool, bool, bool, bool, int, str]:
    return (
        not machine.is_off,
        not machine.is_selected,
        not machine.is_free,
        machine.has_waiting_work,
        away_by_pool.get(machine.pool, 0),
        machine.machine_id,
    )
