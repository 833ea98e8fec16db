"""Entry hosts and stand-ins, run as processes on loopback addresses."""

import contextlib
import itertools
import os
import pathlib
import shutil
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec
import yaml

from coltsfootseam.entry import CommandReply, ContractCommand, EntryStatus
from coltsfootseam.standins.endpoint import EndpointFaults, EndpointTally
from coltsfootseam.standins.hostlist import Host, HostListChange
from coltsfootseam.standins.log import LogFaults
from coltsfootseam.standins.proxy import ProxyFaults, ProxyTally
from coltsfootseam.testbed.control import Control
from coltsfootseam.testbed.networks import claim_network
from coltsfootseam.testbed.processes import Process
from coltsfootseam.testbed.waiting import wait_until

CALLERS_PORT = 8000
ADMIN_PORT = 8001
PEERS_PORT = 8002
STANDIN_PORT = 9000
CONTROL_PORT = 9100
HOSTS_PER_RACK = 4

_ENTRY_MODULE = "coltsfootseam.testbed.switched_entry"
_NETWORKS_PER_PROCESS = 7
_LOG_GROUP = 1
_HOST_LIST_GROUP = 2
_PROXY_GROUP = 3
_ENTRY_GROUP = 4
_FIRST_ENDPOINT_GROUP = 10
_ENDPOINTS_PER_GROUP = 200


_cluster_numbers = itertools.count()


class ClusterPlan(msgspec.Struct, frozen=True):
    """Size and settings of a cluster.

    Attributes:
        name: Name of its directory below ``build``.
        entry_hosts: Number of entry hosts at the start.
        endpoints: Number of endpoint processes.
        zones: Availability zones that the hosts are spread over.
        slots: Slots of each endpoint.
        connections: Connection limit of each endpoint.
        settings: Settings of entry hosts, beyond names and addresses.
        log_proxies: Whether each entry host reaches the log and the host list
            through proxies of its own.
        peer_proxies: Whether each entry host is reached by its peers through
            a proxy.
        endpoint_proxies: Whether each endpoint is reached through a proxy.
    """

    name: str
    entry_hosts: int = 3
    endpoints: int = 6
    zones: tuple[str, ...] = ("zone-a", "zone-b", "zone-c")
    slots: int = 8
    connections: int = 64
    settings: dict[str, Any] = {}
    log_proxies: bool = False
    peer_proxies: bool = False
    endpoint_proxies: bool = False


