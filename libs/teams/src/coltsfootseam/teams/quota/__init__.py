"""Quotas of teams: how owners of pools and the coordinator divide them."""

from coltsfootseam.teams.quota.amounts import capacity_of
from coltsfootseam.teams.quota.holding import QuotaHolding
from coltsfootseam.teams.quota.ledger import QuotaLedger
from coltsfootseam.teams.quota.messages import (
    NO_LIMIT,
    UNLIMITED,
    QuotaReply,
    QuotaReport,
    TeamGrant,
    TeamReport,
)
from coltsfootseam.teams.quota.usage import TeamUsage

__all__ = [
    "NO_LIMIT",
    "UNLIMITED",
    "QuotaHolding",
    "QuotaLedger",
    "QuotaReply",
    "QuotaReport",
    "TeamGrant",
    "TeamReport",
    "TeamUsage",
    "capacity_of",
]
