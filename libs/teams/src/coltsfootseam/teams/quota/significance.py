"""Which changes of a team's use are worth reporting at once."""

import msgspec

from coltsfootseam.jobs import Resources
from coltsfootseam.teams.quota.amounts import NOTHING
from coltsfootseam.teams.quota.usage import TeamUsage

_LIST_ALL_AFTER_S = 1.0
"""Age of a listing after which any difference is reported.

It bounds how long quota that a pool no longer uses stays unknown to others. A
team that waits is listed again, so that its claim doesn't expire.
"""

_SIGNIFICANT_PARTS = 4
"""A change by one part of this many is reported at once."""

_WAIT_DIFFERENCE_S = 0.5
"""A first waiting task that began this much later or earlier is another."""


class Listed(msgspec.Struct, frozen=True):
    """What was last reported of a team.

    Attributes:
        held: What the pool held.
        usage: What the team used and waited for.
        listed_s: Time of that report.
    """

    held: Resources
    usage: TeamUsage
    listed_s: float


def is_significant(
    listed: Listed | None, held: Resources, usage: TeamUsage, now_s: float
) -> bool:
    """Returns whether a team belongs into the next report.

    Whatever changes the amount that the coordinator must count does: what is
    held, and use beyond it.
    """
    if listed is None:
        return True
    before = listed.usage
    if held != listed.held:
        return True
    if usage == before:
        return False
    if _is_first_other(listed, usage, now_s):
        return True
    if now_s - listed.listed_s >= _LIST_ALL_AFTER_S:
        return usage.used != before.used or usage.waiting != NOTHING
    if usage.used != before.used and not usage.used.fits_within(held):
        return True
    if (usage.waiting == NOTHING) != (before.waiting == NOTHING):
        return True
    if usage.next_start != before.next_start:
        return True
    return _is_far(usage.used, before.used, held) or _is_far(
        usage.waiting, before.waiting, before.waiting
    )


def _is_first_other(listed: Listed, usage: TeamUsage, now_s: float) -> bool:
    """Returns whether another task waits first than in the last report."""
    if usage.waiting == NOTHING:
        return False
    expected_s = listed.usage.waited_s + now_s - listed.listed_s
    return abs(usage.waited_s - expected_s) > _WAIT_DIFFERENCE_S


def _is_far(one: Resources, other: Resources, scale: Resources) -> bool:
    difference = one.minus(other)
    return (
        abs(difference.cpu_millis) * _SIGNIFICANT_PARTS > scale.cpu_millis
        or abs(difference.memory_mb) * _SIGNIFICANT_PARTS > scale.memory_mb
        or abs(difference.accelerators) * _SIGNIFICANT_PARTS
        > scale.accelerators
    )
