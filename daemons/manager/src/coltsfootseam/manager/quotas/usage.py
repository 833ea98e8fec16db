"""What the runs of a pool use, by team."""

from coltsfootseam.jobs import JobTable, Resources
from coltsfootseam.manager.pools.team_usage import usage_by_team
from coltsfootseam.teams.quota import NO_LIMIT

UNITS = (
    ("cpu_millis", 1000.0, "cores"),
    ("memory_mb", 1000.0, "GB"),
    ("accelerators", 1.0, "accelerators"),
)
"""Each resource with the divisor and the name of the unit that is shown."""


def used_by_team(job_table: JobTable) -> dict[str, Resources]:
    """Returns what the runs of each team use, in whatever phase they are.

    Runs that are being stopped or of unknown state count in full, and so do
    best-effort runs and second copies. Jobs without a team have no quota.
    """
    usage = usage_by_team(job_table)
    usage.pop("", None)
    return usage


def count_within(request: Resources, room: Resources, count: int) -> int:
    """Returns how many tasks, at most ``count``, fit within a room.

    A resource that a task doesn't request limits nothing.
    """
    for requested, free in (
        (request.cpu_millis, room.cpu_millis),
        (request.memory_mb, room.memory_mb),
        (request.accelerators, room.accelerators),
    ):
        if requested:
            count = min(count, max(0, free) // requested)
    return count


def describe_amounts(amounts: Resources) -> str:
    """Returns amounts as lines and tables show them: ``12.0/24.0/0.0``.

    These are cores, GB and accelerators; ``-`` stands for no limit.
    """
    return "/".join(
        "-"
        if getattr(amounts, name) >= NO_LIMIT
        else f"{getattr(amounts, name) / scale:.1f}"
        for name, scale, _ in UNITS
    )
