"""Clusters of real processes that the slow tests share."""

import asyncio
from typing import Any

import aiohttp
import msgspec

from coltsfootseam.contracts import BillingWeight, Contract, Pool
from coltsfootseam.entry import CommandReply, ContractCommand
from coltsfootseam.testbed import (
    CallerResult,
    Callers,
    Cluster,
    ClusterPlan,
    LoadRequest,
    ResultKind,
    wait_until,
)

_MAX_RESULTS_SHOWN = 20

SHORT_TIMERS: dict[str, Any] = {
    "timers": {
        "lease_ms": 3000,
        "renew_ms": 1000,
        "drift_margin_ms": 300,
        "log_timeout_ms": 1000,
        "log_wait_ms": 1000,
        "balancer_lag_ms": 1000,
        "propose_ms": 5000,
    }
}


def make_plan(name: str, **fields: Any) -> ClusterPlan:
    """Returns a small plan with short leases."""
    chosen: dict[str, Any] = {
        "entry_hosts": 3,
        "endpoints": 4,
        "settings": SHORT_TIMERS,
    }
    chosen.update(fields)
    return ClusterPlan(name=f"test-{name}", **chosen)


def small_contract(
    hosts_a: int = 2, hosts_b: int = 2, customer: str = "customer"
) -> Contract:
    """Returns a contract with pools ``alpha`` and ``beta``."""
    return Contract(
        customer=customer,
        pools=[
            Pool("alpha", "alpha", hosts_at_most=hosts_a, max_down=1),
            Pool("beta", "beta", hosts_at_most=hosts_b, max_down=1),
        ],
        billing_weight=BillingWeight(0.5, 0.5),
    )


def publish_command(contract: Contract, record_id: str) -> ContractCommand:
    """Returns a command that publishes a contract."""
    return ContractCommand(record_id, msgspec.to_builtins(contract))


def amend_command(
    contract: Contract, record_id: str, version: int
) -> ContractCommand:
    """Returns a command that amends a contract."""
    return ContractCommand(record_id, msgspec.to_builtins(contract), version)


async def publish_small_contract(cluster: Cluster) -> CommandReply:
    """Publishes the small contract and waits until its pools are full."""
    reply = await cluster.send_contract(
        "entry-0", publish_command(small_contract(), "publish")
    )
    assert reply.code == 0, reply
    await cluster.wait_pool_sizes({"alpha": 2, "beta": 2})
    return reply


def steady_load(
    count: int, per_s: float, run_ms: int = 50, **fields: Any
) -> list[LoadRequest]:
    """Returns requests at even intervals, alternating between the services."""
    return [
        LoadRequest(
            operation=f"op-{number}",
            service=("alpha", "beta")[number % 2],
            at_s=number / per_s,
            run_ms=run_ms,
            repeatable=number % 3 == 0,
            **fields,
        )
        for number in range(count)
    ]


async def load_during(
    cluster: Cluster, requests: list[LoadRequest], *events: Any
) -> list[CallerResult]:
    """Runs a load while other coroutines inject faults or changes."""
    results, *_ = await asyncio.gather(Callers(cluster).run(requests), *events)
    return results  # type: ignore[no-any-return]


def result_kinds(results: list[CallerResult]) -> set[ResultKind]:
    """Returns the kinds of results that callers got."""
    return {result.kind for result in results}


def assert_all_answered(results: list[CallerResult]) -> None:
    """Asserts that every attempt was answered, and lists those that weren't."""
    others = [each for each in results if each.kind is not ResultKind.ANSWERED]
    shown = "\n".join(
        f"{each.request.operation} {each.request.http_method()} to "
        f"{each.entry_id}: {each.kind.name} {each.code} {each.detail!r}, "
        f"sent at {each.sent_s:.3f} s, took {each.took_s:.3f} s"
        for each in others[:_MAX_RESULTS_SHOWN]
    )
    assert results
    assert not others, f"{len(others)} of {len(results)} attempts:\n{shown}"


async def wait_members(cluster: Cluster, through: str, count: int) -> None:
    """Waits until an entry host has a certain number of members in force."""

    async def has_members() -> bool:
        return len((await cluster.status(through)).members) == count

    await wait_until(has_members, f"{count} members seen by {through}")


async def wait_version(cluster: Cluster, entry_id: str, hosts_a: int) -> None:
    """Waits until an entry host has a certain size of ``alpha`` in force."""

    async def has_size() -> bool:
        try:
            status = await cluster.status(entry_id)
        except aiohttp.ClientError:
            return False
        sizes = {pool.pool: pool.hosts_at_most for pool in status.pools}
        return sizes.get("alpha") == hosts_a

    await wait_until(has_size, f"alpha of {hosts_a} on {entry_id}")
