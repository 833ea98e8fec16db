"""What a team uses of a pool and waits for."""

import msgspec

from coltsfootseam.jobs import Resources


class TeamUsage(msgspec.Struct, frozen=True):
    """What a team uses of a pool and waits for.

    Attributes:
        used: What its runs use: dispatched, running, being stopped or of
            unknown state.
        waiting: What its tasks that are ready but lack quota would use.
        next_start: What the first of them needs to start at once: one task, or
            a whole gang.
        waited_s: How long that one has waited.
    """

    used: Resources = Resources()
    waiting: Resources = Resources()
    next_start: Resources = Resources()
    waited_s: float = 0.0
