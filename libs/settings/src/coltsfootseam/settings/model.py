"""The settings of an entry host."""

from typing import Annotated

import msgspec

Name = Annotated[str, msgspec.Meta(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")]
Address = Annotated[
    str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]
Url = Annotated[
    str, msgspec.Meta(pattern=r"^http://\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
]
Milliseconds = Annotated[int, msgspec.Meta(ge=1, le=86_400_000)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]


class Addresses(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses that an entry host listens on or advertises.

    Attributes:
        callers: Address for callers' HTTP requests.
        admin: Address for operators and the balancer.
        peers: Address for gRPC calls of other entry hosts.
    """

    callers: Address
    admin: Address
    peers: Address


class StatsdSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where counters are sent.

    Attributes:
        address: Address of the collector, by UDP.
        prefix: Prefix of every name.
    """

    address: Address
    prefix: Name = "coltsfootseam"


class TimerSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Periods and timeouts, all in milliseconds.

    Attributes:
        lease_ms: Length of a membership lease.
        renew_ms: Period of lease renewals.
        drift_margin_ms: How long before the end of its lease, as others see
            it, a holder stops, to allow for clock drift.
        log_timeout_ms: Timeout of one call to the log.
        log_wait_ms: How long the log may hold a read open for new records.
        peer_timeout_ms: Timeout of one call to another entry host.
        peer_catch_up_ms: Period of fetches from peers while the log is
            unreachable.
        propose_ms: Timeout for reading back a command from the log.
        in_force_ms: How long a command waits until all entry hosts have
            applied it.
        host_list_ms: Period of reads of the host list.
        plan_ms: Period of the planner.
        snapshot_ms: Maximum time between snapshots.
        balancer_lag_ms: How long the balancer may still send new requests
            after the entry host reports that it is not ready.
        stop_ms: Maximum time that a planned stop waits for requests.
    """

    lease_ms: Milliseconds = 6_000
    renew_ms: Milliseconds = 2_000
    drift_margin_ms: Milliseconds = 500
    log_timeout_ms: Milliseconds = 3_000
    log_wait_ms: Milliseconds = 2_000
    peer_timeout_ms: Milliseconds = 1_000
    peer_catch_up_ms: Milliseconds = 500
    propose_ms: Milliseconds = 8_000
    in_force_ms: Milliseconds = 5_000
    host_list_ms: Milliseconds = 1_000
    plan_ms: Milliseconds = 500
    snapshot_ms: Milliseconds = 300_000
    balancer_lag_ms: Milliseconds = 2_000
    stop_ms: Milliseconds = 60_000


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the process.

    Attributes:
        memory_mb: Memory that the process may use, in MB.
        descriptors: Descriptors that the process may open.
    """

    memory_mb: Annotated[int, msgspec.Meta(ge=64, le=1_000_000)] = 300
    descriptors: Annotated[int, msgspec.Meta(ge=256, le=1_000_000)] = 4100


class RequestSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits of the request path.

    Attributes:
        dispatch: Name of a registered dispatch method.
        queue_limit: Maximum number of requests queued for one service.
        default_deadline_ms: Deadline of a request that sets none.
        longest_deadline_ms: Longest deadline that a caller may set.
        buffered_body_bytes: Largest body that is buffered for a retry.
        retry_ratio: Retry budget, as a fraction of all requests.
        connect_ms: Timeout for connecting to an endpoint.
        kept_answer_bytes: Largest response that is kept under its
            idempotency key.
        keys_kept_ms: How long an idempotency key is kept.
        keys_limit: Maximum number of idempotency keys that are kept.
        set_aside_ms: Period of probes to a quarantined endpoint.
        longest_head_bytes: Longest head of a request.
    """

    dispatch: str = "granted"
    queue_limit: Count = 512
    default_deadline_ms: Milliseconds = 30_000
    longest_deadline_ms: Milliseconds = 3_600_000
    buffered_body_bytes: Annotated[int, msgspec.Meta(ge=0, le=16_777_216)] = (
        65_536
    )
    retry_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.1
    connect_ms: Milliseconds = 1_000
    kept_answer_bytes: Annotated[int, msgspec.Meta(ge=0, le=16_777_216)] = (
        65_536
    )
    keys_kept_ms: Milliseconds = 600_000
    keys_limit: Count = 100_000
    set_aside_ms: Milliseconds = 2_000
    longest_head_bytes: Annotated[int, msgspec.Meta(ge=1024, le=65_536)] = (
        65_536
    )


class EntrySettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The settings of an entry host, as its file has them.

    Attributes:
        entry_id: Unique name of this entry host.
        region: Region of this host.
        zone: Availability zone of this host.
        listen: Addresses that this host listens on.
        log: URL of the platform's log service.
        host_list: URL of the platform's host list.
        advertise: Addresses that others use, if they differ from ``listen``.
        peers: Peer addresses of some entry hosts, used until the members are
            known from the log.
        statsd: Collector of counters, if there is one.
        timers: Periods and timeouts.
        requests: Limits of the request path.
        limits: Limits of the process.
        log_level: Lowest level of log lines that are written.
    """

    entry_id: Name
    region: Name
    zone: Name
    listen: Addresses
    log: Url
    host_list: Url
    advertise: Addresses | None = None
    peers: list[Address] = []
    statsd: StatsdSettings | None = None
    timers: TimerSettings = TimerSettings()
    requests: RequestSettings = RequestSettings()
    limits: LimitSettings = LimitSettings()
    log_level: str = "INFO"

    def advertised_addresses(self) -> Addresses:
        """Returns the addresses that others use for this host."""
        return self.listen if self.advertise is None else self.advertise
