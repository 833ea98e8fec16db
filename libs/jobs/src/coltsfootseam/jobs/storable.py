"""Which jobs the store can hold.

A job is one record of its pool's inbox, and its progress is one record of the
pool's journal. A job whose progress doesn't fit would be accepted and could
never go on.
"""

from coltsfootseam.jobs.model import JobRequest

_TASK_BYTES = 80
"""Bytes of a running task in a progress document."""

_MAX_JSON_FACTOR = 4
"""Bytes of a submitted job for each byte of its record, at most."""


def max_tasks(record_bytes: int) -> int:
    """Returns how many tasks a job may have.

    Args:
        record_bytes: The longest record that the store takes.
    """
    return record_bytes // _TASK_BYTES


def max_submitted_bytes(record_bytes: int) -> int:
    """Returns how long a submitted job may be that fits into a record."""
    return record_bytes * _MAX_JSON_FACTOR


def find_unstorable(
    request: JobRequest, key: str, value: bytes, record_bytes: int
) -> str | None:
    """Returns why the store can't hold a job, ``None`` if it can.

    Args:
        request: The job.
        key: The key of its record.
        value: Its record.
        record_bytes: The longest record that the store takes.
    """
    size = 1 + len(key) + len(value)
    if size > record_bytes:
        return f"its record has {size} bytes, at most {record_bytes} fit"
    tasks = sum(max(0, step.count) for step in request.steps)
    most = max_tasks(record_bytes)
    if tasks > most:
        return f"it has {tasks} tasks, at most {most} fit into a record"
    return None
