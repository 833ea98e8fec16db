"""Checks that a contract can be met, by itself and along with the others."""

from collections import Counter
from collections.abc import Iterable
from typing import Any

import msgspec

from coltsfootseam.contracts.model import Contract, Pool
from coltsfootseam.results import Refusal, ResultCode

_WEIGHT_TOLERANCE = 1e-6


def parse_contract(raw: Any) -> Contract | Refusal:
    """Converts decoded YAML or JSON to a contract.

    Args:
        raw: Decoded document.

    Returns:
        A contract without contradictions, or a refusal with the first error.
    """
    try:
        contract = msgspec.convert(raw, Contract)
    except msgspec.ValidationError as error:
        return Refusal(ResultCode.CONTRACT_INVALID, f"contract: {error}")
    problem = find_contradiction(contract)
    return contract if problem is None else problem


def find_contradiction(contract: Contract) -> Refusal | None:
    """Returns why a contract can never be met, ``None`` if it can."""
    for pool in contract.pools:
        problem = _find_pool_contradiction(pool)
        if problem is not None:
            return problem
    duplicate_pool = _find_duplicate(pool.name for pool in contract.pools)
    if duplicate_pool:
        return Refusal(
            ResultCode.CONTRACT_INVALID,
            f"pool {duplicate_pool!r} is named twice",
        )
    duplicate_service = _find_duplicate(pool.service for pool in contract.pools)
    if duplicate_service:
        return Refusal(
            ResultCode.SERVICE_IN_TWO_POOLS,
            f"service {duplicate_service!r} is served by two pools",
        )
    duplicate_team = _find_duplicate(
        quota.team for quota in contract.team_quotas
    )
    if duplicate_team:
        return Refusal(
            ResultCode.CONTRACT_INVALID,
            f"team {duplicate_team!r} is named twice",
        )
    weight = contract.billing_weight
    total = weight.waiting + weight.buffer_cost
    if abs(total - 1) > _WEIGHT_TOLERANCE:
        return Refusal(
            ResultCode.CONTRACT_INVALID,
            f"billing_weight adds up to {total}, must be 1",
        )
    return None


def find_conflict(
    contract: Contract, others: Iterable[Contract]
) -> Refusal | None:
    """Returns why a contract conflicts with others, ``None`` if it doesn't.

    Args:
        contract: The contract to accept.
        others: The accepted contracts of the other customers.
    """
    pool_names = {pool.name for pool in contract.pools}
    services = {pool.service for pool in contract.pools}
    for other in others:
        for pool in other.pools:
            if pool.name in pool_names:
                return Refusal(
                    ResultCode.POOL_IN_TWO_CONTRACTS,
                    f"pool {pool.name!r} is in the contract of "
                    f"{other.customer!r}",
                )
            if pool.service in services:
                return Refusal(
                    ResultCode.SERVICE_IN_TWO_POOLS,
                    f"service {pool.service!r} is served by pool "
                    f"{pool.name!r} of {other.customer!r}",
                )
    return None


def _find_pool_contradiction(pool: Pool) -> Refusal | None:
    if pool.headroom_hosts >= pool.hosts_at_most:
        return Refusal(
            ResultCode.HEADROOM_OVER_LIMIT,
            f"pool {pool.name!r}: headroom_hosts {pool.headroom_hosts} must "
            f"be below hosts_at_most {pool.hosts_at_most}",
        )
    if pool.max_down < 1:
        return Refusal(
            ResultCode.BUDGET_NEVER_DRAINS,
            f"pool {pool.name!r}: max_down {pool.max_down} never lets a host "
            f"be drained, must be at least 1",
        )
    if pool.max_down > pool.hosts_at_most:
        return Refusal(
            ResultCode.CONTRACT_INVALID,
            f"pool {pool.name!r}: max_down {pool.max_down} must not be above "
            f"hosts_at_most {pool.hosts_at_most}",
        )
    return None


def _find_duplicate(names: Iterable[str]) -> str:
    for name, count in Counter(names).items():
        if count > 1:
            return name
    return ""
