"""Which machines of a wave are emptied and maintained next."""

import msgspec


class MachineView(msgspec.Struct, frozen=True):
    """A machine as the planning of maintenance sees it."""

    machine_id: str
    pool: str
    rack: str
    is_up: bool


class WaveProgress(msgspec.Struct):
    """How far a wave is.

    Attributes:
        begun_ids: Machines whose maintenance has begun.
        busy_until_s_by_id: Machines that are in maintenance, and the earliest
            moment at which they are back.
        is_complete: Whether all of it is done.
    """

    begun_ids: set[str] = set()
    busy_until_s_by_id: dict[str, float] = {}
    is_complete: bool = False


def choose_maintenance(
    machine_ids: tuple[str, ...],
    limit: int,
    progress: WaveProgress,
    views_by_id: dict[str, MachineView],
) -> list[str]:
    """Chooses the machines that are wanted now, at most ``limit`` at once.

    Machines are taken from the pool of which fewest are away, so that no pool
    loses many at the same time.
    """
    waiting = [
        views_by_id[machine_id]
        for machine_id in machine_ids
        if machine_id in views_by_id
        and machine_id not in progress.begun_ids
        and views_by_id[machine_id].is_up
    ]
    away_by_pool: dict[str, int] = {}
    for machine_id in progress.busy_until_s_by_id:
        view = views_by_id.get(machine_id)
        if view is not None:
            away_by_pool[view.pool] = away_by_pool.get(view.pool, 0) + 1
    chosen: list[str] = []
    free = limit - len(progress.busy_until_s_by_id)
    while waiting and len(chosen) < free:
        best = min(
            waiting,
            key=lambda view: (away_by_pool.get(view.pool, 0), view.machine_id),
        )
        waiting.remove(best)
        chosen.append(best.machine_id)
        away_by_pool[best.pool] = away_by_pool.get(best.pool, 0) + 1
    return chosen
