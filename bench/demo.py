"""Runs a demo of a complete cluster, sized like Sicily's.

Six entry hosts serve five services of three customers on thirty endpoints.
While the load bursts on one service after the other, a contract is amended, a
host leaves and is replaced, and an entry host is stopped gracefully.
"""

import asyncio
import pathlib
import sys
import time

import msgspec

from bench.contracts import CONTRACTS, POOL_SIZES, contract_of
from bench.figures import answered, count_kinds, percentile, wait_s
from bench.traces import BurstShape, make_burst_trace
from coltsfootseam.entry import CommandReply, ContractCommand
from coltsfootseam.standins.endpoint import EndpointFaults
from coltsfootseam.standins.hostlist import HostListChange
from coltsfootseam.testbed import (
    CallerResult,
    Callers,
    Cluster,
    ClusterPlan,
    ConfigurationWatch,
    Violations,
    count_violations,
    launching,
    replay_log,
)

SEED = 7
HOSTS = 30
LIST_LAG_S = 5.0
AMEND_AT_S = 5.0
LEAVE_AT_S = 10.0
STOP_ENTRY_AT_S = 16.0
REMOVE_AFTER_S = 6.0
RESULT_PATH = pathlib.Path("build/demo.json")


class DemoMeasures(msgspec.Struct):
    """The figures that the demo measured, times in seconds."""

    requests: int
    results: dict[str, int]
    wait_p50_s: float
    wait_p99_s: float
    publish_s: float
    amend_in_force_s: float
    in_force: int
    live: int
    host_moves: int
    log_records: int
    elapsed_s: float


class DemoReport(msgspec.Struct):
    """The content of ``build/demo.json``."""

    violations: Violations
    measures: DemoMeasures


async def run_demo() -> DemoReport:
    """Runs the demo and returns its report."""
    started_s = time.monotonic()
    plan = ClusterPlan(name="demo", entry_hosts=6, endpoints=HOSTS)
    async with launching(plan) as cluster:
        print(f"cluster ready after {time.monotonic() - started_s:.1f} s")
        watch = ConfigurationWatch(cluster)
        watching = asyncio.ensure_future(watch.run())
        publish_s = await _publish_all(cluster)
        shape = BurstShape(services=tuple(POOL_SIZES), mean_per_s=60.0)
        trace = make_burst_trace(shape, SEED)
        results, amended, _, _ = await asyncio.gather(
            Callers(cluster).run(trace),
            _amend(cluster),
            _replace_host(cluster),
            _stop_entry_host(cluster),
        )
        watching.cancel()
        replay = await replay_log(cluster)
        violations = count_violations(results, await cluster.tallies())
        violations.configuration_reverted = watch.reverted
        violations.host_in_two_pools = replay.findings.host_in_two_pools
        violations.budget_breaches = replay.findings.budget_breaches
        measures = _measure(results, amended.reply)
        measures.publish_s = publish_s
        measures.amend_in_force_s = amended.elapsed_s
        measures.host_moves = replay.findings.moves
        measures.log_records = replay.findings.records
        measures.elapsed_s = time.monotonic() - started_s
        return DemoReport(violations, measures)


async def _publish_all(cluster: Cluster) -> float:
    started_s = time.monotonic()
    for contract in CONTRACTS:
        command = ContractCommand(
            f"publish-{contract.customer}", msgspec.to_builtins(contract)
        )
        reply = await cluster.send_contract("entry-0", command)
        assert reply.code == 0, reply
    print(f"published {len(CONTRACTS)} contracts")
    await cluster.wait_pool_sizes(POOL_SIZES)
    print("all pools have their hosts")
    return time.monotonic() - started_s


class Amendment(msgspec.Struct, frozen=True):
    """An amended contract and how long it took to be in force."""

    reply: CommandReply
    elapsed_s: float


async def _amend(cluster: Cluster) -> Amendment:
    await asyncio.sleep(AMEND_AT_S)
    started_s = time.monotonic()
    contract = contract_of("agenzia", bookings=5, sizing=7)
    command = ContractCommand(
        "amend-agenzia", msgspec.to_builtins(contract), expected_version=1
    )
    reply = await cluster.send_contract("entry-1", command)
    elapsed_s = time.monotonic() - started_s
    print(
        f"amended a contract: in force on {reply.in_force} of {reply.live} "
        f"entry hosts after {elapsed_s:.2f} s"
    )
    return Amendment(reply, elapsed_s)


async def _replace_host(cluster: Cluster) -> None:
    await asyncio.sleep(LEAVE_AT_S)
    leaving = await cluster.describe_host("host-3")
    leaving.state = "leaving"
    await cluster.set_endpoint_faults("host-3", EndpointFaults(leaving=True))
    await cluster.change_hosts(
        HostListChange(hosts=[leaving], lag_s=LIST_LAG_S)
    )
    print("host-3 is leaving; the host list shows that later")
    await asyncio.sleep(REMOVE_AFTER_S)
    replacement = f"host-{HOSTS}"
    await cluster.start_endpoint(replacement)
    await cluster.change_hosts(
        HostListChange(
            hosts=[await cluster.describe_host(replacement)],
            removed=["host-3"],
        )
    )
    print(f"{replacement} replaces host-3")


async def _stop_entry_host(cluster: Cluster) -> None:
    await asyncio.sleep(STOP_ENTRY_AT_S)
    process = cluster.entries_by_id["entry-5"]
    process.terminate()
    code = await process.wait()
    print(f"entry-5 stopped gracefully, exit code {code}")


def _measure(results: list[CallerResult], reply: CommandReply) -> DemoMeasures:
    waits_s = [wait_s(result) for result in answered(results)]
    return DemoMeasures(
        requests=len({result.request.operation for result in results}),
        results=count_kinds(results),
        wait_p50_s=percentile(waits_s, 0.5),
        wait_p99_s=percentile(waits_s, 0.99),
        publish_s=0.0,
        amend_in_force_s=0.0,
        in_force=reply.in_force,
        live=reply.live,
        host_moves=0,
        log_records=0,
        elapsed_s=0.0,
    )


def _print_report(report: DemoReport) -> None:
    print()
    for name, value in msgspec.to_builtins(report.measures).items():
        text = f"{value:.3f}" if isinstance(value, float) else value
        print(f"{name:<24} {text}")
    print()
    for name, value in msgspec.to_builtins(report.violations).items():
        print(f"{'violations.' + name:<36} {value}")


def main() -> None:
    """Runs the demo; the exit code is 1 if there were violations."""
    report = asyncio.run(run_demo())
    RESULT_PATH.write_bytes(
        msgspec.json.format(msgspec.json.encode(report), indent=2)
    )
    _print_report(report)
    sys.exit(1 if report.violations.total() else 0)


if __name__ == "__main__":
    main()
