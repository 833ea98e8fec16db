"""Contracts: what each customer's pools may hold and how they are kept."""

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
