"""The state of the cluster that every entry host reads from the store."""

from collections.abc import Callable

from coltsfootseam.jobs import (
    Configuration,
    JobRequest,
    Queue,
    QueueIndex,
    Wave,
)
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.queue_pools import QueuePools
from coltsfootseam.manager.worker_sightings import WorkerSightings
from coltsfootseam.results import Refusal
from coltsfootseam.store import StoredRecord, Tail
from coltsfootseam.teams import KeyRing, shorten_digest
from coltsfootseam.workers import WorkerEntry

_CONFIGURATION_WAIT_S = 0.8
_WORKERS_POLL_PERIOD_S = 0.4


class ClusterState:
    """The configuration in force, the waves and the workers.

    Attributes:
        configuration: The latest configuration, ``None`` before the first.
        index: Index of the queues in the configuration.
        key_ring: The keys of the teams, ``None`` if the configuration has
            neither teams nor queues that need a key.
        waves_by_number: Waves that the operator requested.
        workers_by_instance: Latest entry of each worker.
        queue_pools: Which pools may have jobs of which queue.
        sightings: For how long this host has known each worker.
    """

    __slots__ = (
        "_applied_s",
        "_context",
        "_listeners",
        "_operator_tail",
        "_workers_tail",
        "configuration",
        "index",
        "key_ring",
        "queue_pools",
        "sightings",
        "waves_by_number",
        "workers_by_instance",
    )

    def __init__(self, context: Context) -> None:
        self._context = context
        self._listeners: list[Callable[[], None]] = []
        feeds = context.ports.feeds
        self._operator_tail = Tail(
            context.ports.store,
            context.timers,
            feeds.operator,
            self._apply_operator_record,
            _CONFIGURATION_WAIT_S,
        )
        self._workers_tail = Tail(
            context.ports.store,
            context.timers,
            feeds.workers,
            self._apply_worker_entry,
            wait_s=0.0,
            poll_s=_WORKERS_POLL_PERIOD_S,
            on_reload=self._retain_workers,
        )
        self.configuration: Configuration | None = None
        self.index: QueueIndex | None = None
        self.key_ring: KeyRing | None = None
        self._applied_s = 0.0
        self.waves_by_number: dict[int, Wave] = {}
        self.workers_by_instance: dict[str, WorkerEntry] = {}
        self.queue_pools = QueuePools(context)
        self.sightings = WorkerSightings(context.timers)

    def is_ready(self) -> bool:
        """Returns whether jobs can be assigned to pools."""
        return self.index is not None and self.queue_pools.is_loaded()

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Adds a listener, called after each change of the configuration."""
        self._listeners.append(listener)

    async def follow_operator(self) -> None:
        """Follows the operator's records until cancelled."""
        await self._operator_tail.run()

    async def follow_workers(self) -> None:
        """Follows the workers' entries until cancelled."""
        await self._workers_tail.run()

    def queue_of(self, request: JobRequest, pool: str) -> Queue:
        """Returns the queue of a job that is in a pool.

        If the queue was removed, its settings are those under which the job was
        accepted, as the queue may be added again.
        """
        if self.configuration is not None:
            found = self.configuration.queues_by_name.get(request.queue)
            if found is not None:
                return found
        terms = request.terms
        return Queue(
            request.queue,
            "",
            "",
            pool,
            priority=terms.priority,
            attempts=terms.attempts,
            stretch=terms.stretch,
            target_ms=terms.target_ms,
            advice=terms.advice,
        )

    def max_attempts_of(self, request: JobRequest) -> int:
        """Returns how many failed attempts of a task fail its job."""
        return max(1, self.queue_of(request, "").attempts)

    def usable_workers(self) -> list[WorkerEntry]:
        """Returns the workers of pools that the configuration names.

        Entries with other pools are of other writers. They must not count, for
        example as the next worker on a machine.
        """
        entries = self.workers_by_instance.values()
        if self.configuration is None:
            return list(entries)
        pools = self.configuration.pools_by_name
        return [entry for entry in entries if entry.pool in pools]

    def do_workers_guard(self, pool: str) -> bool:
        """Returns whether a pool's workers refuse tasks that don't fit."""
        if self.configuration is None:
            return False
        found = self.configuration.pools_by_name.get(pool)
        return found is not None and found.workers_guard

    def configuration_age_s(self) -> float:
        """Returns how long the configuration has been in force here."""
        return self._context.timers.now_s() - self._applied_s

    def operator_records_age_s(self) -> float:
        """Returns how long ago the operator's records were read to the end."""
        now_s = self._context.timers.now_s()
        return now_s - self._operator_tail.caught_up_s

    def worker_entries_age_s(self) -> float:
        """Returns how long ago the workers' entries were read to their end."""
        now_s = self._context.timers.now_s()
        return now_s - self._workers_tail.caught_up_s

    def configuration_read_s(self) -> float:
        """Returns when the operator's records were last read to their end."""
        return self._operator_tail.caught_up_s

    def _apply_operator_record(self, record: StoredRecord) -> None:
        value = self._context.ports.feeds.decode_operator(record)
        if isinstance(value, Wave):
            self.waves_by_number[value.number] = value
            self._context.log.write(
                "wave.asked", wave=value.number, machines=value.machine_ids
            )
        elif isinstance(value, Configuration):
            self._apply_configuration(value)
        elif isinstance(value, Refusal):
            self._context.log.write(
                "configuration.unreadable", record=record.key, why=value.reason
            )

    def _apply_configuration(self, new: Configuration) -> None:
        old = self.configuration
        if old is not None and new.version <= old.version:
            return
        self.configuration = new
        self.index = QueueIndex(new)
        self.key_ring = _make_key_ring(new)
        self._applied_s = self._context.timers.now_s()
        self._context.log.write(
            "configuration.in_force",
            version=new.version,
            queues=len(new.queues_by_name),
            teams=len(new.teams_by_name),
        )
        self._log_shared_keys(new.version)
        for listener in self._listeners:
            listener()

    def _log_shared_keys(self, version: int) -> None:
        if self.key_ring is None or not self.key_ring.shared_digests:
            return
        self._context.log.write(
            "configuration.shared_keys",
            version=version,
            key_digests=sorted(
                shorten_digest(digest)
                for digest in self.key_ring.shared_digests
            ),
        )

    def _apply_worker_entry(self, record: StoredRecord) -> None:
        if not record.value:
            self.workers_by_instance.pop(record.key, None)
            return
        entry = self._context.ports.feeds.decode_worker(record)
        if entry is None:
            # The latest entry is unusable, so older ones don't count either.
            self.workers_by_instance.pop(record.key, None)
            self._context.log.write("worker.unreadable", record=record.key)
            self._context.counters.increment("worker.unreadable")
            return
        self.workers_by_instance[record.key] = entry
        self.sightings.record(entry)

    def _retain_workers(self, keys: frozenset[str]) -> None:
        for key in set(self.workers_by_instance) - keys:
            del self.workers_by_instance[key]


def _make_key_ring(configuration: Configuration) -> KeyRing | None:
    queues = configuration.queues_by_name.values()
    if configuration.teams_by_name or not all(
        queue.is_open for queue in queues
    ):
        return KeyRing(configuration.teams_by_name)
    return None
