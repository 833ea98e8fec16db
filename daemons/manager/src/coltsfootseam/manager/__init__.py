"""The manager of jobs, workers and machines that runs on each entry host."""

from coltsfootseam.manager.context import Context, Feeds, Ports, Times
from coltsfootseam.manager.jobs.job_service import JobService
from coltsfootseam.manager.manager import Manager, running_manager
from coltsfootseam.manager.monitoring.pages import MonitoringPages
from coltsfootseam.manager.policy_settings import load_policies
from coltsfootseam.manager.quotas.status import TeamsStatus, TeamStatus
from coltsfootseam.manager.quotas.usage import describe_amounts
from coltsfootseam.manager.serving import ServingSettings, serving_manager
from coltsfootseam.manager.status import (
    JobStatus,
    ManagerStatus,
    PoolStatus,
    WaveStatus,
)

__all__ = [
    "Context",
    "Feeds",
    "JobService",
    "JobStatus",
    "Manager",
    "ManagerStatus",
    "MonitoringPages",
    "PoolStatus",
    "Ports",
    "ServingSettings",
    "TeamStatus",
    "TeamsStatus",
    "Times",
    "WaveStatus",
    "describe_amounts",
    "load_policies",
    "running_manager",
    "serving_manager",
]
