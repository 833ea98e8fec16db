"""Launcher, load generator and checks that demo, bench and tests share."""

from coltsfootseam.testbed.cluster import Cluster, ClusterPlan, launching
from coltsfootseam.testbed.load import (
    CallerResult,
    Callers,
    LoadRequest,
    ResultKind,
)
from coltsfootseam.testbed.processes import Process
from coltsfootseam.testbed.replay import LogReplay, replay_log
from coltsfootseam.testbed.violations import Violations, count_violations
from coltsfootseam.testbed.waiting import wait_until
from coltsfootseam.testbed.watching import ConfigurationWatch

__all__ = [
    "CallerResult",
    "Callers",
    "Cluster",
    "ClusterPlan",
    "ConfigurationWatch",
    "LoadRequest",
    "LogReplay",
    "Process",
    "ResultKind",
    "Violations",
    "count_violations",
    "launching",
    "replay_log",
    "wait_until",
]
