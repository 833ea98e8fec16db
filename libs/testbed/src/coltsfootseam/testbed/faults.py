"""Faults by name, which the fault matrix injects alone and in pairs."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec

from coltsfootseam.standins.endpoint import EndpointFaults
from coltsfootseam.standins.hostlist import HostListChange
from coltsfootseam.standins.log import LogFaults
from coltsfootseam.standins.proxy import ProxyFaults
from coltsfootseam.testbed.cluster import Cluster

FaultInjector = Callable[[Cluster, random.Random], Awaitable[None]]


class Fault(msgspec.Struct, frozen=True):
    """One kind of fault.

    Attributes:
        name: Name of the fault.
        inject: Injects it and, where it passes, clears it again.
        breaks_connections: Whether it may break connections of callers.
    """

    name: str
    inject: FaultInjector
    breaks_connections: bool


faults_by_name: dict[str, Fault] = {}


def fault(
    name: str, breaks_connections: bool = False
) -> Callable[[FaultInjector], FaultInjector]:
    """Registers the decorated function as the injector of a fault."""

    def register(inject: FaultInjector) -> FaultInjector:
        assert name not in faults_by_name, name
        faults_by_name[name] = Fault(name, inject, breaks_connections)
        return inject

    return register


async def _wait(rng: random.Random) -> None:
    await asyncio.sleep(rng.uniform(0.5, 2.5))


def _pick_entry(cluster: Cluster, rng: random.Random) -> str:
    running = [
        entry_id
        for entry_id, process in sorted(cluster.entries_by_id.items())
        if process.is_running()
    ]
    return rng.choice(running)


def _pick_host(cluster: Cluster, rng: random.Random) -> str:
    return rng.choice(sorted(cluster.endpoints_by_id))


@fault("log-down")
async def take_log_down(cluster: Cluster, rng: random.Random) -> None:
    """The log is down for a while."""
    await _wait(rng)
    await cluster.set_log_faults(LogFaults(down=True))
    await _wait(rng)
    await cluster.set_log_faults(LogFaults())


@fault("log-loses-answers")
async def lose_answers(cluster: Cluster, rng: random.Random) -> None:
    """The log loses the reply to every second append."""
    await cluster.set_log_faults(LogFaults(lose_answer_every=2))
    await _wait(rng)
    await _wait(rng)
    await cluster.set_log_faults(LogFaults())


@fault("log-slow")
async def slow_log_down(cluster: Cluster, rng: random.Random) -> None:
    """Every call to the log takes half a second longer."""
    await cluster.set_log_faults(LogFaults(latency_ms=500))
    await _wait(rng)
    await cluster.set_log_faults(LogFaults())


@fault("entry-killed", breaks_connections=True)
async def kill_entry(cluster: Cluster, rng: random.Random) -> None:
    """An entry host is killed."""
    await _wait(rng)
    cluster.entries_by_id[_pick_entry(cluster, rng)].kill()


@fault("entry-replaced", breaks_connections=True)
async def replace_entry(cluster: Cluster, rng: random.Random) -> None:
    """An entry host is killed and a new process takes over its id."""
    await _wait(rng)
    entry_id = _pick_entry(cluster, rng)
    cluster.entries_by_id[entry_id].kill()
    await cluster.start_entry(entry_id)


@fault("entry-paused", breaks_connections=True)
async def pause_entry(cluster: Cluster, rng: random.Random) -> None:
    """An entry host is paused for longer than its lease, then resumed."""
    await _wait(rng)
    process = cluster.entries_by_id[_pick_entry(cluster, rng)]
    process.pause()
    await asyncio.sleep(5.0)
    process.resume()


@fault("entry-stopped")
async def stop_entry(cluster: Cluster, rng: random.Random) -> None:
    """An entry host is stopped gracefully."""
    await _wait(rng)
    cluster.entries_by_id[_pick_entry(cluster, rng)].terminate()


@fault("endpoint-leaving")
async def let_endpoint_leave(cluster: Cluster, rng: random.Random) -> None:
    """An endpoint leaves, which the host list shows late."""
    await _wait(rng)
    host_id = _pick_host(cluster, rng)
    host = await cluster.describe_host(host_id)
    host.state = "leaving"
    await cluster.change_hosts(HostListChange(hosts=[host], lag_s=10.0))
    await cluster.set_endpoint_faults(host_id, EndpointFaults(leaving=True))


async def _disturb_endpoint(
    cluster: Cluster, rng: random.Random, faults: EndpointFaults
) -> None:
    await _wait(rng)
    host_id = _pick_host(cluster, rng)
    await cluster.set_endpoint_faults(host_id, faults)
    await _wait(rng)
    await cluster.set_endpoint_faults(host_id, EndpointFaults())


@fault("endpoint-failing")
async def let_endpoint_fail(cluster: Cluster, rng: random.Random) -> None:
    """An endpoint runs requests and aborts before it responds."""
    await _disturb_endpoint(cluster, rng, EndpointFaults(failing=True))


@fault("endpoint-cutting", breaks_connections=True)
async def let_endpoint_cut(cluster: Cluster, rng: random.Random) -> None:
    """An endpoint aborts in the middle of its responses."""
    await _disturb_endpoint(cluster, rng, EndpointFaults(cutting=True))


@fault("endpoint-refusing")
async def let_endpoint_refuse(cluster: Cluster, rng: random.Random) -> None:
    """An endpoint refuses all requests without running them."""
    await _disturb_endpoint(cluster, rng, EndpointFaults(refusing=True))


@fault("endpoint-hanging")
async def let_endpoint_hang(cluster: Cluster, rng: random.Random) -> None:
    """An endpoint doesn't respond for a while."""
    await _disturb_endpoint(cluster, rng, EndpointFaults(hanging=True))


async def _disturb_paths(
    cluster: Cluster, rng: random.Random, names: list[str], faults: ProxyFaults
) -> None:
    await _wait(rng)
    for name in names:
        await cluster.set_proxy_faults(name, faults)
    await _wait(rng)
    for name in names:
        await cluster.set_proxy_faults(name, ProxyFaults())


@fault("peers-silent")
async def silence_peers(cluster: Cluster, rng: random.Random) -> None:
    """Open connections between entry hosts drop all data; new ones work."""
    names = [f"peers-{entry_id}" for entry_id in cluster.entries_by_id]
    faults = ProxyFaults(silence_open=True)
    await _disturb_paths(cluster, rng, names, faults)


@fault("peers-cut")
async def cut_peers(cluster: Cluster, rng: random.Random) -> None:
    """One entry host can't be reached by the others."""
    names = [f"peers-{_pick_entry(cluster, rng)}"]
    faults = ProxyFaults(refuse=True, cut=True)
    await _disturb_paths(cluster, rng, names, faults)


@fault("log-cut")
async def cut_log(cluster: Cluster, rng: random.Random) -> None:
    """One entry host can't reach the log."""
    names = [f"log-{_pick_entry(cluster, rng)}"]
    faults = ProxyFaults(refuse=True, cut=True)
    await _disturb_paths(cluster, rng, names, faults)
