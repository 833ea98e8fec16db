"""The log loses answers, is slow, fails and deletes old records."""

import asyncio

from coltsfootseam.results import ResultCode
from coltsfootseam.standins.log import LogFaults
from coltsfootseam.testbed import (
    Cluster,
    ConfigurationWatch,
    launching,
    wait_until,
)
from tests.common.clusters import (
    amend_command,
    assert_all_answered,
    load_during,
    make_plan,
    publish_command,
    publish_small_contract,
    small_contract,
    steady_load,
    wait_members,
    wait_version,
)

OUTAGE_S = 60.0


async def test_every_third_answer_lost_doubles_nothing() -> None:
    async with launching(make_plan("lost-answers")) as cluster:
        await cluster.set_log_faults(LogFaults(lose_answer_every=3))
        reply = await cluster.send_contract(
            "entry-0", publish_command(small_contract(), "publish")
        )
        assert reply.code == 0, reply
        await cluster.wait_pool_sizes({"alpha": 2, "beta": 2})
        for version in range(1, 10):
            contract = small_contract(2 + version % 2, 2)
            amended = await cluster.send_contract(
                f"entry-{version % 3}",
                amend_command(contract, f"amend-{version}", version),
            )
            assert amended.code == 0, amended
            assert amended.in_force == amended.live == 3
        status = await cluster.status("entry-2")
        assert len(status.pools[0].hosts) <= 3
        history = await cluster.control.get(
            cluster.admin_address("entry-2"),
            "/v1/contracts/customer/history",
            list[dict[str, object]],
        )
        versions = [entry["version"] for entry in history]
        assert versions == list(range(1, 11))


async def test_a_publish_is_in_force_everywhere_though_the_log_is_slow() -> (
    None
):
    plan = make_plan("slow-log", settings={})
    async with launching(plan) as cluster:
        await cluster.set_log_faults(LogFaults(latency_ms=1000))
        reply = await cluster.send_contract(
            "entry-0", publish_command(small_contract(), "publish")
        )
        assert reply.code == 0, reply
        assert reply.in_force == reply.live == 3


async def test_a_new_entry_host_starts_from_a_peer_while_the_log_is_down() -> (
    None
):
    plan = make_plan("start-in-outage", entry_hosts=2)
    async with launching(plan) as cluster:
        await publish_small_contract(cluster)
        await cluster.set_log_faults(LogFaults(down=True))
        await cluster.start_entry("entry-2")
        await wait_version(cluster, "entry-2", hosts_a=2)
        digests = {
            (await cluster.status(entry_id)).digest
            for entry_id in cluster.entries_by_id
        }
        assert len(digests) == 1
        await cluster.set_log_faults(LogFaults())
        await cluster.wait_ready("entry-2")
        await wait_members(cluster, "entry-0", 3)


async def test_nothing_reverts_in_a_log_outage_and_work_goes_on() -> None:
    plan = make_plan("outage", entry_hosts=3)
    async with launching(plan) as cluster:
        await publish_small_contract(cluster)
        amended = await cluster.send_contract(
            "entry-0", amend_command(small_contract(1, 3), "amend", 1)
        )
        assert amended.code == 0, amended
        await cluster.wait_pool_sizes({"alpha": 1, "beta": 3})
        watch = ConfigurationWatch(cluster)
        watching = asyncio.ensure_future(watch.run())
        await cluster.set_log_faults(LogFaults(down=True))
        load = steady_load(round(OUTAGE_S * 20), per_s=20)
        results = await load_during(
            cluster, load, _start_and_amend_in_outage(cluster)
        )
        assert_all_answered(results)
        await cluster.set_log_faults(LogFaults())
        await wait_members(cluster, "entry-0", 4)
        for entry_id in cluster.entries_by_id:
            await cluster.wait_ready(entry_id)
            await wait_version(cluster, entry_id, hosts_a=1)
        watching.cancel()
        assert watch.reverted == 0
        again = await cluster.send_contract(
            "entry-3", amend_command(small_contract(2, 2), "amend-3", 2)
        )
        assert again.code == 0, again
        assert again.in_force == again.live == 4


async def _start_and_amend_in_outage(cluster: Cluster) -> None:
    await cluster.start_entry("entry-3")
    await wait_version(cluster, "entry-3", hosts_a=1)
    refused = await cluster.send_contract(
        "entry-1", amend_command(small_contract(2, 2), "amend-2", 2)
    )
    assert refused.code == ResultCode.LOG_UNAVAILABLE, refused
    assert "nothing was accepted" in refused.reason


async def test_a_new_entry_host_starts_from_a_snapshot_after_retention() -> (
    None
):
    settings = {
        "timers": {
            "lease_ms": 3000,
            "renew_ms": 1000,
            "drift_margin_ms": 300,
            "log_wait_ms": 1000,
            "snapshot_ms": 2000,
        }
    }
    plan = make_plan("retention", entry_hosts=2, settings=settings)
    async with launching(plan) as cluster:
        await publish_small_contract(cluster)

        async def has_snapshot() -> bool:
            status = await cluster.status("entry-0")
            return bool(status.totals_by_counter.get("folded.SnapshotChunk"))

        await wait_until(has_snapshot, "a snapshot is in the log")
        await cluster.set_log_faults(LogFaults(retention_records=20))

        async def has_expired() -> bool:
            return (await cluster.status("entry-0")).offset > 40

        await wait_until(has_expired, "old records have expired")
        for process in cluster.entries_by_id.values():
            process.kill()
        await cluster.start_entry("entry-2")
        await cluster.wait_ready("entry-2")
        await cluster.wait_pool_sizes({"alpha": 2, "beta": 2})
