"""Waves of maintenance: which machines are due, and how far each wave is."""

import msgspec

from coltsfootseam.jobs import Wave
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.fleet_view import FleetView
from coltsfootseam.manager.knowledge import Knowledge
from coltsfootseam.manager.machine_orders import MachineOrders
from coltsfootseam.results import Refusal
from coltsfootseam.scheduling import (
    DueMachine,
    WaveProgress,
    choose_maintenance,
)
from coltsfootseam.store import Journal, KeyedRecord, LatestRecords
from coltsfootseam.workers import Machine, MachineOutcome, MachineState

_WAVE_KEY = "wave/"
_MS_PER_S = 1000


class WaveRecord(msgspec.Struct, array_like=True):
    """What the journal holds of a wave."""

    number: int
    begun_ids: list[str]
    is_complete: bool = False


class Waves:
    """All waves that the operator asked for."""

    __slots__ = (
        "_context",
        "_journal",
        "_knowledge",
        "_orders",
        "_progress_by_wave",
        "_untold_since_s_by_wave",
        "_wanted_by_wave",
    )

    def __init__(
        self,
        context: Context,
        knowledge: Knowledge,
        journal: Journal,
        orders: MachineOrders,
    ) -> None:
        self._context = context
        self._knowledge = knowledge
        self._journal = journal
        self._orders = orders
        self._progress_by_wave: dict[int, WaveProgress] = {}
        self._untold_since_s_by_wave: dict[int, float] = {}
        self._wanted_by_wave: dict[int, list[str]] = {}

    def restore(self, newest: LatestRecords) -> None:
        """Reads which machines an earlier owner began to maintain."""
        now_s = self._context.timers.now_s()
        busy_until_s = now_s + self._context.times.maintenance_s
        for record in newest.records:
            if not record.key.startswith(_WAVE_KEY) or not record.value:
                continue
            stored = msgspec.msgpack.decode(record.value, type=WaveRecord)
            busy = {} if stored.is_complete else stored.begun_ids
            self._progress_by_wave[stored.number] = WaveProgress(
                first_s=now_s,
                begun_ids=set(stored.begun_ids),
                # Which of them are over isn't known; the list will tell.
                busy_until_s_by_id=dict.fromkeys(busy, busy_until_s),
                is_complete=stored.is_complete,
            )
            # The journal doesn't tell whether the operator was told as much.
            self._untold_since_s_by_wave[stored.number] = now_s

    def wanted_ids(self) -> set[str]:
        """Returns the machines that are wanted for maintenance now."""
        return {
            machine_id
            for wanted in self._wanted_by_wave.values()
            for machine_id in wanted
        }

    def is_due(self, machine_id: str) -> bool:
        """Tells whether a machine waits for its maintenance."""
        for number, wave in self._knowledge.waves_by_number.items():
            progress = self._progress_by_wave.get(number)
            if progress is not None and progress.is_complete:
                continue
            begun = set() if progress is None else progress.begun_ids
            if machine_id in wave.machine_ids and machine_id not in begun:
                return True
        return False

    async def plan(self, view: FleetView, free_ids: set[str]) -> list[str]:
        """Chooses the machines that are wanted now, of all waves."""
        await self._tell()
        wanted: list[str] = []
        for number in sorted(self._knowledge.waves_by_number):
            wave = self._knowledge.waves_by_number[number]
            progress = await self._progress(wave)
            if progress.is_complete:
                self._wanted_by_wave.pop(number, None)
                continue
            self._note_finished(progress, view)
            chosen = self._choose(wave, progress, view, free_ids)
            self._wanted_by_wave[number] = chosen
            wanted.extend(chosen)
        return wanted

    async def maintain(
        self, view: FleetView, due: list[str], empty_ids: set[str]
    ) -> None:
        """Begins the maintenance of machines that are empty."""
        for number, wanted in list(self._wanted_by_wave.items()):
            wave = self._knowledge.waves_by_number[number]
            progress = self._progress_by_wave[number]
            for machine_id in wanted:
                if machine_id in due and machine_id in empty_ids:
                    machine = view.machines_by_id[machine_id]
                    await self._maintain(wave, progress, machine, view)
            if self._is_over(wave, progress, view):
                progress.is_complete = True
                self._wanted_by_wave.pop(number, None)
                await self._note_step(wave, progress)
        await self._tell()

    async def _progress(self, wave: Wave) -> WaveProgress:
        progress = self._progress_by_wave.get(wave.number)
        if progress is None:
            progress = WaveProgress(first_s=self._context.timers.now_s())
            self._progress_by_wave[wave.number] = progress
            await self._note_step(wave, progress)
        return progress

    def _note_finished(self, progress: WaveProgress, view: FleetView) -> None:
        """A machine that is up again after its time is done."""
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
        occupied = self._occupied(wave, progress, view)
        wanted = self._wanted_by_wave.get(wave.number, [])
        due = [
            self._due_machine(
                view,
                view.machines_by_id[machine_id],
                free_ids,
                machine_id in wanted,
            )
            for machine_id in wave.machine_ids
            if machine_id not in progress.begun_ids
            and machine_id not in occupied
            and machine_id in view.machines_by_id
            and view.machines_by_id[machine_id].state is MachineState.UP
        ]
        chosen = choose_maintenance(
            due,
            wave.limit - len(occupied),
            progress.first_s + wave.duration_s - self._context.timers.now_s(),
            wave.limit,
            _count_by_pool(occupied, view),
        )
        # An order without an answer is repeated until it is settled.
        return [*sorted(progress.uncertain_ids), *chosen]

    def _occupied(
        self, wave: Wave, progress: WaveProgress, view: FleetView
    ) -> set[str]:
        """Returns the machines that are, or may be, down for the wave."""
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
        is_wanted: bool,
    ) -> DueMachine:
        reply = view.replies_by_pool.get(machine.pool)
        return DueMachine(
            machine_id=machine.machine_id,
            pool=machine.pool,
            is_off=machine.pool == view.standby_pool,
            is_free=machine.machine_id in free_ids,
            is_pressed=reply is not None and reply.waiting_cores > 0,
            is_wanted=is_wanted,
        )

    async def _maintain(
        self,
        wave: Wave,
        progress: WaveProgress,
        machine: Machine,
        view: FleetView,
    ) -> None:
        now_s = self._context.timers.now_s()
        outcome = await self._orders.maintain(
            machine, wave.number, view.worker_of(machine.machine_id)
        )
        if outcome is MachineOutcome.UNKNOWN:
            progress.uncertain_ids.add(machine.machine_id)
        if outcome is not MachineOutcome.DONE:
            return
        progress.uncertain_ids.discard(machine.machine_id)
        progress.begun_ids.add(machine.machine_id)
        progress.busy_until_s_by_id[machine.machine_id] = (
            now_s + self._context.times.maintenance_s
        )
        await self._store(wave, progress)

    def _is_over(
        self, wave: Wave, progress: WaveProgress, view: FleetView
    ) -> bool:
        if progress.busy_until_s_by_id or progress.uncertain_ids:
            return False
        return all(
            machine_id in progress.begun_ids
            or machine_id not in view.machines_by_id
            for machine_id in wave.machine_ids
        )

    async def _store(self, wave: Wave, progress: WaveProgress) -> bool:
        record = WaveRecord(
            wave.number, sorted(progress.begun_ids), progress.is_complete
        )
        key = f"{_WAVE_KEY}{wave.number}"
        problem = await self._journal.commit(
            [KeyedRecord(key, msgspec.msgpack.encode(record))]
        )
        return problem is None

    async def _note_step(self, wave: Wave, progress: WaveProgress) -> None:
        """Stores how far a wave is, which the operator is to be told."""
        if await self._store(wave, progress):
            self._untold_since_s_by_wave.setdefault(
                wave.number, self._context.timers.now_s()
            )

    async def _tell(self) -> None:
        """Tells the operator how far waves are.

        A refusal leaves it to the next round, as machines wait for this one.
        To tell the same twice does no harm.
        """
        numbers = sorted(
            set(self._untold_since_s_by_wave)
            & set(self._knowledge.waves_by_number)
        )
        if not numbers or self._journal.lost:
            return
        ports = self._context.ports
        records = [
            ports.feeds.write_wave(
                self._knowledge.waves_by_number[number],
                self._progress_by_wave[number].is_complete,
            )
            for number in numbers
        ]
        result = await ports.store.append(ports.feeds.status, records)
        if isinstance(result, Refusal):
            self._note_untold(numbers, result)
            return
        for number in numbers:
            del self._untold_since_s_by_wave[number]

    def _note_untold(self, numbers: list[int], problem: Refusal) -> None:
        since_s = min(self._untold_since_s_by_wave[item] for item in numbers)
        untold_s = self._context.timers.now_s() - since_s
        self._context.log.write(
            "wave.untold",
            waves=numbers,
            code=problem.code.name,
            why=problem.reason,
            since_ms=round(untold_s * _MS_PER_S),
        )
        self._context.counters.increment("wave.untold")


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
