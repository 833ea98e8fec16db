"""Records a trace of the log from real processes under faults.

``tests/cover/test_recorded_trace.py`` replays the trace and compares the
outcome with the one stated there. Record it again only if the format of
records changes.
"""

import asyncio
import pathlib

import msgspec

from coltsfootseam.contracts import BillingWeight, Contract, Pool
from coltsfootseam.entry import ContractCommand
from coltsfootseam.platform import LogPage
from coltsfootseam.standins.hostlist import HostListChange
from coltsfootseam.standins.log import LogFaults
from coltsfootseam.testbed import (
    Cluster,
    ClusterPlan,
    launching,
    wait_until,
)

TRACE_PATH = pathlib.Path("tests/traces/races.jsonl")


def make_contract(hosts_alpha: int, hosts_beta: int) -> Contract:
    """Returns a contract with pools ``alpha`` and ``beta``."""
    return Contract(
        customer="customer",
        pools=[
            Pool("alpha", "alpha", hosts_at_most=hosts_alpha, max_down=1),
            Pool("beta", "beta", hosts_at_most=hosts_beta, max_down=1),
        ],
        billing_weight=BillingWeight(0.5, 0.5),
    )


def make_command(
    record_id: str, contract: Contract, version: int = 0
) -> ContractCommand:
    """Returns a command that publishes or amends a contract."""
    return ContractCommand(record_id, msgspec.to_builtins(contract), version)


async def record() -> LogPage:
    """Runs the scenario and returns the log."""
    plan = ClusterPlan(name="record", entry_hosts=3, endpoints=6)
    async with launching(plan) as cluster:
        await cluster.set_log_faults(LogFaults(lose_answer_every=3))
        await cluster.send_contract(
            "entry-0", make_command("publish", make_contract(4, 2))
        )
        await cluster.wait_pool_sizes({"alpha": 4, "beta": 2})
        await asyncio.gather(
            cluster.send_contract(
                "entry-0", make_command("race-0", make_contract(2, 3), 1)
            ),
            cluster.send_contract(
                "entry-1", make_command("race-1", make_contract(3, 3), 1)
            ),
        )
        await cluster.send_contract(
            "entry-1", make_command("settle", make_contract(2, 3), 2)
        )
        await cluster.wait_pool_sizes({"alpha": 2, "beta": 3})
        await _pause_past_lease(cluster)
        await _lose_a_host(cluster)
        return await _read_log(cluster)


async def _pause_past_lease(cluster: Cluster) -> None:
    paused = cluster.entries_by_id["entry-2"]
    paused.pause()
    await _wait_members(cluster, 2)
    paused.resume()
    await _wait_members(cluster, 3)


async def _wait_members(cluster: Cluster, count: int) -> None:
    async def has_members() -> bool:
        return len((await cluster.status("entry-0")).members) == count

    await wait_until(has_members, f"{count} members")


async def _lose_a_host(cluster: Cluster) -> None:
    lost = (await cluster.status("entry-0")).pools[0].hosts[0].host_id
    await cluster.change_hosts(HostListChange(removed=[lost]))

    async def is_replaced() -> bool:
        pools = (await cluster.status("entry-0")).pools
        host_ids = {host.host_id for host in pools[0].hosts}
        return lost not in host_ids and len(host_ids) == 2

    await wait_until(is_replaced, f"{lost} is replaced")


async def _read_log(cluster: Cluster) -> LogPage:
    path = "/records?from=0&limit=100000&wait_ms=0"
    return await cluster.control.get(cluster.log_address(), path, LogPage)


def main() -> None:
    """Records the scenario and writes the trace."""
    page = asyncio.run(record())
    TRACE_PATH.parent.mkdir(parents=True, exist_ok=True)
    lines = [msgspec.json.encode(entry).decode() for entry in page.entries]
    TRACE_PATH.write_text("\n".join(lines) + "\n")
    print(f"{TRACE_PATH}: {len(lines)} records")


if __name__ == "__main__":
    main()
