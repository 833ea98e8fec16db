"""Folds records of host ownership and enforces the availability budgets.

A host has at most one claim, and every change of it names the version that it
is based on. So a host belongs to at most one pool at any offset, also when
proposals race.
"""

from coltsfootseam.results import OK, Refusal, ResultCode
from coltsfootseam.state.bodies import (
    HostClaimed,
    HostDownSet,
    HostDrainReserved,
    HostReleased,
)
from coltsfootseam.state.internal.registry import handles
from coltsfootseam.state.model import ClaimPhase, FleetState, HostClaim
from coltsfootseam.state.records import Record


@handles(HostClaimed)
def fold_host_claimed(
    state: FleetState, offset: int, record: Record, body: HostClaimed
) -> Refusal:
    """Adds a free host to a pool that is below its limit."""
    claim = state.claims_by_host_id.get(body.host_id)
    if claim is not None:
        return Refusal(
            ResultCode.HOST_OWNED,
            f"host {body.host_id!r} belongs to pool {claim.pool!r}",
        )
    version = state.versions_by_host_id.get(body.host_id, 0)
    if version != body.expected_version:
        return _version_conflict(body.host_id, version, body.expected_version)
    service_pool = state.pools_by_name().get(body.pool)
    if service_pool is None:
        return Refusal(
            ResultCode.POOL_UNKNOWN, f"no contract names pool {body.pool!r}"
        )
    held = len(state.claims_of_pool(body.pool))
    if held >= service_pool.pool.hosts_at_most:
        return Refusal(
            ResultCode.POOL_FULL,
            f"pool {body.pool!r} holds {held} hosts of at most "
            f"{service_pool.pool.hosts_at_most}",
        )
    state.claims_by_host_id[body.host_id] = HostClaim(
        host_id=body.host_id,
        pool=body.pool,
        version=version + 1,
        phase=ClaimPhase.HELD,
        down=False,
        zone=body.zone,
        address=body.address,
        slots=body.slots,
        connections=body.connections,
        changed_offset=offset,
        cause=f"claimed by {record.author}",
    )
    state.versions_by_host_id[body.host_id] = version + 1
    return OK


@handles(HostDrainReserved)
def fold_host_drain_reserved(
    state: FleetState, offset: int, record: Record, body: HostDrainReserved
) -> Refusal:
    """Starts a drain if the pool's availability budget allows it."""
    del record
    claim = _find_claim(state, body.host_id, body.expected_version)
    if isinstance(claim, Refusal):
        return claim
    if claim.phase is not ClaimPhase.HELD:
        return Refusal(
            ResultCode.HOST_PHASE, f"host {body.host_id!r} drains already"
        )
    service_pool = state.pools_by_name().get(claim.pool)
    down = _count_down(state, claim.pool)
    # A pool that no contract names any more has no budget.
    uses_budget = service_pool is not None and not claim.down
    if (
        service_pool is not None
        and uses_budget
        and down >= service_pool.pool.max_down
    ):
        return Refusal(
            ResultCode.BUDGET_SPENT,
            f"pool {claim.pool!r} has {down} hosts down of at most "
            f"{service_pool.pool.max_down}",
        )
    claim.phase = ClaimPhase.DRAINING
    _apply_change(state, claim, offset, body.cause)
    return OK


@handles(HostDownSet)
def fold_host_down_set(
    state: FleetState, offset: int, record: Record, body: HostDownSet
) -> Refusal:
    """Applies the state of a host that the platform lists.

    An observation is not refused because of a budget: the host is down whether
    the budget allows it or not, and counts against later drains.
    """
    del record
    claim = _find_claim(state, body.host_id, body.expected_version)
    if isinstance(claim, Refusal):
        return claim
    claim.down = body.down
    _apply_change(state, claim, offset, body.cause)
    return OK


@handles(HostReleased)
def fold_host_released(
    state: FleetState, offset: int, record: Record, body: HostReleased
) -> Refusal:
    """Removes a draining host, or one that is down, from its pool."""
    del offset, record
    claim = _find_claim(state, body.host_id, body.expected_version)
    if isinstance(claim, Refusal):
        return claim
    if claim.is_available():
        return Refusal(
            ResultCode.HOST_PHASE,
            f"host {body.host_id!r} still takes work in pool {claim.pool!r}",
        )
    del state.claims_by_host_id[body.host_id]
    state.versions_by_host_id[body.host_id] = claim.version + 1
    return OK


def _find_claim(
    state: FleetState, host_id: str, expected_version: int
) -> HostClaim | Refusal:
    claim = state.claims_by_host_id.get(host_id)
    if claim is None:
        return Refusal(
            ResultCode.HOST_UNKNOWN, f"host {host_id!r} belongs to no pool"
        )
    if claim.version != expected_version:
        return _version_conflict(host_id, claim.version, expected_version)
    return claim


def _version_conflict(host_id: str, actual: int, expected: int) -> Refusal:
    return Refusal(
        ResultCode.VERSION_CONFLICT,
        f"host {host_id!r} has version {actual}, the proposal was decided on "
        f"version {expected}",
    )


def _count_down(state: FleetState, pool: str) -> int:
    return sum(
        1 for claim in state.claims_of_pool(pool) if not claim.is_available()
    )


def _apply_change(
    state: FleetState, claim: HostClaim, offset: int, cause: str
) -> None:
    claim.version += 1
    claim.changed_offset = offset
    claim.cause = cause
    state.versions_by_host_id[claim.host_id] = claim.version
