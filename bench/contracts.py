"""The demo's contracts, sized like Sicily's: five pools of six hosts.

One of the pools is spare.
"""

from coltsfootseam.contracts import BillingWeight, Contract, Pool, TeamQuota

POOL_SIZES = {
    "bookings": 6,
    "sizing": 6,
    "counters": 6,
    "lifeguards": 6,
    "spare": 6,
}

_CUSTOMER_BY_POOL = {
    "bookings": "agenzia",
    "sizing": "agenzia",
    "counters": "comune",
    "lifeguards": "comune",
    "spare": "supplier",
}

_WEIGHT = BillingWeight(waiting=0.25, buffer_cost=0.75)


def contract_of(customer: str, **hosts_by_pool: int) -> Contract:
    """Returns a customer's contract.

    Args:
        customer: The customer.
        **hosts_by_pool: Maximum number of hosts of the pools that differ from
            ``POOL_SIZES``.
    """
    pools = [
        Pool(
            name=name,
            service=name,
            hosts_at_most=hosts_by_pool.get(name, hosts),
            max_down=1,
            headroom_hosts=1,
            spare=name == "spare",
        )
        for name, hosts in POOL_SIZES.items()
        if _CUSTOMER_BY_POOL[name] == customer
    ]
    quota = TeamQuota(team="web", processors=64, memory_gb=128)
    return Contract(
        customer=customer,
        pools=pools,
        billing_weight=_WEIGHT,
        team_quotas=[quota],
    )


CONTRACTS = [
    contract_of(customer) for customer in ("agenzia", "comune", "supplier")
]
