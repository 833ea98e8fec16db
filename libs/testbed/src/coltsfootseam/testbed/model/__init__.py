"""Simulation of the fleet that runs the manager's decisions in virtual time."""

from coltsfootseam.testbed.model.fleet import FleetModel
from coltsfootseam.testbed.model.load import Arrival, JobKind, draw_arrivals
from coltsfootseam.testbed.model.machines import ModelPlan
from coltsfootseam.testbed.model.report import Report, Sample, make_report

__all__ = [
    "Arrival",
    "FleetModel",
    "JobKind",
    "ModelPlan",
    "Report",
    "Sample",
    "draw_arrivals",
    "make_report",
]
