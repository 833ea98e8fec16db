"""The contract of a customer and its parts."""

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
        name: Name of the pool, unique over all contracts.
        service: The service that its endpoints serve, unique over all
            contracts.
        hosts_at_most: Most hosts that the pool may hold.
        max_down: Availability budget: most hosts down at once for any reason.
        headroom_hosts: Hosts kept free in reserve, of ``hosts_at_most``.
        spare: Whether idle hosts of this pool may be moved to other pools.
    """

    name: Name
    service: Name
    hosts_at_most: HostCount
    max_down: Annotated[int, msgspec.Meta(ge=0, le=100_000)]
    headroom_hosts: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0
    spare: bool = False


class BillingWeight(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the customer weighs against what; the two add up to 1.

    Attributes:
        waiting: Weight of waiting time.
        buffer_cost: Weight of the cost of capacity held in reserve.
    """

    waiting: Weight
    buffer_cost: Weight


class TeamQuota(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What a team of the customer may use at once.

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
    """What an operator publishes for one customer.

    Attributes:
        customer: Name of the customer.
        pools: The customer's pools.
        billing_weight: What the customer weighs.
        team_quotas: Quotas of the customer's teams.
        period_days: Length of the billing period whose busiest minute is paid.
    """

    customer: Name
    pools: Annotated[list[Pool], msgspec.Meta(min_length=1, max_length=1000)]
    billing_weight: BillingWeight
    team_quotas: list[TeamQuota] = []
    period_days: PeriodDays = 30
