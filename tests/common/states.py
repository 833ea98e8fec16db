"""Makes states and records for tests."""

import itertools

from coltsfootseam.contracts import BillingWeight, Contract, Pool
from coltsfootseam.observe import Stamp
from coltsfootseam.state import (
    Body,
    ContractPublished,
    FleetState,
    HostClaimed,
    MemberJoined,
    Outcome,
    Record,
    fold_record,
)

_record_numbers = itertools.count()


def make_pool(
    name: str = "pool-a",
    hosts_at_most: int = 4,
    max_down: int = 1,
    headroom_hosts: int = 0,
) -> Pool:
    """Returns a pool whose service is named after the pool."""
    return Pool(
        name=name,
        service=name.replace("pool", "service"),
        hosts_at_most=hosts_at_most,
        max_down=max_down,
        headroom_hosts=headroom_hosts,
    )


def make_contract(customer: str = "customer", *pools: Pool) -> Contract:
    """Returns a contract, with one pool by default."""
    return Contract(
        customer=customer,
        pools=list(pools) or [make_pool()],
        billing_weight=BillingWeight(waiting=0.5, buffer_cost=0.5),
    )


def make_record(
    body: Body, author: str = "entry-0", epoch: int = 1, record_id: str = ""
) -> Record:
    """Returns a record, with a unique id by default."""
    return Record(
        record_id=record_id or f"record-{next(_record_numbers)}",
        author=author,
        epoch=epoch,
        stamp=Stamp(1, 0),
        body=body,
    )


def make_join(number: int = 0, incarnation: str = "first") -> MemberJoined:
    """Returns the record with which the entry host with a number joins."""
    return MemberJoined(
        incarnation=incarnation,
        region="region-1",
        zone="zone-a",
        callers=f"127.0.0.{number + 1}:8000",
        admin=f"127.0.0.{number + 1}:8001",
        peers=f"127.0.0.{number + 1}:8002",
        lease_ms=6000,
    )


def fold_body(state: FleetState, body: Body, **fields: object) -> Outcome:
    """Folds a body at the next offset."""
    record = make_record(body, **fields)  # type: ignore[arg-type]
    return fold_record(state, state.offset + 1, record)


def make_state(
    members: int = 1, contract: Contract | None = None
) -> FleetState:
    """Returns a state with members and a contract."""
    state = FleetState()
    for number in range(members):
        fold_body(state, make_join(number), author=f"entry-{number}")
    fold_body(state, ContractPublished(contract or make_contract()))
    return state


def claim_hosts(state: FleetState, pool: str, count: int) -> None:
    """Adds hosts ``host-0``, ``host-1`` and so on to a pool."""
    for number in range(count):
        fold_body(state, make_claim(f"host-{number}", pool))


def make_claim(
    host_id: str, pool: str = "pool-a", expected_version: int = 0
) -> HostClaimed:
    """Returns a proposal to add a host with 8 slots to a pool."""
    number = int(host_id.rpartition("-")[2])
    return HostClaimed(
        host_id=host_id,
        pool=pool,
        zone=f"zone-{'abc'[number % 3]}",
        address=f"127.0.1.{number + 1}:9000",
        slots=8,
        connections=64,
        expected_version=expected_version,
    )
