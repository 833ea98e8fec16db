"""Messages between the owners of pools and the coordinator of quotas."""

import msgspec

from coltsfootseam.jobs import Resources

NO_LIMIT = 1 << 50
"""Amount of a resource in a grant that has no limit in it."""

UNLIMITED = Resources(NO_LIMIT, NO_LIMIT, NO_LIMIT)
"""The grant of a team without limits."""


class TeamReport(msgspec.Struct, frozen=True, array_like=True):
    """What a pool holds of a team's quota, uses of it and waits for.

    Attributes:
        team: Name of the team.
        held: What the pool may use.
        used: What the team's runs in the pool use, which may exceed ``held``
            after a limit was lowered or an owner replaced.
        waiting: What its tasks that are ready but lack quota would use.
        next_start: What the first of them needs to start at once: one task, or
            a whole gang.
        waited_s: How long that one has waited.
    """

    team: str
    held: Resources
    used: Resources = Resources()
    waiting: Resources = Resources()
    next_start: Resources = Resources()
    waited_s: float = 0.0


class QuotaReport(msgspec.Struct, frozen=True, array_like=True):
    """A pool owner's report to the coordinator.

    Attributes:
        pool: The pool.
        pool_epoch: Epoch of the pool's journal under this owner.
        sequence: Number of the report under this owner, from 1.
        coordinator_epoch: Epoch of the coordinator that this owner knows and
            since when its own epoch was confirmed; 0 at first.
        teams: The teams with something to report. A full report lists each
            team that holds, uses or waits for something.
        is_full: Whether teams that aren't listed hold and use nothing; else
            they are as in the report before, which was answered.
    """

    pool: str
    pool_epoch: int
    sequence: int
    coordinator_epoch: int
    teams: list[TeamReport]
    is_full: bool = True


class TeamGrant(msgspec.Struct, frozen=True, array_like=True):
    """What a pool may use of a team's quota from now on.

    Attributes:
        team: Name of the team.
        granted: Amounts; ``NO_LIMIT`` in a resource without a limit.
        is_unlimited: Whether no resource is limited.
    """

    team: str
    granted: Resources
    is_unlimited: bool = False


class QuotaReply(msgspec.Struct, frozen=True, array_like=True):
    """The coordinator's reply to a report.

    Attributes:
        is_coordinator: Whether the host holds the duty and has decided on the
            report; else ``grants`` is empty.
        coordinator_epoch: Epoch of the coordinator; 0 while it is too new to
            be reported to.
        pool_epoch: Pool epoch of the report that is answered.
        sequence: Number of the report that is answered.
        grants: The teams whose grant differs from what the pool holds.
    """

    is_coordinator: bool
    coordinator_epoch: int
    pool_epoch: int
    sequence: int
    grants: list[TeamGrant]
