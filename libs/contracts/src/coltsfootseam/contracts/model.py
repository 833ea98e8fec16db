"""The contract of a customer."""

from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9-]{0,62}$")]
HostCount = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
Amount = Annotated[float, msgspec.Meta(ge=0, le=1e9)]
Weight = Annotated[float, msgspec.Meta(ge=0, le=1)]
PeriodDays = Annotated[int, msgspec.Meta(ge=1, le=366)]


class Pool(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A pool of hosts that serve one service.

    Attributes:
        name: Name of the pool, unique across all contracts.
        service: The service that its endpoints serve, unique across all
            contracts.
        hosts_at_most: Maximum number of hosts in the pool.
        max_down: Availability budget: the maximum number of hosts that may be
            down at once for any reason.
        headroom_hosts: How many of ``hosts_at_most`` are kept in reserve.
        spare: Whether idle hosts of this pool may be moved to other pools.
    """

    name: Name
    service: Name
    hosts_at_most: HostCount
    max_down: Annotated[int, msgspec.Meta(ge=0, le=100_000)]
    headroom_hosts: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    spare: bool = False


class BillingWeight(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Weights of the customer's objectives, which add up to 1.

    Attributes:
        waiting: Weight of waiting time.
        buffer_cost: Weight of the cost of capacity held in reserve.
    """

    waiting: Weight
    buffer_cost: Weight


class TeamQuota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on what a team of the customer may use at once.

    Attributes:
        team: Name of the team.
        processors: Processor cores.
        memory_gb: Memory in gigabytes.
        accelerators: Accelerators.
    """

    team: Name
    processors: Amount
    memory_gb: Amount
    accelerators: Amount = 0


class Contract(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The terms that an operator publishes for one customer.

    Attributes:
        customer: Name of the customer.
        pools: The customer's pools.
        billing_weight: Weights of the customer's objectives.
        team_quotas: Quotas of the customer's teams.
        period_days: Length of the billing period in days. The busiest minute
            of a period is billed.
    """

    customer: Name
    pools: Annotated[list[Pool], msgspec.Meta(min_length=1, max_length=1000)]
    billing_weight: BillingWeight
    team_quotas: list[TeamQuota] = []
    period_days: PeriodDays = 30
