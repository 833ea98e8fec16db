"""Calculation with amounts of resources, one resource at a time."""

from coltsfootseam.jobs import Resources
from coltsfootseam.teams.quota.messages import NO_LIMIT

NOTHING = Resources()

_BEYOND_ALL_GRANTS = NO_LIMIT << 10


def smaller(one: Resources, other: Resources) -> Resources:
    """Returns the smaller amount of each resource."""
    return Resources(
        min(one.cpu_millis, other.cpu_millis),
        min(one.memory_mb, other.memory_mb),
        min(one.accelerators, other.accelerators),
    )


def larger(one: Resources, other: Resources) -> Resources:
    """Returns the larger amount of each resource."""
    return Resources(
        max(one.cpu_millis, other.cpu_millis),
        max(one.memory_mb, other.memory_mb),
        max(one.accelerators, other.accelerators),
    )


def not_negative(amounts: Resources) -> Resources:
    """Returns the amounts with 0 in place of negative ones."""
    return larger(amounts, NOTHING)


def divided(amounts: Resources, parts: int) -> Resources:
    """Returns one of ``parts`` equal parts, rounded down."""
    return Resources(
        amounts.cpu_millis // parts,
        amounts.memory_mb // parts,
        amounts.accelerators // parts,
    )


def capacity_of(limit: Resources) -> Resources:
    """Returns a limit with an unreachable amount where it has none."""
    return Resources(
        limit.cpu_millis or _BEYOND_ALL_GRANTS,
        limit.memory_mb or _BEYOND_ALL_GRANTS,
        limit.accelerators or _BEYOND_ALL_GRANTS,
    )


def without_limits(target: Resources, limit: Resources) -> Resources:
    """Returns a target with ``NO_LIMIT`` where the limit has no amount."""
    return Resources(
        target.cpu_millis if limit.cpu_millis else NO_LIMIT,
        target.memory_mb if limit.memory_mb else NO_LIMIT,
        target.accelerators if limit.accelerators else NO_LIMIT,
    )


def raised(low: Resources, high: Resources, more: Resources) -> Resources:
    """Returns ``high + more`` where more is wanted, and ``low`` elsewhere."""
    return Resources(
        high.cpu_millis + more.cpu_millis
        if more.cpu_millis
        else low.cpu_millis,
        high.memory_mb + more.memory_mb if more.memory_mb else low.memory_mb,
        high.accelerators + more.accelerators
        if more.accelerators
        else low.accelerators,
    )
