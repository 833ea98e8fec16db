"""Real processes serve requests and apply contracts."""

import asyncio

from coltsfootseam.standins.endpoint import EndpointFaults
from coltsfootseam.standins.hostlist import HostListChange
from coltsfootseam.testbed import (
    count_violations,
    launching,
    replay_log,
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
)


async def test_requests_get_their_own_whole_answers() -> None:
    async with launching(make_plan("answers")) as cluster:
        await publish_small_contract(cluster)
        load = steady_load(300, per_s=150, answer_bytes=100_000)
        results = await load_during(cluster, load)
        assert_all_answered(results)
        violations = count_violations(results, await cluster.tallies())
        assert violations.total() == 0, violations


async def test_an_amended_contract_moves_hosts_and_interrupts_nothing() -> None:
    async with launching(make_plan("amend", endpoints=6)) as cluster:
        reply = await cluster.send_contract(
            "entry-0", publish_command(small_contract(4, 2), "publish")
        )
        assert reply.in_force == reply.live == 3
        await cluster.wait_pool_sizes({"alpha": 4, "beta": 2})

        async def amend() -> None:
            await asyncio.sleep(1.0)
            contract = small_contract(2, 4)
            amended = await cluster.send_contract(
                "entry-1", amend_command(contract, "amend", 1)
            )
            assert amended.code == 0, amended
            await cluster.wait_pool_sizes({"alpha": 2, "beta": 4})

        load = steady_load(600, per_s=120, run_ms=100)
        results = await load_during(cluster, load, amend())
        assert_all_answered(results)
        violations = count_violations(results, await cluster.tallies())
        assert violations.total() == 0, violations
        findings = (await replay_log(cluster)).findings
        assert findings.moves == 2
        assert findings.budget_breaches == 0
        assert findings.host_in_two_pools == 0


async def test_a_leaving_endpoint_gets_no_new_work_though_the_list_lags() -> (
    None
):
    async with launching(make_plan("leaving")) as cluster:
        await publish_small_contract(cluster)

        async def leave() -> None:
            await asyncio.sleep(1.0)
            host = await cluster.describe_host("host-0")
            host.state = "leaving"
            await cluster.change_hosts(HostListChange(hosts=[host], lag_s=10.0))
            await cluster.set_endpoint_faults(
                "host-0", EndpointFaults(leaving=True)
            )

        load = steady_load(500, per_s=60)
        results = await load_during(cluster, load, leave())
        assert_all_answered(results)
        violations = count_violations(results, await cluster.tallies())
        assert violations.total() == 0, violations


async def test_a_planned_stop_of_every_entry_host_interrupts_nothing() -> None:
    async with launching(make_plan("stops")) as cluster:
        await publish_small_contract(cluster)

        async def stop_one_after_another() -> None:
            for entry_id in list(cluster.entries_by_id):
                process = cluster.entries_by_id[entry_id]
                process.terminate()
                assert await process.wait() == 0
                await cluster.start_entry(entry_id)
                await cluster.wait_ready(entry_id)

        load = steady_load(1500, per_s=100, run_ms=200)
        results = await load_during(cluster, load, stop_one_after_another())
        assert_all_answered(results)
        violations = count_violations(results, await cluster.tallies())
        assert violations.total() == 0, violations
