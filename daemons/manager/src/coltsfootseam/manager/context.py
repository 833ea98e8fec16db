"""The context that all parts of a manager share."""

from typing import Any, Protocol

import msgspec

from coltsfootseam.calls import Method
from coltsfootseam.jobs import Configuration, Wave
from coltsfootseam.manager.membership.partitions import partition_of_pool
from coltsfootseam.observe import Counters, DecisionLog
from coltsfootseam.results import Refusal
from coltsfootseam.scheduling import Policies
from coltsfootseam.store import (
    KeyedRecord,
    MonitoredStore,
    Partition,
    StoredRecord,
)
from coltsfootseam.timers import TimerService
from coltsfootseam.workers import (
    AdviceCalls,
    MachineCalls,
    WorkerCalls,
    WorkerEntry,
)


class Feeds(Protocol):
    """Partitions shared with the operator and the workers, and their codecs."""

    operator: Partition
    workers: Partition
    status: Partition

    def decode_operator(
        self, record: StoredRecord
    ) -> Configuration | Wave | Refusal | None:
        """Decodes an operator's record, ``None`` if it is of another kind.

        An unreadable configuration is a refusal, whose reason names no key.
        """

    def decode_worker(self, record: StoredRecord) -> WorkerEntry | None:
        """Decodes a worker's entry, ``None`` if the worker isn't usable."""

    def encode_wave(self, wave: Wave, is_complete: bool) -> KeyedRecord:
        """Encodes the state of a wave for the operator."""


class Peers(Protocol):
    """Calls to other entry hosts."""

    async def call(
        self, address: str, method: Method, request: Any, timeout_s: float
    ) -> Any:
        """Calls a method; returns a refusal if no reply arrives in time."""


class Times(msgspec.Struct, frozen=True):
    """Durations, in seconds.

    Attributes:
        lease_s: Lease that each heartbeat grants to a worker.
        longest_lease_s: Longest lease that a worker accepts.
        hold_wait_s: How long a heartbeat waits for the end of a run.
        isolation_s: Time since the store's last answer after which an owner
            asks its peers whether it alone is cut off.
        keep_ended_s: How long the final state of a job is kept.
        stop_s: Time within which a worker stops a run.
        move_s: Time that a machine takes to change its pool.
        maintenance_s: Time that a machine's maintenance takes.
        machine_lease_s: Minimum time between the orders of two holders for the
            same machine.
        stop_grace_s: Time from the request to stop the process to its forced
            end.
        balancer_s: Time for which the load balancer may still send new
            connections after the host reports that it is not ready.
    """

    lease_s: float = 4.0
    longest_lease_s: float = 10.0
    hold_wait_s: float = 1.0
    isolation_s: float = 1.5
    keep_ended_s: float = 120.0
    stop_s: float = 0.2
    move_s: float = 1.5
    maintenance_s: float = 2.0
    machine_lease_s: float = 3.0
    stop_grace_s: float = 6.0
    balancer_s: float = 2.5

    @property
    def order_validity_s(self) -> float:
        """How long a pool's answer allows orders for its empty machines.

        It counts from the request. The pool keeps the machines free for the
        machine lease, so an order on a slow link still finds them empty.
        """
        return self.machine_lease_s / 2


class Ports(msgspec.Struct):
    """The manager's interfaces to external systems."""

    store: MonitoredStore
    workers: WorkerCalls
    machines: MachineCalls
    advice: AdviceCalls
    feeds: Feeds


class Context(msgspec.Struct):
    """The objects and settings that all parts of a manager share.

    Attributes:
        host_id: Name of this entry host.
        incarnation: Unique name of this instance of the process.
        address: Address at which peers call this process.
        duty_slots: Number of partitions of a topic. Duties are mapped to them
            and follow their assignment.
        timers: Clock and timers.
        ports: Interfaces to external systems.
        peers: Calls to other entry hosts.
        log: Log of decisions.
        counters: Counters for the metrics.
        times: Durations.
        policies: The scheduling policies in use.
        millicores: Processor capacity of this host, 0 if unknown.
        counted_teams: Teams that have counters of their own.
        max_record_bytes: The longest record that the store takes.
    """

    host_id: str
    incarnation: str
    address: str
    duty_slots: int
    timers: TimerService
    ports: Ports
    peers: Peers
    log: DecisionLog
    counters: Counters
    times: Times
    policies: Policies = Policies()
    millicores: int = 0
    counted_teams: set[str] = set()
    max_record_bytes: int = 262_144

    def inbox_of(self, pool: str) -> Partition:
        """Returns the partition of a pool's job requests and cancellations."""
        return partition_of_pool("inbox", pool, self.duty_slots)

    def journal_of(self, pool: str) -> Partition:
        """Returns the partition of a pool's journal, written by its owner."""
        return partition_of_pool("journal", pool, self.duty_slots)
