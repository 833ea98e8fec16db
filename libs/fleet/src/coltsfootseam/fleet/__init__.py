"""The planner, which assigns hosts to pools."""

from coltsfootseam.fleet.ownership import PlanInput, plan_ownership
from coltsfootseam.fleet.planner import OwnershipPlanner, PlannerParts

__all__ = [
    "OwnershipPlanner",
    "PlanInput",
    "PlannerParts",
    "plan_ownership",
]
