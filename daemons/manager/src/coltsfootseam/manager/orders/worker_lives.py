"""The successive incarnations of a worker that keeps its instance id.

A call names the instance, not the incarnation that it is meant for, and an
order's reply doesn't tell which one has replied. So the next incarnation may
carry out a start that was meant for the former one, under a lease that may be
as long as the worker accepts, as its clock has started anew.

Each incarnation gets a fencing token of its own, above that of the former one.
Once an incarnation has replied under its token it refuses what was meant for
earlier ones, and its reply lists what it has carried out of it. Until then such
a start counts as active, unless the longest lease since the last call is over.
"""

from collections.abc import Iterable

import msgspec

from coltsfootseam.jobs import Run, RunPair, Task
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.leases.pool_leases import PoolLeases
from coltsfootseam.manager.worker_sightings import WorkerSightings
from coltsfootseam.store import TOKENS_PER_EPOCH, Journal
from coltsfootseam.workers import (
    MAX_CALL_DELAY_S,
    WorkerEntry,
    WorkerLink,
    instance_of,
    max_lease_duration_s,
    started_ms_of,
)

_MIN_DOWN_AFTER_S = 3.0
"""How long after the last call a machine must be listed as down for its runs to
count as ended. A copy that arrives after its return is refused once this owner
has called the next incarnation."""

_MAX_PASSED_ON = 500
"""Of how many instances a new owner is told when they were called last. The
record is far smaller than the largest one that the store takes."""

_MS_PER_S = 1000

_MAX_CLOCK_ERROR_S = 10.0
"""How much the times of day of a worker and of this host may differ. Each may
jump by 5 s."""

_MAX_UNAWARE_S = 3.0
"""How long after this host has read of an incarnation another one may still
call the former one. Its heartbeats to that one fail within this time."""


class _Instance(msgspec.Struct):
    """What an owner knows of the incarnations of one instance.

    Attributes:
        instance_id: The instance.
        worker_id: The latest incarnation.
        count: How many incarnations this owner has had links to.
        granted_s: When a call with a lease end was last sent to an incarnation
            whose link is closed, monotonic seconds, or ``None``.
        unanswered_start_s: When a start that wasn't answered was last sent by
            a closed link, monotonic seconds, or ``None``.
        down_s: When the machine was last listed as down, monotonic seconds, or
            ``None``.
        missing_s: When it was last known to have no entry in the store,
            monotonic seconds, or ``None``.
        is_replaced: Whether another instance has taken its place, which refuses
            calls that were meant for this one.
    """

    instance_id: str
    worker_id: str = ""
    count: int = 0
    granted_s: float | None = None
    unanswered_start_s: float | None = None
    down_s: float | None = None
    missing_s: float | None = None
    is_replaced: bool = False


