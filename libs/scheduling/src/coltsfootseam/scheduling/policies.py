"""The selection of registered policies."""

import msgspec

from coltsfootseam.scheduling.demand import NEED_RULES, PoolRules
from coltsfootseam.scheduling.fits import FITS
from coltsfootseam.scheduling.lookahead import LOOK_AHEAD_RULES
from coltsfootseam.scheduling.ordering import JOB_ORDERS
from coltsfootseam.scheduling.shares import SHARE_RULES
from coltsfootseam.scheduling.speculation import SPECULATION_RULES


class Policies(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Names of the selected policies, and their parameters.

    Attributes:
        job_order: Order in which ready steps are placed.
        fit: Rule that chooses among workers of otherwise equal cost.
        copies: Rule that decides which slow tasks get a copy.
        pools: How pools are sized.
        isolation_share: Share of a pool's workers, from 0 to 1, that may run
            suspects at once; at least two workers may.
        shares: Rule that shares a full pool among teams.
        look_ahead: Rule that reserves workers for large steps that don't fit.
    """

    job_order: str = "objective"
    fit: str = "tightest"
    copies: str = "remaining"
    pools: PoolRules = PoolRules()
    isolation_share: float = 0.25
    shares: str = "dominant"
    look_ahead: str = "none"


def find_problem(policies: Policies) -> str:
    """Returns the first problem of policies, empty if they are valid."""
    try:
        JOB_ORDERS.lookup(policies.job_order)
        FITS.lookup(policies.fit)
        SHARE_RULES.lookup(policies.shares)
        SPECULATION_RULES.lookup(policies.copies)
        NEED_RULES.lookup(policies.pools.need)
        LOOK_AHEAD_RULES.lookup(policies.look_ahead)
    except ValueError as error:
        return str(error)
    pools = policies.pools
    if min(pools.headroom_cores, pools.least_machines, pools.idle_s) < 0:
        return "headroom_cores, least_machines and idle_s must not be negative"
    if not 0 <= policies.isolation_share <= 1:
        return "isolation_share must be between 0 and 1"
    return ""
