"""Callers are served while entry hosts are killed, paused or cut off."""

import asyncio

from coltsfootseam.standins.proxy import ProxyFaults
from coltsfootseam.testbed import (
    ConfigurationWatch,
    ResultKind,
    count_violations,
    launching,
    wait_until,
)
from tests.common.clusters import (
    amend_command,
    load_during,
    make_plan,
    publish_small_contract,
    small_contract,
    steady_load,
    wait_members,
    wait_version,
)


async def test_killed_entry_host_is_removed_and_its_slots_are_reused() -> None:
    async with launching(make_plan("killed")) as cluster:
        await publish_small_contract(cluster)

        async def kill() -> None:
            await asyncio.sleep(1.0)
            cluster.entries_by_id["entry-2"].kill()
            await wait_members(cluster, "entry-0", 2)

        load = steady_load(600, per_s=60, attempt_limit=5, deadline_ms=8000)
        results = await load_during(cluster, load, kill())
        violations = count_violations(results, await cluster.tallies())
        # The kill breaks connections of callers; nothing else may go wrong.
        violations.interrupted = 0
        assert violations.total() == 0, violations
        last_kinds = {
            result.request.operation: result.kind for result in results
        }
        answered = list(last_kinds.values()).count(ResultKind.ANSWERED)
        assert answered >= 0.95 * len(load)


async def test_entry_host_paused_past_its_lease_is_fenced() -> None:
    async with launching(make_plan("paused")) as cluster:
        await publish_small_contract(cluster)
        watch = ConfigurationWatch(cluster)
        paused = cluster.entries_by_id["entry-2"]
        paused.pause()
        await wait_members(cluster, "entry-0", 2)
        amended = await cluster.send_contract(
            "entry-0", amend_command(small_contract(1, 3), "amend", 1)
        )
        assert amended.code == 0, amended
        assert amended.in_force == amended.live == 2
        watching = asyncio.ensure_future(watch.run())
        paused.resume()
        await wait_members(cluster, "entry-0", 3)
        await wait_version(cluster, "entry-2", hosts_a=1)
        status = await cluster.status("entry-0")
        epochs = {each.member_id: each.epoch for each in status.members}
        assert epochs == {"entry-0": 1, "entry-1": 1, "entry-2": 2}
        watching.cancel()
        assert watch.reverted == 0


async def test_host_cut_off_from_the_log_catches_up_from_peers() -> None:
    plan = make_plan("cut-from-log", log_proxies=True)
    async with launching(plan) as cluster:
        await publish_small_contract(cluster)
        fault = ProxyFaults(refuse=True, cut=True)
        await cluster.set_proxy_faults("log-entry-2", fault)

        async def is_log_unreachable() -> bool:
            return not (await cluster.status("entry-2")).log_reachable

        await wait_until(
            is_log_unreachable, "entry-2 reports the log as unreachable"
        )
        amended = await cluster.send_contract(
            "entry-0", amend_command(small_contract(1, 3), "amend", 1)
        )
        assert amended.code == 0, amended
        assert amended.in_force == amended.live
        await wait_version(cluster, "entry-2", hosts_a=1)


async def test_unresponsive_connections_to_the_log_are_replaced() -> None:
    plan = make_plan("silent-log", log_proxies=True)
    async with launching(plan) as cluster:
        await publish_small_contract(cluster)
        for entry_id in cluster.entries_by_id:
            await cluster.set_proxy_faults(
                f"log-{entry_id}", ProxyFaults(silence_open=True)
            )
        amended = await cluster.send_contract(
            "entry-0", amend_command(small_contract(1, 3), "amend", 1)
        )
        assert amended.code == 0, amended
        for entry_id in cluster.entries_by_id:
            await wait_version(cluster, entry_id, hosts_a=1)


async def test_unresponsive_connections_between_peers_are_replaced() -> None:
    plan = make_plan("silent-peers", peer_proxies=True)
    async with launching(plan) as cluster:
        await publish_small_contract(cluster)
        before = steady_load(60, per_s=60)
        assert await load_during(cluster, before)
        for entry_id in cluster.entries_by_id:
            await cluster.set_proxy_faults(
                f"peers-{entry_id}", ProxyFaults(silence_open=True)
            )
        after = [
            each.__class__(
                operation=f"after-{each.operation}",
                service=each.service,
                at_s=each.at_s,
                run_ms=each.run_ms,
                deadline_ms=10_000,
            )
            for each in before
        ]
        results = await load_during(cluster, after)
        assert {result.kind for result in results} == {ResultKind.ANSWERED}


async def test_isolated_entry_host_is_not_ready() -> None:
    plan = make_plan("isolated", log_proxies=True, peer_proxies=True)
    async with launching(plan) as cluster:
        await publish_small_contract(cluster)
        cut = ProxyFaults(refuse=True, cut=True)
        await cluster.set_proxy_faults("log-entry-2", cut)
        for entry_id in ("entry-0", "entry-1"):
            await cluster.set_proxy_faults(f"peers-{entry_id}", cut)

        async def is_not_ready() -> bool:
            return not (await cluster.status("entry-2")).ready

        await wait_until(is_not_ready, "entry-2 is not ready")
        for entry_id in ("entry-0", "entry-1"):
            await cluster.set_proxy_faults(f"peers-{entry_id}", ProxyFaults())
        await cluster.set_proxy_faults("log-entry-2", ProxyFaults())
        await cluster.wait_ready("entry-2")
