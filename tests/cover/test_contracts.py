"""A contract that can't be met is refused with a result code."""

from typing import Any

import pytest

from coltsfootseam.contracts import Contract, find_conflict, parse_contract
from coltsfootseam.results import Refusal, ResultCode
from tests.common.states import make_contract, make_pool


def raw_contract(**changes: Any) -> dict[str, Any]:
    raw = {
        "customer": "furetti",
        "pools": [
            {
                "name": "entries",
                "service": "entries",
                "hosts_at_most": 4,
                "max_down": 1,
                "headroom_hosts": 1,
            }
        ],
        "billing_weight": {"waiting": 0.75, "buffer_cost": 0.25},
        "team_quotas": [{"team": "web", "processors": 8, "memory_gb": 32}],
    }
    raw.update(changes)
    return raw


def raw_pool(**changes: Any) -> dict[str, Any]:
    pool: dict[str, Any] = dict(raw_contract()["pools"][0])
    pool.update(changes)
    return pool


def test_a_valid_contract_is_parsed() -> None:
    contract = parse_contract(raw_contract())
    assert isinstance(contract, Contract)
    assert contract.pools[0].hosts_at_most == 4


@pytest.mark.parametrize(
    ("changes", "code", "expected_text"),
    [
        (
            {"pools": [raw_pool(headroom_hosts=4)]},
            ResultCode.HEADROOM_OVER_LIMIT,
            "headroom_hosts 4",
        ),
        (
            {"pools": [raw_pool(max_down=0)]},
            ResultCode.BUDGET_NEVER_DRAINS,
            "max_down 0",
        ),
        (
            {"pools": [raw_pool(max_down=5)]},
            ResultCode.CONTRACT_INVALID,
            "max_down 5",
        ),
        (
            {"pools": [raw_pool(), raw_pool(service="other")]},
            ResultCode.CONTRACT_INVALID,
            "'entries' is named twice",
        ),
        (
            {"pools": [raw_pool(), raw_pool(name="other")]},
            ResultCode.SERVICE_IN_TWO_POOLS,
            "service 'entries'",
        ),
        ({"pools": []}, ResultCode.CONTRACT_INVALID, "$.pools"),
        (
            {"billing_weight": {"waiting": 0.9, "buffer_cost": 0.2}},
            ResultCode.CONTRACT_INVALID,
            "must be 1",
        ),
        ({"customer": "No Spaces"}, ResultCode.CONTRACT_INVALID, "$.customer"),
        ({"surprise": 1}, ResultCode.CONTRACT_INVALID, "surprise"),
        ({"period_days": 0}, ResultCode.CONTRACT_INVALID, "$.period_days"),
    ],
)
def test_an_impossible_contract_is_refused_with_its_code(
    changes: dict[str, Any], code: ResultCode, expected_text: str
) -> None:
    refusal = parse_contract(raw_contract(**changes))
    assert isinstance(refusal, Refusal)
    assert refusal.code is code
    assert expected_text in refusal.reason


def test_a_pool_in_two_contracts_is_a_conflict() -> None:
    refusal = find_conflict(make_contract("one"), [make_contract("two")])
    assert refusal is not None
    assert refusal.code is ResultCode.POOL_IN_TWO_CONTRACTS


def test_contracts_with_different_pools_do_not_conflict() -> None:
    other = make_contract("two", make_pool("pool-b"))
    assert find_conflict(make_contract("one"), [other]) is None
