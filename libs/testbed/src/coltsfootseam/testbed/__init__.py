"""Launcher, load tool and checks that demo, bench and tests share."""

from coltsfootseam.testbed.cluster import Cluster, ClusterPlan, launching
from coltsfootseam.testbed.load import (
    CallerResult,
    Callers,
    LoadRequest,
    ResultKind,
)
from coltsfootseam.testbed.processes import Process
from coltsfootseam.testbed.violations import Violations, count_violations
from coltsfootseam.testbed.waiting import wait_until

__all__ = [
    "CallerResult",
    "Callers",
    "Cluster",
    "ClusterPlan",
    "LoadRequest",
    "Process",
    "ResultKind",
    "Violations",
    "count_violations",
    "launching",
    "wait_until",
]
