"""Maintenance waves: which machines are due, and each wave's progress."""

import msgspec

from coltsfootseam.jobs import Wave
from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.machines.fleet_view import FleetView
from coltsfootseam.manager.machines.machine_orders import MachineOrders
from coltsfootseam.results import Refusal
from coltsfootseam.scheduling import (
    DueMachine,
    WaveProgress,
    choose_maintenance,
)
from coltsfootseam.store import Journal, KeyedRecord, LatestRecords
from coltsfootseam.workers import Machine, MachineOutcome, MachineState

_WAVE_KEY_PREFIX = "wave/"
_MS_PER_S = 1000


class WaveRecord(msgspec.Struct, array_like=True):
    """A wave as it is stored in the journal.

    Attributes:
        number: Number of the wave.
        started_ids: Machines whose maintenance has started.
        is_complete: Whether the wave is complete.
        ordered_workers_by_id: Machines whose maintenance was ordered without a
            known outcome, each with the worker that ran on it before the first
            order, empty if there was none.
    """

    number: int
    started_ids: list[str]
    is_complete: bool = False
    ordered_workers_by_id: dict[str, str] = {}


class Waves:
    """All waves that the operator requested."""

    __slots__ = (
        "_chosen_by_wave",
        "_cluster",
        "_context",
        "_journal",
        "_orders",
        "_progress_by_wave",
        "_unreported_since_s_by_wave",
    )

    def __init__(
        self,
        context: Context,
        cluster: ClusterState,
        journal: Journal,
        orders: MachineOrders,
    ) -> None:
        self._context = context
        self._cluster = cluster
        self._journal = journal
        self._orders = orders
        self._progress_by_wave: dict[int, WaveProgress] = {}
        self._unreported_since_s_by_wave: dict[int, float] = {}
        self._chosen_by_wave: dict[int, list[str]] = {}

    def restore(self, latest: LatestRecords) -> None:
        """Restores which machines an earlier owner started to maintain."""
        now_s = self._context.timers.now_s()
        busy_until_s = now_s + self._context.times.maintenance_s
        for record in latest.records:
            if not record.key.startswith(_WAVE_KEY_PREFIX) or not record.value:
                continue
            stored = msgspec.msgpack.decode(record.value, type=WaveRecord)
            busy = {} if stored.is_complete else stored.started_ids
            self._progress_by_wave[stored.number] = WaveProgress(
                first_seen_s=now_s,
                started_ids=set(stored.started_ids),
                # Some may be done already; the list of machines will show it.
                busy_until_s_by_id=dict.fromkeys(busy, busy_until_s),
                ordered_workers_by_id=dict(stored.ordered_workers_by_id),
                uncertain_ids=set(stored.ordered_workers_by_id),
                is_complete=stored.is_complete,
            )
            # Whether this was reported to the operator isn't stored.
            self._unreported_since_s_by_wave[stored.number] = now_s

    def chosen_ids(self) -> set[str]:
        """Returns the machines that are chosen for maintenance now."""
        return {
            machine_id
            for chosen in self._chosen_by_wave.values()
            for machine_id in chosen
        }

    def is_due(self, machine_id: str) -> bool:
        """Returns whether a machine waits for its maintenance."""
        for number, wave in self._cluster.waves_by_number.items():
            progress = self._progress_by_wave.get(number)
            if progress is not None and progress.is_complete:
                continue
            started = set() if progress is None else progress.started_ids
            if machine_id in wave.machine_ids and machine_id not in started:
                return True
        return False

    async def plan(self, view: FleetView, free_ids: set[str]) -> list[str]:
        """Returns the machines to maintain next, over all waves."""
        await self._report_progress()
        due: list[str] = []
        for number in sorted(self._cluster.waves_by_number):
            wave = self._cluster.waves_by_number[number]
            progress = await self._ensure_progress(wave)
            if progress.is_complete:
                self._chosen_by_wave.pop(number, None)
                continue
            self._remove_finished(progress, view)
            chosen = self._choose(wave, progress, view, free_ids)
            self._chosen_by_wave[number] = chosen
            due.extend(chosen)
        return due

    def record_orders(
        self, view: FleetView, machine_ids: set[str]
    ) -> list[KeyedRecord]:
        """Returns records of which workers run on machines to be ordered."""
        records = []
        for number, chosen in self._chosen_by_wave.items():
            progress = self._progress_by_wave[number]
            new_ids = machine_ids.intersection(chosen).difference(
                progress.ordered_workers_by_id
            )
            if not new_ids:
                continue
            for machine_id in new_ids:
                worker_id = view.worker_of(machine_id) or ""
                progress.ordered_workers_by_id[machine_id] = worker_id
            records.append(_encode(number, progress))
        return records

    async def maintain(
        self,
        view: FleetView,
        due: list[str],
        empty_ids: set[str],
        valid_until_s: float,
    ) -> None:
        """Starts the maintenance of machines that are empty.

        Args:
            view: The fleet.
            due: Machines to maintain next.
            empty_ids: Machines that run nothing.
            valid_until_s: Until when they stay so.
        """
        for number, chosen in list(self._chosen_by_wave.items()):
            wave = self._cluster.waves_by_number[number]
            progress = self._progress_by_wave[number]
            for machine_id in chosen:
                if machine_id in due and machine_id in empty_ids:
                    machine = view.machines_by_id[machine_id]
                    await self._maintain(wave, progress, machine, valid_until_s)
            if self._is_complete(wave, progress, view):
                progress.is_complete = True
                self._chosen_by_wave.pop(number, None)
                await self._store_and_queue_report(wave, progress)
        await self._report_progress()

    async def _ensure_progress(self, wave: Wave) -> WaveProgress:
        progress = self._progress_by_wave.get(wave.number)
        if progress is None:
            progress = WaveProgress(first_seen_s=self._context.timers.now_s())
            self._progress_by_wave[wave.number] = progress
            await self._store_and_queue_report(wave, progress)
        return progress

    def _remove_finished(self, progress: WaveProgress, view: FleetView) -> None:
        """Removes machines that are up again after their maintenance.

        The outcome of an order is moot once its machine has left the fleet.
        """
        for machine_id in progress.uncertain_ids - view.machines_by_id.keys():
            progress.uncertain_ids.discard(machine_id)
            del progress.ordered_workers_by_id[machine_id]
        now_s = self._context.timers.now_s()
        for machine_id, until_s in list(progress.busy_until_s_by_id.items()):
            machine = view.machines_by_id.get(machine_id)
            is_up = machine is None or machine.state is MachineState.UP
            if now_s >= until_s and is_up:
                del progress.busy_until_s_by_id[machine_id]

    def _choose(
        self,
        wave: Wave,
        progress: WaveProgress,
        view: FleetView,
        free_ids: set[str],
    ) -> list[str]:
        occupied = self._occupied_ids(wave, progress, view)
        chosen_before = self._chosen_by_wave.get(wave.number, [])
        due = [
            self._due_machine(
                view,
                view.machines_by_id[machine_id],
                free_ids,
                machine_id in chosen_before,
            )
            for machine_id in wave.machine_ids
            if machine_id not in progress.started_ids
            and machine_id not in occupied
            and machine_id in view.machines_by_id
            and view.machines_by_id[machine_id].state is MachineState.UP
        ]
        chosen = choose_maintenance(
            due,
            wave.limit - len(occupied),
            progress.first_seen_s
            + wave.duration_s
            - self._context.timers.now_s(),
            wave.limit,
            _count_by_pool(occupied, view),
        )
        # An order with an unknown outcome is repeated until it is confirmed.
        repeated = [
            machine_id
            for machine_id in sorted(progress.uncertain_ids)
            if not self._orders.is_reserved(machine_id)
        ]
        return [*repeated, *chosen]

    def _occupied_ids(
        self, wave: Wave, progress: WaveProgress, view: FleetView
    ) -> set[str]:
        """Returns the wave's machines that are, or may be, in maintenance."""
        return {
            machine_id
            for machine_id in wave.machine_ids
            if machine_id in progress.busy_until_s_by_id
            or machine_id in progress.uncertain_ids
            or self._orders.is_reserved(machine_id)
            or _is_in_maintenance(view, machine_id)
        }

    def _due_machine(
        self,
        view: FleetView,
        machine: Machine,
        free_ids: set[str],
        was_chosen: bool,
    ) -> DueMachine:
        reply = view.replies_by_pool.get(machine.pool)
        return DueMachine(
            machine_id=machine.machine_id,
            pool=machine.pool,
            is_on_standby=machine.pool == view.standby_pool,
            is_idle=machine.machine_id in free_ids,
            has_waiting_work=reply is not None and reply.waiting_cores > 0,
            is_selected=was_chosen,
        )

    async def _maintain(
        self,
        wave: Wave,
        progress: WaveProgress,
        machine: Machine,
        valid_until_s: float,
    ) -> None:
        now_s = self._context.timers.now_s()
        machine_id = machine.machine_id
        worker_id = progress.ordered_workers_by_id[machine_id]
        outcome = await self._orders.maintain(
            machine, wave.number, worker_id, valid_until_s
        )
        if outcome is MachineOutcome.UNKNOWN:
            progress.uncertain_ids.add(machine_id)
            return
        if outcome is not MachineOutcome.DONE:
            # An earlier attempt may have been, or may yet be, carried out.
            if machine_id not in progress.uncertain_ids:
                del progress.ordered_workers_by_id[machine_id]
            return
        progress.uncertain_ids.discard(machine_id)
        del progress.ordered_workers_by_id[machine_id]
        progress.started_ids.add(machine_id)
        progress.busy_until_s_by_id[machine_id] = (
            now_s + self._context.times.maintenance_s
        )
        await self._store(wave, progress)

    def _is_complete(
        self, wave: Wave, progress: WaveProgress, view: FleetView
    ) -> bool:
        if progress.busy_until_s_by_id or progress.uncertain_ids:
            return False
        return all(
            machine_id in progress.started_ids
            or machine_id not in view.machines_by_id
            for machine_id in wave.machine_ids
        )

    async def _store(self, wave: Wave, progress: WaveProgress) -> bool:
        record = _encode(wave.number, progress)
        return await self._journal.commit([record]) is None

    async def _store_and_queue_report(
        self, wave: Wave, progress: WaveProgress
    ) -> None:
        """Stores a wave's progress and queues it for the operator's report."""
        if await self._store(wave, progress):
            self._unreported_since_s_by_wave.setdefault(
                wave.number, self._context.timers.now_s()
            )

    async def _report_progress(self) -> None:
        """Reports the waves' progress to the operator.

        After a refusal the next round retries, so that the machines of this
        round don't have to wait. Repeated reports are harmless.
        """
        numbers = sorted(
            set(self._unreported_since_s_by_wave)
            & set(self._cluster.waves_by_number)
        )
        if not numbers or self._journal.is_lost:
            return
        ports = self._context.ports
        records = [
            ports.feeds.encode_wave(
                self._cluster.waves_by_number[number],
                self._progress_by_wave[number].is_complete,
            )
            for number in numbers
        ]
        result = await ports.store.append(ports.feeds.status, records)
        if isinstance(result, Refusal):
            self._log_unreported(numbers, result)
            return
        for number in numbers:
            del self._unreported_since_s_by_wave[number]

    def _log_unreported(self, numbers: list[int], refusal: Refusal) -> None:
        since_s = min(
            self._unreported_since_s_by_wave[item] for item in numbers
        )
        unreported_s = self._context.timers.now_s() - since_s
        self._context.log.write(
            "wave.untold",
            waves=numbers,
            code=refusal.code.name,
            why=refusal.reason,
            since_ms=round(unreported_s * _MS_PER_S),
        )
        self._context.counters.increment("wave.untold")


def _encode(number: int, progress: WaveProgress) -> KeyedRecord:
    """Returns the record of a wave's progress."""
    record = WaveRecord(
        number,
        sorted(progress.started_ids),
        progress.is_complete,
        progress.ordered_workers_by_id,
    )
    return KeyedRecord(
        f"{_WAVE_KEY_PREFIX}{number}", msgspec.msgpack.encode(record)
    )


def _is_in_maintenance(view: FleetView, machine_id: str) -> bool:
    machine = view.machines_by_id.get(machine_id)
    return machine is not None and machine.state is MachineState.MAINTENANCE


def _count_by_pool(machine_ids: set[str], view: FleetView) -> dict[str, int]:
    counts: dict[str, int] = {}
    for machine_id in machine_ids:
        machine = view.machines_by_id.get(machine_id)
        if machine is not None:
            counts[machine.pool] = counts.get(machine.pool, 0) + 1
    return counts
