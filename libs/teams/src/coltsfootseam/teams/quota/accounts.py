"""What the coordinator knows of one team's use of its quota."""

from coltsfootseam.jobs import Resources
from coltsfootseam.teams.quota.allocation import (
    Claim,
    Division,
    divide_free,
    headroom,
    withdrawn,
)
from coltsfootseam.teams.quota.amounts import (
    NOTHING,
    capacity_of,
    larger,
    not_negative,
    raised,
    smaller,
    without_limits,
)
from coltsfootseam.teams.quota.messages import TeamReport

_DIVIDE_EVERY_S = 0.1
"""Age up to which the division among many waiting pools is used again."""

_FEW_CLAIMS = 8
"""Number of waiting pools up to which each change is divided at once."""

_CLAIM_LASTS_S = 2.0
"""Time after which a pool that no longer reports has no claim."""


class PoolAccount:
    """What one pool holds and uses of a team's quota, and waits for.

    Attributes:
        held: What it held by its latest report.
        counted: What it is counted with: the greatest of what it holds, uses
            and was granted since its latest report.
        used: What it uses.
        waiting: What its waiting tasks would use.
        next_start: What the first of them needs to start at once.
        waiting_since_s: Since when that one waits.
        reported_s: Time of the report.
    """

    __slots__ = (
        "counted",
        "held",
        "next_start",
        "reported_s",
        "used",
        "waiting",
        "waiting_since_s",
    )

    def __init__(self, report: TeamReport, now_s: float) -> None:
        self.held = report.held
        self.used = report.used
        self.counted = larger(report.held, report.used)
        self.waiting = report.waiting
        self.next_start = report.next_start
        self.waiting_since_s = now_s - report.waited_s
        self.reported_s = now_s

    def is_empty(self) -> bool:
        """Returns whether the pool counts for nothing and wants nothing."""
        return self.counted == NOTHING and self.waiting == NOTHING


