"""Measures the overhead of an entry host against the size of the fleet.

Entry hosts are real processes. Their connections to the log, to the host list
and to each other go through proxies that count every byte. No requests are
sent, so that only the overhead is measured.
"""

import asyncio
import math
import time
from collections.abc import Sequence

import msgspec

from bench.results import Row, make_row, print_rows, write_rows
from coltsfootseam.contracts import BillingWeight, Contract, Pool, TeamQuota
from coltsfootseam.entry import ContractCommand
from coltsfootseam.standins.hostlist import Host, HostListChange
from coltsfootseam.testbed import Cluster, ClusterPlan, launching, wait_until

RESULT_PATH = "bench/results/control.json"
MEASURED_S = 10.0
POOLS_PER_CONTRACT = 4
TEAM_COUNT = 160
TARGET_CPU_SHARE = 0.034
TARGET_RSS_MB = 128.0
TARGET_BYTES_PER_S = 3000.0
_MB = 1024 * 1024
_SECONDS_PER_DAY = 86_400


class Size(msgspec.Struct, frozen=True):
    """Size of a case.

    Attributes:
        hosts: Number of hosts in the fleet.
        pools: Number of pools over all contracts.
        entry_hosts: Number of entry hosts.
        changes_per_s: Contract amendments per second.
    """

    hosts: int = 170
    pools: int = 43
    entry_hosts: int = 3
    changes_per_s: float = 0.0


class Cost(msgspec.Struct, frozen=True):
    """Overhead of an entry host.

    Attributes:
        cpu_share: Share of a core, mean over the entry hosts.
        cpu_share_most: Share of a core on the busiest entry host, the planner.
        rss_mb: Largest resident memory of an entry host.
        log_bytes_per_s: Bytes to and from the log and the host list, mean over
            the entry hosts.
        peer_bytes_per_s: Bytes sent to and received from other entry hosts,
            mean over the entry hosts.
    """

    cpu_share: float
    cpu_share_most: float
    rss_mb: float
    log_bytes_per_s: float
    peer_bytes_per_s: float


class UsageSample(msgspec.Struct, frozen=True):
    """Totals of the entry hosts at one point in time."""

    at_s: float
    cpu_s_by_entry: dict[str, float]
    log_bytes: int
    peer_bytes: int


BASE_SIZE = Size()
TWO_YEAR_SIZE = Size(
    hosts=680,
    pools=173,
    entry_hosts=12,
    changes_per_s=1100 / _SECONDS_PER_DAY,
)
SIZES_BY_DIMENSION: dict[str, list[Size]] = {
    "hosts": [BASE_SIZE, Size(hosts=340), Size(hosts=680)],
    "pools": [BASE_SIZE, Size(pools=87), Size(pools=173)],
    "entry_hosts": [BASE_SIZE, Size(entry_hosts=6), Size(entry_hosts=12)],
    "changes_per_s": [
        BASE_SIZE,
        Size(changes_per_s=1.0),
        Size(changes_per_s=4.0),
    ],
}


def make_contracts(size: Size) -> list[Contract]:
    """Returns contracts whose pools together hold all hosts of a size."""
    per_pool = math.ceil(size.hosts / size.pools)
    pools = [
        Pool(
            name=f"pool-{number}",
            service=f"service-{number}",
            hosts_at_most=per_pool,
            max_down=1,
        )
        for number in range(size.pools)
    ]
    groups = [
        pools[start : start + POOLS_PER_CONTRACT]
        for start in range(0, len(pools), POOLS_PER_CONTRACT)
    ]
    teams = [
        TeamQuota(team=f"team-{number}", processors=64, memory_gb=256)
        for number in range(math.ceil(TEAM_COUNT / len(groups)))
    ]
    return [
        Contract(
            customer=f"customer-{number}",
            pools=group,
            billing_weight=BillingWeight(0.5, 0.5),
            team_quotas=teams,
        )
        for number, group in enumerate(groups)
    ]


def make_hosts(count: int) -> list[Host]:
    """Returns hosts without a process behind their addresses."""
    return [
        Host(
            host_id=f"host-{number}",
            zone=f"zone-{'abcde'[number % 5]}",
            rack=f"rack-{number // 4}",
            address=f"127.250.{number // 200}.{1 + number % 200}:9000",
            slots=8,
            connections=64,
        )
        for number in range(count)
    ]


async def measure(size: Size) -> Cost:
    """Measures one case."""
    plan = ClusterPlan(
        name="control",
        entry_hosts=size.entry_hosts,
        endpoints=0,
        log_proxies=True,
        peer_proxies=True,
    )
    async with launching(plan) as cluster:
        contracts = make_contracts(size)
        for contract in contracts:
            await _send(cluster, contract, 0)
        await cluster.change_hosts(HostListChange(hosts=make_hosts(size.hosts)))
        await _wait_all_claimed(cluster, size)
        before = await _sample(cluster)
        await _amend_contracts(cluster, contracts, size)
        after = await _sample(cluster)
        return _compute_cost(cluster, before, after)


async def _send(cluster: Cluster, contract: Contract, version: int) -> None:
    command = ContractCommand(
        f"{contract.customer}-{version}",
        msgspec.to_builtins(contract),
        version,
    )
    reply = await cluster.send_contract("entry-0", command)
    assert reply.code == 0, reply


