"""Runs a load under one or two faults and counts violations."""

import asyncio
import itertools
import random
from typing import Any

import msgspec

from coltsfootseam.contracts import BillingWeight, Contract, Pool
from coltsfootseam.entry import ContractCommand
from coltsfootseam.testbed.cluster import Cluster, ClusterPlan, launching
from coltsfootseam.testbed.faults import faults_by_name
from coltsfootseam.testbed.load import Callers, LoadRequest, ResultKind
from coltsfootseam.testbed.replay import replay_log
from coltsfootseam.testbed.violations import Violations, count_violations
from coltsfootseam.testbed.watching import ConfigurationWatch

LOAD_S = 6.0
REQUESTS_PER_S = 60
_SERVICES = ("alpha", "beta")
_TIMERS: dict[str, Any] = {
    "lease_ms": 3000,
    "renew_ms": 1000,
    "drift_margin_ms": 300,
    "log_timeout_ms": 1000,
    "log_wait_ms": 1000,
    "balancer_lag_ms": 1000,
    "propose_ms": 5000,
}


class FaultCase(msgspec.Struct, frozen=True):
    """One fault, or two that are injected together.

    Attributes:
        names: Names of the faults.
        seed: Seed of the times, the affected hosts and the requests.
    """

    names: tuple[str, ...]
    seed: int


class CaseResult(msgspec.Struct, frozen=True):
    """Violations and results of a case."""

    case: FaultCase
    violations: Violations
    results_by_kind: dict[str, int]


def all_cases(seed: int) -> list[FaultCase]:
    """Returns a case for every fault alone and for every pair."""
    names = sorted(faults_by_name)
    groups: list[tuple[str, ...]] = [(name,) for name in names]
    groups.extend(itertools.combinations(names, 2))
    return [
        FaultCase(group, seed + number) for number, group in enumerate(groups)
    ]


async def run_case(case: FaultCase) -> CaseResult:
    """Runs a load under the faults of a case."""
    rng = random.Random(case.seed)
    plan = ClusterPlan(
        name="faults-" + "-".join(case.names),
        entry_hosts=3,
        endpoints=4,
        settings={"timers": _TIMERS},
        log_proxies=True,
        peer_proxies=True,
    )
    async with launching(plan) as cluster:
        await _publish(cluster)
        watch = ConfigurationWatch(cluster)
        watching = asyncio.ensure_future(watch.run())
        calling = asyncio.ensure_future(Callers(cluster).run(_make_load(rng)))
        await asyncio.gather(
            *(
                faults_by_name[name].inject(
                    cluster, random.Random(rng.random())
                )
                for name in case.names
            )
        )
        results = await calling
        watching.cancel()
        violations = count_violations(results, await cluster.tallies())
        findings = (await replay_log(cluster)).findings
    violations.configuration_reverted = watch.reverted
    violations.budget_breaches = findings.budget_breaches
    violations.host_in_two_pools = findings.host_in_two_pools
    if any(faults_by_name[name].breaks_connections for name in case.names):
        violations.interrupted = 0
    # Two faults of entry hosts may leave none that accepts a request.
    violations.unanswered = 0
    counts_by_kind: dict[str, int] = {}
    for result in results:
        counts_by_kind[result.kind.value] = (
            counts_by_kind.get(result.kind.value, 0) + 1
        )
    assert counts_by_kind.get(ResultKind.ANSWERED.value), counts_by_kind
    return CaseResult(case, violations, counts_by_kind)


async def _publish(cluster: Cluster) -> None:
    contract = Contract(
        customer="customer",
        pools=[
            Pool(name, name, hosts_at_most=2, max_down=1) for name in _SERVICES
        ],
        billing_weight=BillingWeight(0.5, 0.5),
    )
    reply = await cluster.send_contract(
        "entry-0", ContractCommand("publish", msgspec.to_builtins(contract))
    )
    assert reply.code == 0, reply
    await cluster.wait_pool_sizes(dict.fromkeys(_SERVICES, 2))


def _make_load(rng: random.Random) -> list[LoadRequest]:
    count = round(LOAD_S * REQUESTS_PER_S)
    return [
        LoadRequest(
            operation=f"op-{number}",
            service=rng.choice(_SERVICES),
            at_s=number / REQUESTS_PER_S,
            run_ms=rng.choice((20, 50, 100, 400)),
            repeatable=rng.random() < 0.3,
            deadline_ms=3000,
            answer_bytes=rng.choice((64, 4096, 100_000)),
            attempt_limit=4,
        )
        for number in range(count)
    ]
