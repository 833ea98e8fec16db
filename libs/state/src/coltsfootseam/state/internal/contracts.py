"""Folds records of contracts."""

from coltsfootseam.contracts import (
    Contract,
    find_conflict,
    find_contradiction,
)
from coltsfootseam.results import OK, Refusal, ResultCode
from coltsfootseam.state.bodies import ContractAmended, ContractPublished
from coltsfootseam.state.internal.registry import handles
from coltsfootseam.state.model import ContractVersion, FleetState
from coltsfootseam.state.records import Record

_MAX_HISTORY_VERSIONS = 20


@handles(ContractPublished)
def fold_contract_published(
    state: FleetState, offset: int, record: Record, body: ContractPublished
) -> Refusal:
    """Accepts the first contract of a customer."""
    customer = body.contract.customer
    if customer in state.contracts_by_customer:
        return Refusal(
            ResultCode.CONTRACT_EXISTS,
            f"customer {customer!r} has a contract, amend it",
        )
    return _accept_contract(state, offset, record, body.contract, 1)


@handles(ContractAmended)
def fold_contract_amended(
    state: FleetState, offset: int, record: Record, body: ContractAmended
) -> Refusal:
    """Accepts a new version that is based on the current one."""
    customer = body.contract.customer
    current = state.contracts_by_customer.get(customer)
    if current is None:
        return Refusal(
            ResultCode.CONTRACT_UNKNOWN,
            f"customer {customer!r} has no contract to amend",
        )
    if current.version != body.expected_version:
        return Refusal(
            ResultCode.VERSION_CONFLICT,
            f"version {current.version} is in force, the amendment was made "
            f"from version {body.expected_version}",
        )
    return _accept_contract(
        state, offset, record, body.contract, current.version + 1
    )


def _accept_contract(
    state: FleetState,
    offset: int,
    record: Record,
    contract: Contract,
    version: int,
) -> Refusal:
    others = [
        other.contract
        for customer, other in state.contracts_by_customer.items()
        if customer != contract.customer
    ]
    problem = find_contradiction(contract) or find_conflict(contract, others)
    if problem is not None:
        return problem
    entry = ContractVersion(
        contract=contract,
        version=version,
        offset=offset,
        record_id=record.record_id,
        author=record.author,
        stamp=record.stamp,
    )
    state.contracts_by_customer[contract.customer] = entry
    history = state.history_by_customer.setdefault(contract.customer, [])
    history.append(entry)
    del history[:-_MAX_HISTORY_VERSIONS]
    return OK