async def _wait_all_claimed(cluster: Cluster, size: Size) -> None:
    async def all_claimed() -> bool:
        for entry_id in cluster.entries_by_id:
            status = await cluster.status(entry_id)
            if sum(len(pool.hosts) for pool in status.pools) != size.hosts:
                return False
        return True

    await wait_until(all_claimed, f"{size.hosts} hosts claimed")


async def _amend_contracts(
    cluster: Cluster, contracts: Sequence[Contract], size: Size
) -> None:
    started_s = time.monotonic()
    changes = 0
    while time.monotonic() < started_s + MEASURED_S:
        if size.changes_per_s == 0:
            await asyncio.sleep(MEASURED_S)
            return
        version, number = divmod(changes, len(contracts))
        await _send(cluster, contracts[number], version + 1)
        changes += 1
        due_s = started_s + changes / size.changes_per_s
        await asyncio.sleep(max(0.0, due_s - time.monotonic()))


async def _sample(cluster: Cluster) -> UsageSample:
    log_bytes = 0
    peer_bytes = 0
    for entry_id in cluster.entries_by_id:
        log_bytes += await _count_proxied_bytes(cluster, f"log-{entry_id}")
        log_bytes += await _count_proxied_bytes(cluster, f"hosts-{entry_id}")
        peer_bytes += await _count_proxied_bytes(cluster, f"peers-{entry_id}")
    cpu_s = {
        entry_id: process.usage().cpu_s
        for entry_id, process in cluster.entries_by_id.items()
    }
    return UsageSample(time.monotonic(), cpu_s, log_bytes, peer_bytes)


async def _count_proxied_bytes(cluster: Cluster, path: str) -> int:
    tally = await cluster.proxy_tally(path)
    return tally.bytes_to_target + tally.bytes_from_target


def _compute_cost(
    cluster: Cluster, before: UsageSample, after: UsageSample
) -> Cost:
    elapsed_s = after.at_s - before.at_s
    count = len(cluster.entries_by_id)
    shares = [
        (after.cpu_s_by_entry[entry_id] - before.cpu_s_by_entry[entry_id])
        / elapsed_s
        for entry_id in cluster.entries_by_id
    ]
    rss_bytes = max(
        process.usage().rss_bytes for process in cluster.entries_by_id.values()
    )
    log_bytes = (after.log_bytes - before.log_bytes) / elapsed_s / count
    # Each byte between two peers is traffic for both of them, but is counted
    # once, at the callee's proxy.
    peer_bytes = 2 * (after.peer_bytes - before.peer_bytes) / elapsed_s / count
    return Cost(
        cpu_share=sum(shares) / count,
        cpu_share_most=max(shares),
        rss_mb=rss_bytes / _MB,
        log_bytes_per_s=log_bytes,
        peer_bytes_per_s=peer_bytes,
    )


def _slope(points: list[tuple[float, float]]) -> float:
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread


def _rows_of(name: str, cost: Cost, base: Cost) -> list[Row]:
    units = {
        "cpu_share": "core",
        "cpu_share_most": "core",
        "rss_mb": "MB",
        "log_bytes_per_s": "B/s",
        "peer_bytes_per_s": "B/s",
    }
    return [
        make_row(
            name, metric, unit, getattr(cost, metric), getattr(base, metric)
        )
        for metric, unit in units.items()
    ]


def _extrapolate(costs: dict[Size, Cost]) -> list[Row]:
    """Extrapolates linearly to the size expected in two years.

    Adds to the figures at ``BASE_SIZE``, for each dimension, the measured slope
    times the growth.
    """
    targets = {
        "cpu_share": TARGET_CPU_SHARE,
        "cpu_share_most": TARGET_CPU_SHARE,
        "rss_mb": TARGET_RSS_MB,
        "log_bytes_per_s": TARGET_BYTES_PER_S,
        "peer_bytes_per_s": TARGET_BYTES_PER_S,
    }
    rows: list[Row] = []
    for metric, target in targets.items():
        total = getattr(costs[BASE_SIZE], metric)
        for dimension, sizes in SIZES_BY_DIMENSION.items():
            slope = _slope(
                [
                    (getattr(size, dimension), getattr(costs[size], metric))
                    for size in sizes
                ]
            )
            rows.append(
                make_row(f"slope of {dimension}", metric, "each", slope)
            )
            distance = getattr(TWO_YEAR_SIZE, dimension) - getattr(
                BASE_SIZE, dimension
            )
            total += slope * distance
        rows.append(make_row("two years", metric, "target", total, target))
    return rows


async def run_cases() -> list[Row]:
    """Measures every case and returns all rows."""
    costs: dict[Size, Cost] = {}
    rows: list[Row] = []
    for dimension, sizes in SIZES_BY_DIMENSION.items():
        for size in sizes:
            if size not in costs:
                costs[size] = await measure(size)
            name = f"{dimension}={getattr(size, dimension)}"
            rows.extend(_rows_of(name, costs[size], costs[BASE_SIZE]))
            print(name, costs[size], flush=True)
    return rows + _extrapolate(costs)


def main() -> None:
    """Runs the benchmark and writes its rows."""
    rows = asyncio.run(run_cases())
    write_rows(RESULT_PATH, rows)
    print_rows(rows)


if __name__ == "__main__":
    main()
