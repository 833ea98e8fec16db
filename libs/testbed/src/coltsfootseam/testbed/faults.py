"""The faults of the brief, each by name, to be brought about in pairs."""

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
        name: Its name.
        inject: Brings it about and lifts it again.
        breaks_connections: Whether connections of callers may break.
    """

    name: str
    inject: FaultInjector
    breaks_connections: bool


faults_by_name: dict[str, Fault] = {}


def fault(
    name: str, breaks_connections: bool = False
) -> Callable[[FaultInjector], FaultInjector]:
    """Registers what brings a fault about."""

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
    """The log loses the answer of every second append."""
    await cluster.set_log_faults(LogFaults(lose_answer_every=2))
    await _wait(rng)
    await _wait(rng)
    await cluster.set_log_faults(LogFaults())


@fault("log-slow")
async def slow_log_down(cluster: Cluster, rng: random.Random) -> None:
    """The log takes half a second longer."""
    await cluster.set_log_faults(LogFaults(latency_ms=500))
    await _wait(rng)
    await cluster.set_log_faults(LogFaults())


@fault("entry-killed", breaks_connections=True)
async def kill_entry(cluster: Cluster, rng: random.Random) -> None:
    """An entry host dies."""
    await _wait(rng)
    cluster.entries_by_id[_pick_entry(cluster, rng)].kill()


@fault("entry-replaced", breaks_connections=True)
async def replace_entry(cluster: Cluster, rng: random.Random) -> None:
    """An entry host dies and a new process takes its name."""
    await _wait(rng)
    entry_id = _pick_entry(cluster, rng)
    cluster.entries_by_id[entry_id].kill()
    await cluster.start_entry(entry_id)


@fault("entry-paused", breaks_connections=True)
async def pause_entry(cluster: Cluster, rng: random.Random) -> None:
    """An entry host is frozen past its lease and goes on."""
    await _wait(rng)
    process = cluster.entries_by_id[_pick_entry(cluster, rng)]
    process.pause()
    await asyncio.sleep(5.0)
    process.resume()


@fault("entry-stopped")
async def stop_entry(cluster: Cluster, rng: random.Random) -> None:
    """An entry host stops as planned."""
    await _wait(rng)
    cluster.entries_by_id[_pick_entry(cluster, rng)].terminate()


@fault("endpoint-leaving")
async def let_endpoint_leave(cluster: Cluster, rng: random.Random) -> None:
    """An endpoint leaves; the list shows it late."""
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
    """An endpoint runs requests and breaks off before it answers."""
    await _disturb_endpoint(cluster, rng, EndpointFaults(failing=True))


@fault("endpoint-cutting", breaks_connections=True)
async def let_endpoint_cut(cluster: Cluster, rng: random.Random) -> None:
    """An endpoint breaks off in the middle of its answers."""
    await _disturb_endpoint(cluster, rng, EndpointFaults(cutting=True))


@fault("endpoint-refusing")
async def let_endpoint_refuse(cluster: Cluster, rng: random.Random) -> None:
    """An endpoint refuses everything without running it."""
    await _disturb_endpoint(cluster, rng, EndpointFaults(refusing=True))


@fault("endpoint-hanging")
async def let_endpoint_hang(cluster: Cluster, rng: random.Random) -> None:
    """An endpoint answers nothing for a while."""
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
    """Connections between entry hosts go silent; new ones work."""
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