class TeamAccount:
    """What all pools hold and use of a team's quota.

    Attributes:
        limit: The team's limit; 0 is no limit in a resource.
        accounts_by_pool: What each pool holds and uses.
        waiting_pools: The pools that wait.
    """

    __slots__ = (
        "_capacity",
        "_counted",
        "_divided_s",
        "_division",
        "_has_changed",
        "_used",
        "accounts_by_pool",
        "limit",
        "waiting_pools",
    )

    def __init__(self, limit: Resources) -> None:
        self.accounts_by_pool: dict[str, PoolAccount] = {}
        self.waiting_pools: set[str] = set()
        self._counted = NOTHING
        self._used = NOTHING
        self._division = Division({})
        self._divided_s = 0.0
        self.set_limit(limit)

    def set_limit(self, limit: Resources) -> None:
        """Changes the limit."""
        self.limit = limit
        self._capacity = capacity_of(limit)
        self._has_changed = True

    def record(self, pool: str, report: TeamReport, now_s: float) -> None:
        """Replaces what is known of a pool."""
        self.remove(pool)
        account = PoolAccount(report, now_s)
        if account.is_empty():
            return
        self.accounts_by_pool[pool] = account
        self._counted = self._counted.plus(account.counted)
        self._used = self._used.plus(account.used)
        if account.waiting != NOTHING:
            self.waiting_pools.add(pool)

    def remove(self, pool: str) -> None:
        """Removes a pool that holds and uses nothing."""
        account = self.accounts_by_pool.pop(pool, None)
        self._has_changed = True
        if account is None:
            return
        self._counted = self._counted.minus(account.counted)
        self._used = self._used.minus(account.used)
        self.waiting_pools.discard(pool)

    def is_over_limit(self) -> bool:
        """Returns whether the pools may use more than the limit."""
        return not self._counted.fits_within(self._capacity)

    def decide(
        self, pool: str, may_change: bool, may_grow: bool, now_s: float
    ) -> Resources:
        """Returns what a pool may use from now on, and counts it.

        Args:
            pool: A pool that the team has an account for.
            may_change: Whether grants may grow at all, so that lowering one
                serves others.
            may_grow: Whether this pool may get more than it holds.
            now_s: Present time.
        """
        account = self.accounts_by_pool[pool]
        target = self._target(pool, account, now_s)
        granted = account.held
        if may_change or self.is_over_limit():
            granted = smaller(granted, target)
        if may_grow:
            granted = self._grow(account, granted, target)
        return granted

    def _target(
        self, pool: str, account: PoolAccount, now_s: float
    ) -> Resources:
        """Returns what the pool should hold if all others held theirs."""
        if self.waiting_pools:
            more = self._part(pool, account, now_s)
        else:
            free = self._capacity.minus(self._used)
            more = headroom(free, account.used, self._used)
            more = _settled(account.held.minus(account.used), more)
        # After a limit was lowered, runs that end aren't replaced until what
        # is left fits within it.
        excess = not_negative(self._used.minus(self._capacity))
        over = withdrawn(excess, account.used, self._used)
        target = not_negative(account.used.plus(more).minus(over))
        return without_limits(target, self.limit)

    def _part(self, pool: str, account: PoolAccount, now_s: float) -> Resources:
        """Returns what a pool should get beyond its use, or lose of it."""
        division = self._divide(now_s)
        part = division.parts_by_pool.get(pool, NOTHING)
        missing = division.missing
        if pool in self.waiting_pools:
            before = division.missing_before_pool
            missing = before.get(pool, NOTHING)
        if missing == NOTHING:
            return part
        return part.minus(withdrawn(missing, account.used, self._used))

    def _divide(self, now_s: float) -> Division:
        age_s = now_s - self._divided_s
        is_due = self._has_changed and (
            len(self.waiting_pools) <= _FEW_CLAIMS or age_s >= _DIVIDE_EVERY_S
        )
        if not is_due and age_s < _CLAIM_LASTS_S:
            return self._division
        self._has_changed = False
        self._divided_s = now_s
        free = self._capacity.minus(self._used)
        claims = [
            claim
            for pool in self.waiting_pools
            if (claim := self._claim(pool, now_s)) is not None
        ]
        self._division = divide_free(free, self._capacity, claims)
        return self._division

    def _claim(self, pool: str, now_s: float) -> Claim | None:
        account = self.accounts_by_pool[pool]
        if now_s - account.reported_s > _CLAIM_LASTS_S:
            return None
        waited_s = now_s - account.waiting_since_s
        return Claim(pool, account.waiting, account.next_start, waited_s)

    def _grow(
        self, account: PoolAccount, held: Resources, target: Resources
    ) -> Resources:
        """Returns a grant of at least ``held``, more only if it can be used.

        What the pool is counted with already isn't granted again while it is
        more than the pool holds: its runs may exceed a lowered limit.
        """
        room = not_negative(self._capacity.minus(self._counted))
        wanted = not_negative(target.minus(account.counted))
        more = smaller(wanted, room)
        granted = raised(held, account.counted, more)
        if more == NOTHING or not _is_usable(account, granted):
            return held
        counted = larger(account.counted, granted)
        self._counted = self._counted.plus(counted.minus(account.counted))
        account.counted = counted
        return granted


def _is_usable(account: PoolAccount, granted: Resources) -> bool:
    """Returns whether a grant covers the next start, a gang for instance."""
    if account.waiting == NOTHING:
        return True
    return account.used.plus(account.next_start).fits_within(granted)


def _settled(held: Resources, wanted: Resources) -> Resources:
    """Returns the present headroom unless it is far from what is wanted.

    Without this, grants would change with each start and end of a run.
    """
    is_near = held.fits_within(wanted.times(2)) and wanted.fits_within(
        held.times(2)
    )
    return not_negative(held) if is_near else wanted