class Cluster:
    """Starts, inspects and disturbs the processes of a plan.

    Attributes:
        plan: Size and settings.
        control: Client of the control interfaces.
        entries_by_id: Entry host processes by entry id.
        endpoints_by_id: Endpoint processes by host id.
        directory: Directory of the settings and log files.
    """

    def __init__(
        self, plan: ClusterPlan, session: aiohttp.ClientSession
    ) -> None:
        self.plan = plan
        self.control = Control(session)
        self.entries_by_id: dict[str, Process] = {}
        self.endpoints_by_id: dict[str, Process] = {}
        self._standins: list[Process] = []
        self._proxies_by_name: dict[str, str] = {}
        self._network_claim = claim_network(
            os.getpid() * _NETWORKS_PER_PROCESS + next(_cluster_numbers)
        )
        self._network = self._network_claim.network
        self.directory = pathlib.Path("build") / plan.name
        shutil.rmtree(self.directory, ignore_errors=True)
        self.directory.mkdir(parents=True)

    def log_address(self) -> str:
        """Returns the address of the log, not of a proxy."""
        return self._address(_LOG_GROUP, 1, STANDIN_PORT)

    def host_list_address(self) -> str:
        """Returns the address of the host list."""
        return self._address(_HOST_LIST_GROUP, 1, STANDIN_PORT)

    def admin_address(self, entry_id: str) -> str:
        """Returns the admin address of an entry host."""
        return self._entry_address(entry_id, ADMIN_PORT)

    def callers_address(self, entry_id: str) -> str:
        """Returns the address of an entry host for callers."""
        return self._entry_address(entry_id, CALLERS_PORT)

    def endpoint_address(self, host_id: str) -> str:
        """Returns the address of an endpoint, not of its proxy."""
        index = _index_of(host_id)
        group = _FIRST_ENDPOINT_GROUP + index // _ENDPOINTS_PER_GROUP
        return self._address(
            group, 1 + index % _ENDPOINTS_PER_GROUP, STANDIN_PORT
        )

    async def start_platform(self) -> None:
        """Starts the log and the host list and waits until they respond."""
        self._start_standin("log", ["log", "--listen", self.log_address()])
        self._start_standin(
            "hostlist", ["hostlist", "--listen", self.host_list_address()]
        )
        await self._wait_for(
            self.log_address(), "/records?from=0&limit=1&wait_ms=0"
        )
        await self._wait_for(self.host_list_address(), "/hosts")

    async def start_endpoints(self) -> None:
        """Starts all endpoints and adds their hosts to the host list."""
        host_ids = [f"host-{index}" for index in range(self.plan.endpoints)]
        for host_id in host_ids:
            await self.start_endpoint(host_id)
        for host_id in host_ids:
            await self._wait_for(self.endpoint_address(host_id), "/readyz")
        hosts = [await self.describe_host(host_id) for host_id in host_ids]
        await self.change_hosts(HostListChange(hosts=hosts))

    async def start_endpoint(self, host_id: str) -> None:
        """Starts the process of one endpoint."""
        arguments = [
            "endpoint",
            "--listen",
            self.endpoint_address(host_id),
            "--name",
            host_id,
            "--slots",
            str(self.plan.slots),
            "--connections",
            str(self.plan.connections),
        ]
        process = self._start_standin(host_id, arguments)
        self.endpoints_by_id[host_id] = process

    async def describe_host(self, host_id: str) -> Host:
        """Returns a host as the platform lists it."""
        index = _index_of(host_id)
        address = self.endpoint_address(host_id)
        if self.plan.endpoint_proxies:
            address = await self._ensure_proxy(f"to-{host_id}", address)
        return Host(
            host_id=host_id,
            zone=self.plan.zones[index % len(self.plan.zones)],
            rack=f"rack-{index // HOSTS_PER_RACK}",
            address=address,
            slots=self.plan.slots,
            connections=self.plan.connections,
        )

    async def start_entries(self) -> None:
        """Starts all entry hosts and waits until they are ready."""
        entry_ids = [f"entry-{index}" for index in range(self.plan.entry_hosts)]
        for entry_id in entry_ids:
            await self.start_entry(entry_id)
        for entry_id in entry_ids:
            await self.wait_ready(entry_id)

    async def start_entry(self, entry_id: str) -> Process:
        """Starts one entry host without waiting until it is ready."""
        path = await self._write_settings(entry_id)
        process = Process(
            entry_id,
            ["-m", _ENTRY_MODULE, "entry", "--settings", str(path)],
            self.directory / f"{entry_id}.log",
        )
        self.entries_by_id[entry_id] = process
        return process

    async def wait_ready(self, entry_id: str) -> None:
        """Waits until an entry host accepts requests."""
        await self._wait_for(self.admin_address(entry_id), "/readyz")

    async def status(self, entry_id: str) -> EntryStatus:
        """Returns the status of an entry host."""
        return await self.control.get(
            self.admin_address(entry_id), "/v1/status", EntryStatus
        )

    async def send_contract(
        self, entry_id: str, command: ContractCommand
    ) -> CommandReply:
        """Publishes or amends a contract through an entry host."""
        address = self.admin_address(entry_id)
        return await self.control.post_for_reply(
            address, "/v1/contracts", command, CommandReply
        )

    async def set_log_faults(self, faults: LogFaults) -> None:
        """Replaces the faults of the log."""
        await self.control.post(self.log_address(), "/faults", faults)

    async def set_endpoint_faults(
        self, host_id: str, faults: EndpointFaults
    ) -> None:
        """Replaces the faults of an endpoint."""
        address = self.endpoint_address(host_id)
        await self.control.post(address, "/standin/faults", faults)

    async def set_proxy_faults(self, name: str, faults: ProxyFaults) -> None:
        """Replaces the faults of a path.

        Args:
            name: ``log-ENTRY``, ``hosts-ENTRY``, ``peers-ENTRY`` or
                ``to-HOST``.
            faults: The faults.
        """
        address = self._proxies_by_name[name]
        await self.control.post(address, "/faults", faults)

    async def proxy_tally(self, name: str) -> ProxyTally:
        """Returns the tally of a path."""
        address = self._proxies_by_name[name]
        return await self.control.get(address, "/tally", ProxyTally)

    async def change_hosts(self, change: HostListChange) -> None:
        """Changes the host list."""
        await self.control.post(self.host_list_address(), "/hosts", change)

    async def tallies(self) -> list[EndpointTally]:
        """Returns the tallies of all running endpoints."""
        return [
            await self.control.get(
                self.endpoint_address(host_id), "/standin/tally", EndpointTally
            )
            for host_id, process in self.endpoints_by_id.items()
            if process.is_running()
        ]

    async def wait_pool_sizes(self, hosts_by_pool: dict[str, int]) -> float:
        """Waits until every running entry host reports these pool sizes."""

        async def have_sizes() -> bool:
            for entry_id, process in self.entries_by_id.items():
                if not process.is_running():
                    continue
                status = await self.status(entry_id)
                sizes = {pool.pool: len(pool.hosts) for pool in status.pools}
                if sizes != hosts_by_pool:
                    return False
            return True

        return await wait_until(have_sizes, f"pools of {hosts_by_pool}")

    def kill_all(self) -> None:
        """Kills every process of this cluster and releases its network."""
        processes = [
            *self.entries_by_id.values(),
            *self.endpoints_by_id.values(),
            *self._standins,
        ]
        for process in processes:
            process.resume()
            process.kill()
        self._network_claim.release()

    async def _write_settings(self, entry_id: str) -> pathlib.Path:
        index = _index_of(entry_id)
        log = self.log_address()
        host_list = self.host_list_address()
        if self.plan.log_proxies:
            log = await self._ensure_proxy(f"log-{entry_id}", log)
            host_list = await self._ensure_proxy(f"hosts-{entry_id}", host_list)
        settings = {
            "entry_id": entry_id,
            "region": "region-1",
            "zone": self.plan.zones[index % len(self.plan.zones)],
            "listen": self._listen(entry_id),
            "log": f"http://{log}",
            "host_list": f"http://{host_list}",
            "peers": [
                self._entry_address(f"entry-{seed}", PEERS_PORT)
                for seed in range(min(3, self.plan.entry_hosts))
            ],
            **self.plan.settings,
        }
        if self.plan.peer_proxies:
            proxied = await self._ensure_proxy(
                f"peers-{entry_id}", self._entry_address(entry_id, PEERS_PORT)
            )
            settings["advertise"] = {
                **self._listen(entry_id),
                "peers": proxied,
            }
        path = self.directory / f"{entry_id}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return path

    def _listen(self, entry_id: str) -> dict[str, str]:
        return {
            "callers": self._entry_address(entry_id, CALLERS_PORT),
            "admin": self._entry_address(entry_id, ADMIN_PORT),
            "peers": self._entry_address(entry_id, PEERS_PORT),
        }

    def _entry_address(self, entry_id: str, port: int) -> str:
        return self._address(_ENTRY_GROUP, 1 + _index_of(entry_id), port)

    def _address(self, group: int, number: int, port: int) -> str:
        return f"{self._network}.{group}.{number}:{port}"

    async def _ensure_proxy(self, name: str, target: str) -> str:
        number = 1 + len(self._proxies_by_name)
        known = self._proxies_by_name.get(name)
        if known is not None:
            return known.replace(f":{CONTROL_PORT}", f":{STANDIN_PORT}")
        listen = self._address(_PROXY_GROUP, number, STANDIN_PORT)
        control = self._address(_PROXY_GROUP, number, CONTROL_PORT)
        self._proxies_by_name[name] = control
        arguments = [
            "--listen",
            listen,
            "--control",
            control,
            "--target",
            target,
        ]
        self._start_standin(name, ["proxy", *arguments])
        await self._wait_for(control, "/tally")
        return listen

    def _start_standin(self, name: str, arguments: list[str]) -> Process:
        process = Process(
            name,
            ["-m", "coltsfootseam.standins", *arguments],
            self.directory / f"{name}.log",
        )
        self._standins.append(process)
        return process

    async def _wait_for(self, address: str, path: str) -> None:
        async def responds() -> bool:
            return await self.control.responds(address, path)

        await wait_until(responds, f"{address}{path} responds")


@contextlib.asynccontextmanager
async def launching(plan: ClusterPlan) -> AsyncIterator[Cluster]:
    """Yields a running cluster and kills its processes afterwards."""
    async with aiohttp.ClientSession() as session:
        cluster = Cluster(plan, session)
        try:
            await cluster.start_platform()
            await cluster.start_endpoints()
            await cluster.start_entries()
            yield cluster
        finally:
            cluster.kill_all()


def _index_of(name: str) -> int:
    return int(name.rpartition("-")[2])
