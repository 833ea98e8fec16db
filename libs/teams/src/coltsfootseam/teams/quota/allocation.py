"""How the free quota of a team is divided among pools.

Free is what the team's runs don't use. While a pool waits, the pool whose step
has waited longest is served first, with at least one whole start; else half of
the free quota stays with the coordinator and the rest follows use.
"""

from collections.abc import Iterable, Mapping

import msgspec

from coltsfootseam.jobs import Resources
from coltsfootseam.teams.quota.amounts import (
    NOTHING,
    divided,
    not_negative,
    smaller,
)

_FIRST_RESERVATION_S = 60.0

_WITHDRAW_AFTER_S = 1.0
"""Wait from which a start takes quota from runs that end in other pools.

Earlier, pools that share a quota would lose a round trip at each end of a run.
"""


class Claim(msgspec.Struct, frozen=True):
    """A pool that waits for quota.

    Attributes:
        pool: The pool.
        waiting: What its waiting tasks would use.
        next_start: What the first of them needs to start at once.
        waited_s: How long that one has waited.
    """

    pool: str
    waiting: Resources
    next_start: Resources
    waited_s: float


class Division(msgspec.Struct, frozen=True):
    """How free quota is divided, and what is missing.

    Attributes:
        parts_by_pool: What each pool should get beyond what it uses; pools
            that should get nothing are missing.
        missing: What all starts lack that have waited for a while.
        missing_before_pool: By waiting pool, what starts lack that have
            waited longer than its own.
    """

    parts_by_pool: Mapping[str, Resources]
    missing: Resources = NOTHING
    missing_before_pool: Mapping[str, Resources] = {}


def divide_free(
    free: Resources, limit: Resources, claims: Iterable[Claim]
) -> Division:
    """Divides free quota among the pools that wait.

    A claim whose next start doesn't fit reserves what is free of its
    resources for part of the time, so that it fits eventually. A start that
    exceeds the limit reserves nothing.

    Args:
        free: What no run uses; negative amounts count as 0.
        limit: The team's limit, with an amount for each resource.
        claims: The pools that wait.

    Returns:
        What each pool should get, and what is missing.
    """
    left = not_negative(free)
    ordered = sorted(claims, key=lambda claim: (-claim.waited_s, claim.pool))
    parts_by_pool: dict[str, Resources] = {}
    missing = NOTHING
    missing_before_pool = {}
    served = []
    for claim in ordered:
        missing_before_pool[claim.pool] = missing
        if claim.next_start.fits_within(left):
            parts_by_pool[claim.pool] = claim.next_start
            left = left.minus(claim.next_start)
            served.append(claim)
        elif _reserves(claim, limit):
            reserved = smaller(left, claim.next_start)
            left = left.minus(reserved)
            if claim.waited_s >= _WITHDRAW_AFTER_S:
                lacking = claim.next_start.minus(reserved)
                missing = missing.plus(lacking)
    _divide_rest(left, served, parts_by_pool)
    return Division(parts_by_pool, missing, missing_before_pool)


def withdrawn(
    missing: Resources, used: Resources, all_used: Resources
) -> Resources:
    """Returns what a pool must not use again once its runs end.

    Starts that lack quota get it from all pools by their use. Without this, a
    pool that replaces each run that ends would never free any.

    Args:
        missing: What starts lack that go before the pool's own.
        used: What the team's runs in the pool use.
        all_used: What the team's runs in all pools use.
    """
    return Resources(
        _part(missing.cpu_millis, used.cpu_millis, all_used.cpu_millis),
        _part(missing.memory_mb, used.memory_mb, all_used.memory_mb),
        _part(missing.accelerators, used.accelerators, all_used.accelerators),
    )


def _part(missing: int, part: int, whole: int) -> int:
    if whole <= 0:
        return 0
    return min(part, -(-missing * part // whole))


def headroom(
    free: Resources, used: Resources, all_used: Resources
) -> Resources:
    """Returns what a pool may hold beyond its use while no pool waits.

    Args:
        free: What no run uses.
        used: What the team's runs in the pool use.
        all_used: What the team's runs in all pools use.
    """
    half = divided(not_negative(free), 2)
    return Resources(
        _share(half.cpu_millis, used.cpu_millis, all_used.cpu_millis),
        _share(half.memory_mb, used.memory_mb, all_used.memory_mb),
        _share(half.accelerators, used.accelerators, all_used.accelerators),
    )


def _share(amount: int, part: int, whole: int) -> int:
    return amount * part // whole if whole > 0 else 0


def _reserves(claim: Claim, limit: Resources) -> bool:
    """Returns whether a start that doesn't fit holds free quota back now.

    Reserving and not reserving take turns that double from one minute on: runs
    shorter than a turn end within it, and next to runs that never end the
    other pools aren't held up for good.
    """
    if not claim.next_start.fits_within(limit):
        return False
    turns = int(claim.waited_s / _FIRST_RESERVATION_S) + 1
    return turns.bit_length() % 2 == 1


def _divide_rest(
    left: Resources,
    served: list[Claim],
    parts_by_pool: dict[str, Resources],
) -> None:
    """Divides what is left after each pool's next start, evenly at first."""
    for is_even in (True, False):
        for position, claim in enumerate(served):
            part = parts_by_pool[claim.pool]
            share = divided(left, len(served) - position) if is_even else left
            more = smaller(share, not_negative(claim.waiting.minus(part)))
            if more == NOTHING:
                continue
            parts_by_pool[claim.pool] = part.plus(more)
            left = left.minus(more)
