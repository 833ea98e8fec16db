"""Plans which pool owns which host.

The next step for a host is derived from its claim in the log, the platform's
host list and whether the host is still in use. No plan is stored, so nothing
has to be repaired after a lost reply or a planner that stops half-way.
"""

from collections import Counter

import msgspec

from coltsfootseam.platform import HostState, ListedHost
from coltsfootseam.state import (
    Body,
    ClaimPhase,
    FleetState,
    HostClaim,
    HostClaimed,
    HostDownSet,
    HostDrainReserved,
    HostReleased,
    ServicePool,
)


class PlanInput(msgspec.Struct, frozen=True):
    """Input of a plan.

    Attributes:
        state: The folded state.
        hosts_by_id: The hosts that the platform lists.
        idle_host_ids: Draining hosts on which no member runs a request.
    """

    state: FleetState
    hosts_by_id: dict[str, ListedHost]
    idle_host_ids: frozenset[str]


def plan_ownership(plan_input: PlanInput) -> list[Body]:
    """Returns the records to propose next."""
    bodies: list[Body] = []
    for claim in plan_input.state.claims_by_host_id.values():
        body = _plan_from_listing(plan_input, claim)
        if body is not None:
            bodies.append(body)
    bodies.extend(_plan_drains(plan_input.state))
    bodies.extend(_plan_claims(plan_input))
    return bodies


def _plan_from_listing(plan_input: PlanInput, claim: HostClaim) -> Body | None:
    host = plan_input.hosts_by_id.get(claim.host_id)
    if host is None or host.address != claim.address:
        if claim.down:
            return HostReleased(claim.host_id, claim.version)
        return HostDownSet(claim.host_id, claim.version, True, "not listed")
    leaving = host.state is HostState.LEAVING
    if leaving != claim.down:
        cause = f"listed as {host.state.value}"
        return HostDownSet(claim.host_id, claim.version, leaving, cause)
    is_idle = claim.host_id in plan_input.idle_host_ids
    if claim.phase is ClaimPhase.DRAINING and is_idle:
        return HostReleased(claim.host_id, claim.version)
    return None


def _plan_drains(state: FleetState) -> list[Body]:
    """Drains surplus hosts of pools that exceed their contract's limit.

    All hosts of a pool that no contract names any more are surplus.
    """
    bodies: list[Body] = []
    pools_by_name = state.pools_by_name()
    for name, claims in sorted(state.claims_by_pool().items()):
        service_pool = pools_by_name.get(name)
        limit = (
            service_pool.pool.hosts_at_most if service_pool is not None else 0
        )
        held = [each for each in claims if each.phase is ClaimPhase.HELD]
        surplus = len(held) - limit
        budget = (
            service_pool.pool.max_down
            if service_pool is not None
            else len(claims)
        )
        down = sum(1 for each in claims if not each.is_available())
        count = max(0, min(surplus, budget - down))
        bodies.extend(
            HostDrainReserved(each.host_id, each.version, "over the limit")
            for each in _order_for_drain(held)[:count]
        )
    return bodies


def _order_for_drain(claims: list[HostClaim]) -> list[HostClaim]:
    """Returns the available hosts in the order in which to drain them.

    The next host is from the zone with the most hosts left, so that the pool
    stays spread over the zones.
    """
    remaining = [claim for claim in claims if claim.is_available()]
    ordered: list[HostClaim] = []
    while remaining:
        count_by_zone = Counter(claim.zone for claim in remaining)
        claim = max(
            remaining, key=lambda each: (count_by_zone[each.zone], each.host_id)
        )
        remaining.remove(claim)
        ordered.append(claim)
    return ordered


def _plan_claims(plan_input: PlanInput) -> list[Body]:
    """Claims each free host for the pool that is filled the least.

    Among equally filled pools, the one with the fewest hosts in the host's
    zone gets it.
    """
    state = plan_input.state
    pools_by_name = state.pools_by_name()
    held_by_pool: Counter[str] = Counter()
    held_by_pool_zone: Counter[tuple[str, str]] = Counter()
    for claim in state.claims_by_host_id.values():
        held_by_pool[claim.pool] += 1
        held_by_pool_zone[claim.pool, claim.zone] += 1
    bodies: list[Body] = []
    for host in _free_hosts(plan_input):
        pool = _least_filled_pool(
            host, pools_by_name, held_by_pool, held_by_pool_zone
        )
        if pool is None:
            continue
        held_by_pool[pool] += 1
        held_by_pool_zone[pool, host.zone] += 1
        bodies.append(_make_claim(host, pool, state))
    return bodies


def _free_hosts(plan_input: PlanInput) -> list[ListedHost]:
    return [
        host
        for host_id, host in sorted(plan_input.hosts_by_id.items())
        if host.state is HostState.LIVE
        and host_id not in plan_input.state.claims_by_host_id
    ]


def _least_filled_pool(
    host: ListedHost,
    pools_by_name: dict[str, ServicePool],
    held_by_pool: Counter[str],
    held_by_pool_zone: Counter[tuple[str, str]],
) -> str | None:
    unfilled = [
        name
        for name, service_pool in pools_by_name.items()
        if held_by_pool[name] < service_pool.pool.hosts_at_most
    ]
    if not unfilled:
        return None
    return min(
        unfilled,
        key=lambda name: (
            held_by_pool[name] / pools_by_name[name].pool.hosts_at_most,
            held_by_pool_zone[name, host.zone],
            name,
        ),
    )


def _make_claim(host: ListedHost, pool: str, state: FleetState) -> HostClaimed:
    return HostClaimed(
        host_id=host.host_id,
        pool=pool,
        zone=host.zone,
        address=host.address,
        slots=host.slots,
        connections=host.connections,
        expected_version=state.versions_by_host_id.get(host.host_id, 0),
    )
