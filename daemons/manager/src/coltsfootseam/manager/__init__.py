"""The manager of jobs, workers and machines that runs on an entry host."""

from coltsfootseam.manager.context import Context, Feeds, Ports, Times
from coltsfootseam.manager.job_service import JobService
from coltsfootseam.manager.manager import Manager, running_manager

__all__ = [
    "Context",
    "Feeds",
    "JobService",
    "Manager",
    "Ports",
    "Times",
    "running_manager",
]