class WorkerLives:
    """Fencing tokens of incarnations, and the starts that may be redirected."""

    __slots__ = (
        "_context",
        "_instances_by_id",
        "_journal",
        "_leases",
        "_links",
        "_pending_by_instance",
        "_sightings",
    )

    def __init__(
        self,
        context: Context,
        journal: Journal,
        leases: PoolLeases,
        links_by_id: dict[str, WorkerLink],
        sightings: WorkerSightings,
    ) -> None:
        """Makes an owner's view of its workers.

        Args:
            context: Shared context of the manager.
            journal: The pool's journal.
            leases: The owner's right to grant leases.
            links_by_id: Links to the workers of the pool, kept up to date.
            sightings: For how long this host has known each worker.
        """
        self._context = context
        self._journal = journal
        self._leases = leases
        self._links = links_by_id
        self._sightings = sightings
        self._instances_by_id: dict[str, _Instance] = {}
        self._pending_by_instance: dict[str, list[RunPair]] = {}

    def take_token(self, entry: WorkerEntry) -> int | None:
        """Returns the fencing token of the calls to an incarnation.

        Returns:
            ``None`` if the owner has no token left for it. A new claim of the
            journal gives it new ones.
        """
        instance = self._instance(entry.instance_id)
        if instance.worker_id != entry.worker_id:
            if instance.count == TOKENS_PER_EPOCH:
                return None
            former = self._links.get(instance.worker_id)
            if former is not None:
                self.record_closed(former)
            instance.worker_id = entry.worker_id
            instance.is_replaced = False
            instance.count += 1
        return self._journal.epoch + instance.count - 1

    def inherited_lease_s(self, entry: WorkerEntry) -> float:
        """Returns the longest lease that an incarnation may have already.

        It may have taken the longest one that workers accept from a call to a
        former incarnation, by this owner or by one before it.
        """
        times = self._context.times
        instance = self._instance(entry.instance_id)
        is_possible = not self._is_old(entry.worker_id)
        if instance.granted_s is not None:
            last_s = self._last_granted_s(instance)
            is_possible &= self._now_s() < last_s + self._longest_effect_s()
        return times.longest_lease_s if is_possible else times.lease_s

    def record_closed(self, link: WorkerLink) -> None:
        """Records that no more calls are sent to an incarnation."""
        instance = self._instance(link.entry.instance_id)
        granted_s = link.lease.granted_s
        if instance.granted_s is not None:
            granted_s = max(instance.granted_s, granted_s)
        instance.granted_s = granted_s
        sent_s = link.unanswered_start_s
        if instance.unanswered_start_s is not None and sent_s is not None:
            sent_s = max(instance.unanswered_start_s, sent_s)
        if sent_s is not None:
            instance.unanswered_start_s = sent_s

    def last_unanswered_s(self, instance_id: str) -> float:
        """Returns when a start that isn't answered may have been sent last.

        The owners before this one may have sent some, which it doesn't know.

        Args:
            instance_id: A worker, the links to which are closed.

        Returns:
            Monotonic seconds; minus infinity if there is none.
        """
        last_s = self._leases.earlier_stopped_s()
        sent_s = self._instance(instance_id).unanswered_start_s
        return last_s if sent_s is None else max(last_s, sent_s)

    def record_replaced(self, instance_id: str) -> None:
        """Records that another instance is at an instance's address."""
        self._instance(instance_id).is_replaced = True

    def record_down(self, worker_id: str, listed_s: float) -> None:
        """Records that the machine of a worker was listed as down.

        Args:
            worker_id: The latest incarnation on the machine.
            listed_s: When the list was requested, in monotonic seconds.
        """
        self._instance(instance_of(worker_id)).down_s = listed_s

    def record_missing(self, worker_id: str, listed_s: float) -> None:
        """Records that a worker has no entry in the store.

        An incarnation that is up and in contact with the store has one.

        Args:
            worker_id: An incarnation of the worker.
            listed_s: When the entries were read last, in monotonic seconds.
        """
        self._instance(instance_of(worker_id)).missing_s = listed_s

    def record_pending(self, pairs: Iterable[RunPair]) -> None:
        """Records which runs of ended workers are not known to have ended."""
        self._pending_by_instance.clear()
        for pair in pairs:
            instance_id = instance_of(pair[1].worker_id)
            self._pending_by_instance.setdefault(instance_id, []).append(pair)

    def pending_runs(self, instance_id: str) -> list[RunPair]:
        """Returns the runs of former incarnations that this one may have."""
        return self._pending_by_instance.get(instance_id, [])

    def last_calls(self) -> dict[str, float]:
        """Returns when instances with pending runs can have been called last.

        Without those of which a later incarnation was known, as the next owner
        would take them for gone without waiting for the lease of that one.

        Returns:
            Monotonic seconds by instance id, of a limited number of instances.
        """
        called_s: dict[str, float] = {}
        for instance_id, pairs in self._pending_by_instance.items():
            instance = self._instance(instance_id)
            former_ids = {run.worker_id for _, run in pairs}
            has_later = instance.worker_id not in ("", *former_ids)
            if not has_later and len(called_s) < _MAX_PASSED_ON:
                called_s[instance_id] = self._last_granted_s(instance)
        return called_s

    def pending_worker_ids(self) -> set[str]:
        """Returns the incarnations that may have runs of former ones."""
        return {
            self._instance(instance_id).worker_id
            for instance_id in self._pending_by_instance
        }

    def have_copies_arrived(self, run: Run, listed_s: float) -> bool:
        """Returns whether no copy of a run's start was under way any more.

        Args:
            run: The run, which its worker has listed.
            listed_s: When that list was requested, in monotonic seconds.
        """
        if run.unproven_s is not None and run.unproven_s >= listed_s:
            return False
        last_s = run.unanswered_s
        if run.sent_s is None:
            last_s = self._leases.earlier_stopped_s()
        return last_s is None or last_s + MAX_CALL_DELAY_S < listed_s

    def may_hold_inherited(
        self, worker_id: str, pairs: Iterable[RunPair]
    ) -> bool:
        """Returns whether a worker may hold a lease of an earlier incarnation.

        An owner hears from an incarnation before it orders runs there, and so
        before this owner's claim if it was an earlier one. From then on the
        incarnation has refused the calls to those before it.

        Args:
            worker_id: The incarnation, which this owner may never have heard.
            pairs: The runs that were ordered from it.
        """
        longest_s = max_lease_duration_s(self._context.times.longest_lease_s)
        if self._now_s() > self._journal.claimed_s + longest_s:
            return False
        is_taken_over = any(run.sent_s is None for _, run in pairs)
        return is_taken_over and not self._is_old(worker_id)

    def may_be_redirected(self, task: Task, run: Run) -> bool:
        """Returns whether a later incarnation may have a run.

        Args:
            task: The task.
            run: Its run, whose own worker has ended.
        """
        instance = self._instance(instance_of(run.worker_id))
        if run.is_confirmed or instance.is_replaced:
            return False
        successor = self._links.get(instance.worker_id)
        if successor is None or successor.worker_id == run.worker_id:
            has_later = instance.worker_id not in ("", run.worker_id)
            return self._may_take_effect(instance, has_later)
        if successor.last_reply_s is None:
            return self._may_take_effect(instance, has_later=True)
        if not successor.is_reachable and successor.lease.has_ended():
            return False
        listed = successor.listed
        return listed is None or (task.id, run.number) in listed

    def _may_take_effect(self, instance: _Instance, has_later: bool) -> bool:
        """Returns whether calls to an instance may still have an effect.

        Args:
            instance: The instance.
            has_later: Whether it has had a later incarnation, which may be at
                work though its entry has lapsed.
        """
        granted_s = self._last_granted_s(instance)
        down_s = instance.down_s
        if down_s is not None and down_s > granted_s + _MIN_DOWN_AFTER_S:
            return False
        missing_s = None if has_later else instance.missing_s
        if missing_s is not None and missing_s > granted_s + MAX_CALL_DELAY_S:
            return False
        return self._now_s() < granted_s + self._longest_effect_s()

    def _instance(self, instance_id: str) -> _Instance:
        return self._instances_by_id.setdefault(
            instance_id, _Instance(instance_id)
        )

    def _is_old(self, worker_id: str) -> bool:
        """Returns whether calls to former incarnations have no effect left.

        A host that has started only lately goes by the time of day, if that
        leaves no doubt.
        """
        needed_s = _MAX_UNAWARE_S + self._longest_effect_s()
        if self._sightings.followed_s() > needed_s:
            return self._sightings.known_s(worker_id) > needed_s
        wall_s = self._context.timers.wall_ms() / _MS_PER_S
        age_s = wall_s - started_ms_of(worker_id) / _MS_PER_S
        return age_s - _MAX_CLOCK_ERROR_S > needed_s

    def _now_s(self) -> float:
        return self._context.timers.now_s()

    def _longest_effect_s(self) -> float:
        """Returns how long after a call its lease may last."""
        longest_s = self._context.times.longest_lease_s
        return MAX_CALL_DELAY_S + max_lease_duration_s(longest_s)

    def _last_granted_s(self, instance: _Instance) -> float:
        """Returns when a lease may have been granted to an instance last."""
        granted_s = self._leases.last_called_s(instance.instance_id)
        if instance.granted_s is not None:
            granted_s = max(granted_s, instance.granted_s)
        link = self._links.get(instance.worker_id)
        if link is not None:
            granted_s = max(granted_s, link.lease.granted_s)
        return granted_s
