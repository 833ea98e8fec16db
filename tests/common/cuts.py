"""Cuts of the network between hosts, workers and the store of a fleet."""

import contextlib
import enum
from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from tests.common.fleets import Fleet, Host

STORE = "store"


class Lost(enum.Enum):
    """Which messages between the two sides of a cut are lost."""

    BOTH_WAYS = "both ways"
    OUTWARD = "from the cut side"
    INWARD = "to the cut side"


class Cut(msgspec.Struct, frozen=True):
    """A cut between some nodes and others.

    Attributes:
        nodes: Ids of the hosts and instance ids of the workers on one side;
            the store is called ``STORE``.
        lost: Which messages are lost.
        others: The nodes on the other side, ``None`` for all others.
    """

    nodes: frozenset[str]
    lost: Lost = Lost.BOTH_WAYS
    others: frozenset[str] | None = None

    def loses(self, sender: str, receiver: str) -> bool:
        """Returns whether messages from one node to another are lost."""
        is_outward = sender in self.nodes and self._is_other(receiver)
        is_inward = receiver in self.nodes and self._is_other(sender)
        if self.lost is Lost.OUTWARD:
            return is_outward
        if self.lost is Lost.INWARD:
            return is_inward
        return is_outward or is_inward

    def _is_other(self, node: str) -> bool:
        if self.others is None:
            return node not in self.nodes
        return node in self.others


@contextlib.contextmanager
def cut_off(
    fleet: "Fleet",
    hosts: Iterable["Host"] = (),
    workers: Iterable[str] = (),
    has_store: bool = False,
    lost: Lost = Lost.BOTH_WAYS,
    others: Iterable[str] | None = None,
) -> Iterator[Cut]:
    """Cuts nodes off from others, not from one another.

    Cuts may overlap and end in any order. A call of which only the reply is
    lost takes effect.

    Args:
        fleet: The deployment.
        hosts: The hosts of the cut side.
        workers: Instance ids of its workers.
        has_store: Whether the store is on the cut side.
        lost: Which messages are lost.
        others: The nodes that they are cut off from, ``None`` for all others.
    """
    nodes = {host.host_id for host in hosts} | set(workers)
    cut = Cut(
        frozenset(nodes | {STORE} if has_store else nodes),
        lost,
        None if others is None else frozenset(others),
    )
    fleet.cuts.append(cut)
    apply_cuts(fleet)
    try:
        yield cut
    finally:
        fleet.cuts.remove(cut)
        apply_cuts(fleet)


@contextlib.contextmanager
def zones_cut_off(
    fleet: "Fleet",
    *zones: str,
    has_store: bool = False,
    lost: Lost = Lost.BOTH_WAYS,
) -> Iterator[Cut]:
    """Cuts off all hosts and workers of some zones."""
    hosts = [host for host in fleet.hosts if host.zone in zones]
    workers = [
        instance_id
        for instance_id, worker in fleet.workers.workers_by_instance.items()
        if worker.entry.zone in zones
    ]
    with cut_off(fleet, hosts, workers, has_store, lost) as cut:
        yield cut


@contextlib.contextmanager
def store_outage(fleet: "Fleet", is_silent: bool) -> Iterator[None]:
    """Takes the store away from all hosts.

    Args:
        fleet: The deployment.
        is_silent: Whether the store doesn't answer; otherwise it refuses.
    """
    if is_silent:
        with cut_off(fleet, has_store=True):
            yield
        return
    for host in fleet.hosts:
        host.store.faults.is_down = True
    try:
        yield
    finally:
        for host in fleet.hosts:
            host.store.faults.is_down = False


def apply_cuts(fleet: "Fleet") -> None:
    """Makes links, faults of the store and of workers match the cuts."""

    def is_lost(sender: str, receiver: str) -> bool:
        return any(cut.loses(sender, receiver) for cut in fleet.cuts)

    fleet.peers.cut_links = {
        (sender.address, receiver.address)
        for sender in fleet.hosts
        for receiver in fleet.hosts
        if is_lost(sender.host_id, receiver.host_id)
    }
    for host in fleet.hosts:
        faults = host.store.faults
        faults.is_unresponsive = is_lost(host.host_id, STORE)
        faults.is_unheard = is_lost(STORE, host.host_id)
    host_ids = [host.host_id for host in fleet.hosts]
    for instance_id, worker in fleet.workers.workers_by_instance.items():
        worker.faults.unreachable_from_hosts = {
            host_id for host_id in host_ids if is_lost(host_id, instance_id)
        }
        worker.faults.unheard_by_hosts = {
            host_id for host_id in host_ids if is_lost(instance_id, host_id)
        }
