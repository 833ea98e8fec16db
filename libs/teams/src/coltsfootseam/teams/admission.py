"""Whether the steps of a job can ever start within their team's limit."""

from collections.abc import Iterable

from coltsfootseam.jobs import Resources, Step

_NAMES_BY_FIELD = {
    "cpu_millis": "thousandths of a core",
    "memory_mb": "MB of memory",
    "accelerators": "accelerators",
}


def find_excess(steps: Iterable[Step], limit: Resources) -> str | None:
    """Returns why a step can never start, ``None`` if each of them can.

    Tasks of a step may run one after the other, those of a gang may not.

    Args:
        steps: Steps of the job.
        limit: The team's limit; 0 in a resource is no limit.
    """
    for number, step in enumerate(steps):
        count = step.count if step.gang else 1
        needed = step.resources().times(count)
        subject = "the gang" if step.gang else "one task"
        for field, unit in _NAMES_BY_FIELD.items():
            amount, most = getattr(needed, field), getattr(limit, field)
            if 0 < most < amount:
                return (
                    f"step {number}: {subject} needs {amount} {unit}, the "
                    f"team's limit is {most}"
                )
    return None
