"""Callers get complete and correct answers while endpoints fail.

The endpoints cut answers, fail, refuse requests, become unresponsive and die.
"""

import asyncio

from coltsfootseam.standins.endpoint import EndpointFaults
from coltsfootseam.standins.proxy import ProxyFaults
from coltsfootseam.testbed import (
    LoadRequest,
    ResultKind,
    count_violations,
    launching,
)
from tests.common.clusters import (
    assert_all_answered,
    load_during,
    make_plan,
    publish_small_contract,
    result_kinds,
    steady_load,
)


async def test_a_cut_answer_is_never_taken_for_the_whole() -> None:
    async with launching(make_plan("cut-answers")) as cluster:
        await publish_small_contract(cluster)
        for host_id in cluster.endpoints_by_id:
            await cluster.set_endpoint_faults(
                host_id, EndpointFaults(cutting=True)
            )
        # Half of the answers have no content length, so that only the end of
        # the connection shows whether an answer is complete.
        load = steady_load(30, per_s=60, answer_bytes=200_000)
        load += [
            LoadRequest(
                operation=f"chunked-{number}",
                service="alpha",
                at_s=number / 60,
                run_ms=50,
                answer_bytes=200_000,
                chunked=True,
            )
            for number in range(30)
        ]
        results = await load_during(cluster, load)
        assert result_kinds(results) == {ResultKind.BROKEN}
        violations = count_violations(results, await cluster.tallies())
        assert violations.wrong_answers == 0
        assert violations.run_twice == 0


async def test_not_run_is_true_after_an_attempt_that_may_have_run() -> None:
    plan = make_plan("true-not-run", endpoints=4)
    async with launching(plan) as cluster:
        await publish_small_contract(cluster)
        # Each pool has one endpoint that fails while it runs a request and one
        # that refuses requests.
        for number, host_id in enumerate(sorted(cluster.endpoints_by_id)):
            faults = EndpointFaults(failing=True)
            if number >= 2:
                faults = EndpointFaults(refusing=True)
            await cluster.set_endpoint_faults(host_id, faults)
        load = [
            LoadRequest(
                operation=f"op-{number}",
                service=("alpha", "beta")[number % 2],
                at_s=number / 20,
                run_ms=20,
                repeatable=True,
                deadline_ms=1500,
            )
            for number in range(100)
        ]
        results = await load_during(cluster, load)
        assert ResultKind.UNKNOWN in result_kinds(results)
        violations = count_violations(results, await cluster.tallies())
        assert violations.false_not_run == 0
        assert violations.wrong_answers == 0


async def test_what_may_not_be_repeated_runs_once_though_callers_retry() -> (
    None
):
    async with launching(make_plan("at-most-once")) as cluster:
        await publish_small_contract(cluster)

        async def fail_now_and_then() -> None:
            for _ in range(3):
                for host_id in ("host-0", "host-1"):
                    await cluster.set_endpoint_faults(
                        host_id, EndpointFaults(failing=True)
                    )
                await asyncio.sleep(0.7)
                for host_id in ("host-0", "host-1"):
                    await cluster.set_endpoint_faults(host_id, EndpointFaults())
                await asyncio.sleep(0.7)

        load = steady_load(400, per_s=100, attempt_limit=4, deadline_ms=3000)
        results = await load_during(cluster, load, fail_now_and_then())
        assert ResultKind.UNKNOWN in result_kinds(results)
        violations = count_violations(results, await cluster.tallies())
        assert violations.total() == 0, violations


async def test_retry_gets_the_first_answer_from_another_entry_host() -> None:
    async with launching(make_plan("kept-answers")) as cluster:
        await publish_small_contract(cluster)
        request = steady_load(2, per_s=10)[1]
        first = await load_during(cluster, [request])
        again = await load_during(cluster, [request, request, request])
        assert result_kinds([*first, *again]) == {ResultKind.ANSWERED}
        assert len({result.entry_id for result in again}) == 3
        violations = count_violations([*first, *again], await cluster.tallies())
        assert violations.total() == 0, violations


async def test_unresponsive_endpoint_connections_lose_no_new_request() -> None:
    plan = make_plan("silent-endpoints", endpoint_proxies=True)
    async with launching(plan) as cluster:
        await publish_small_contract(cluster)
        await load_during(cluster, steady_load(60, per_s=60))
        for host_id in cluster.endpoints_by_id:
            await cluster.set_proxy_faults(
                f"to-{host_id}", ProxyFaults(silence_open=True)
            )
        # Requests that may not be repeated are not sent on connections that
        # have been idle for 1 s.
        await asyncio.sleep(1.5)
        load = [
            LoadRequest(
                operation=f"after-{number}",
                service=("alpha", "beta")[number % 2],
                at_s=number / 60,
                run_ms=50,
            )
            for number in range(120)
        ]
        results = await load_during(cluster, load)
        assert_all_answered(results)


async def test_refusing_pool_causes_no_retry_storm() -> None:
    async with launching(make_plan("refusing")) as cluster:
        await publish_small_contract(cluster)
        for host_id in cluster.endpoints_by_id:
            await cluster.set_endpoint_faults(
                host_id, EndpointFaults(refusing=True)
            )
        load = steady_load(200, per_s=100, deadline_ms=1000)
        results = await load_during(cluster, load)
        assert result_kinds(results) == {ResultKind.NOT_RUN}
        violations = count_violations(results, await cluster.tallies())
        assert violations.total() == 0, violations
        retried = 0
        for entry_id in cluster.entries_by_id:
            totals = (await cluster.status(entry_id)).totals_by_counter
            retried += totals.get("requests.retried", 0)
        # The retry budget: a reserve of 20 for each of the two services on each
        # of the three entry hosts, and a tenth of all requests.
        assert retried <= 2 * 3 * 20 + 0.1 * len(load)


async def test_requests_to_a_dead_pool_are_retried_within_bounds() -> None:
    async with launching(make_plan("gone")) as cluster:
        await publish_small_contract(cluster)
        for process in cluster.endpoints_by_id.values():
            process.kill()
        load = steady_load(40, per_s=40, deadline_ms=3000)
        results = await load_during(cluster, load)
        assert result_kinds(results) == {ResultKind.NOT_RUN}
        probed_not_ready = 0
        for entry_id in cluster.entries_by_id:
            totals = (await cluster.status(entry_id)).totals_by_counter
            probed_not_ready += totals.get("requests.probed_not_ready", 0)
        # A request backs off for 0, 0.05, 0.1 ... 1 s between endpoints that
        # aren't ready, so at most ten probes fit into its deadline of 3 s.
        assert probed_not_ready <= 10 * len(load)


async def test_put_is_not_sent_again_on_a_connection_that_broke() -> None:
    async with launching(make_plan("put")) as cluster:
        await publish_small_contract(cluster)

        async def fail_after_a_while() -> None:
            await asyncio.sleep(1.0)
            for host_id in cluster.endpoints_by_id:
                await cluster.set_endpoint_faults(
                    host_id, EndpointFaults(failing=True)
                )

        load = [
            LoadRequest(
                operation=f"put-{number}",
                service=("alpha", "beta")[number % 2],
                at_s=number / 100,
                run_ms=20,
                method="PUT",
                keyed=False,
            )
            for number in range(200)
        ]
        results = await load_during(cluster, load, fail_after_a_while())
        assert ResultKind.UNKNOWN in result_kinds(results)
        violations = count_violations(results, await cluster.tallies())
        assert violations.total() == 0, violations
