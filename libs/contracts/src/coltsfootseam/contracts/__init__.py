"""Contracts of the customers: limits, budgets and quotas of their pools."""

from coltsfootseam.contracts.model import (
    BillingWeight,
    Contract,
    Pool,
    TeamQuota,
)
from coltsfootseam.contracts.validation import (
    find_conflict,
    find_contradiction,
    parse_contract,
)

__all__ = [
    "BillingWeight",
    "Contract",
    "Pool",
    "TeamQuota",
    "find_conflict",
    "find_contradiction",
    "parse_contract",
]
