"""Rules for reservations, by name.

Rules are registered in :data:`LOOK_AHEAD_RULES`.
"""

import msgspec

from coltsfootseam.scheduling.registry import Registry


class LookAheadRule(msgspec.Struct, frozen=True):
    """Limits of reservations.

    Attributes:
        max_steps: How many steps may have a reservation at once, 0 for none.
        worker_share: Share of the open workers that may be reserved.
        max_workers: How many workers may be reserved, in a pool of any size;
            it bounds the duration of a planning round.
        may_backfill: Whether other steps may use reserved workers at all.
        max_life_s: A reservation under which no task has started for this
            time is given up.
        retry_s: How long its step then waits for another one.
        max_hold_s: How long a reservation may hold back a step that is ahead
            of it in the order, 0 for not at all.
        min_size_share: Steps whose tasks request at least this share of a
            worker may get reservations.
        lateness: Jobs that have waited for this multiple of their objective
            get no reservation.
    """

    max_steps: int = 4
    worker_share: float = 0.25
    max_workers: int = 32
    may_backfill: bool = True
    max_life_s: float = 2.0
    retry_s: float = 1.0
    max_hold_s: float = 0.5
    min_size_share: float = 0.15
    lateness: float = 3.0


LOOK_AHEAD_RULES: Registry[LookAheadRule] = Registry("look-ahead rule")
"""Limits of reservations by name of the policy."""

NONE = LookAheadRule(max_steps=0)

LOOK_AHEAD_RULES.register("none")(NONE)
LOOK_AHEAD_RULES.register("reserve")(LookAheadRule(max_hold_s=0.0))
LOOK_AHEAD_RULES.register("reserve_hold")(LookAheadRule())
LOOK_AHEAD_RULES.register("reserve_one")(
    LookAheadRule(max_steps=1, max_hold_s=0.0)
)
LOOK_AHEAD_RULES.register("reserve_many")(
    LookAheadRule(max_steps=12, worker_share=0.5, max_hold_s=0.0)
)
LOOK_AHEAD_RULES.register("clear")(
    LookAheadRule(may_backfill=False, max_hold_s=0.0)
)
