"""What the parts of a manager share."""

from typing import Any, Protocol

import msgspec

from coltsfootseam.calls import Method
from coltsfootseam.jobs import Configuration, Wave
from coltsfootseam.manager.places import place_of_pool
from coltsfootseam.observe import Counters, DecisionLog
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
    """The partitions that others write, and how their records are read."""

    operator: Partition
    workers: Partition
    status: Partition

    def read_operator(
        self, record: StoredRecord
    ) -> Configuration | Wave | None:
        """Decodes what the operator wrote, ``None`` for anything else."""

    def read_worker(self, record: StoredRecord) -> WorkerEntry | None:
        """Decodes a worker's entry, ``None`` if it names no usable one."""

    def write_wave(self, wave: Wave, is_complete: bool) -> KeyedRecord:
        """Encodes how far a wave is, for the operator."""


class Peers(Protocol):
    """Calls to other entry hosts."""

    async def call(
        self, address: str, method: Method, request: Any, timeout_s: float
    ) -> Any:
        """Calls a method; a refusal says that no answer came."""


class Times(msgspec.Struct, frozen=True):
    """Lengths and periods, in seconds.

    Attributes:
        lease_s: Lease that a worker gets with each hold.
        longest_lease_s: Longest lease that a worker accepts.
        hold_wait_s: How long a hold waits for an end.
        isolation_s: Silence of the store after which an owner asks its peers
            whether it alone is cut off.
        keep_ended_s: How long a final state is kept.
        stop_s: Time within which a worker ends a run.
        move_s: Time that a machine takes to change its pool.
        maintenance_s: Time that a machine's maintenance takes.
        machine_lease_s: Time between orders of two holders for a machine.
        stop_grace_s: Time from the request to stop to the forced end.
        balancer_s: Time for which new connections may still come after the
            host reports that it is not ready.
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


class Ports(msgspec.Struct):
    """The manager's interfaces to the outside."""

    store: MonitoredStore
    workers: WorkerCalls
    machines: MachineCalls
    advice: AdviceCalls
    feeds: Feeds


class Context(msgspec.Struct):
    """Handed to every part of a manager.

    Attributes:
        host_id: Name of this entry host.
        incarnation: Name of this start of the process, unique.
        address: Where peers call this process.
        duty_slots: Number of partitions of a topic, which duties are dealt by.
        timers: Time.
        ports: Interfaces to the outside.
        peers: Calls to other entry hosts.
        log: Lines of decisions.
        counters: Counters.
        times: Lengths and periods.
        policies: Which policies decide.
        millicores: Processor capacity of this host, 0 if that isn't known.
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

    def inbox_of(self, pool: str) -> Partition:
        """Returns the partition that holds a pool's requests and cancels."""
        return place_of_pool("inbox", pool, self.duty_slots)

    def journal_of(self, pool: str) -> Partition:
        """Returns the partition that holds what a pool's owner appends."""
        return place_of_pool("journal", pool, self.duty_slots)
