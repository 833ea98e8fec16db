"""Rounds of the fleet's owner: waves of maintenance first, then moves."""

import asyncio

import msgspec

from coltsfootseam.calls import VACATE, VacateReply, VacateRequest
from coltsfootseam.jobs import Wave
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.duties import Directory, pool_duty
from coltsfootseam.manager.knowledge import Knowledge
from coltsfootseam.results import Refusal
from coltsfootseam.scheduling import (
    MachineView,
    PoolDemand,
    WaveProgress,
    choose_maintenance,
)
from coltsfootseam.store import Journal, KeyedRecord
from coltsfootseam.workers import (
    Holder,
    Machine,
    MachineOutcome,
    MachineState,
)

_ROUND_S = 0.5
_ASK_TIMEOUT_S = 0.5
_WAVE_KEY = "wave/"


class WaveRecord(msgspec.Struct, array_like=True):
    """What the journal holds of a wave."""

    number: int
    begun_ids: list[str]
    is_complete: bool = False


class MachineRounds:
    """Plans and orders, with what the pools' owners say of their work."""

    __slots__ = (
        "_context",
        "_directory",
        "_holder",
        "_journal",
        "_knowledge",
        "_machines_by_id",
        "_progress_by_wave",
        "_released_by_pool",
        "_wanted_by_pool",
    )

    def __init__(
        self,
        context: Context,
        knowledge: Knowledge,
        directory: Directory,
        journal: Journal,
    ) -> None:
        self._context = context
        self._knowledge = knowledge
        self._directory = directory
        self._journal = journal
        self._holder = Holder(context.host_id, journal.epoch)
        self._machines_by_id: dict[str, Machine] = {}
        self._progress_by_wave: dict[int, WaveProgress] = {}
        self._wanted_by_pool: dict[str, set[str]] = {}
        self._released_by_pool: dict[str, set[str]] = {}

    async def run(self) -> None:
        """Plays rounds until the journal is lost."""
        while not await self._load():
            await self._context.timers.sleep(_ROUND_S)
        while not self._journal.lost:
            await self.play()
            await self._context.timers.sleep(_ROUND_S)

    async def play(self) -> None:
        """Plays one round."""
        has_work = any(
            not progress.is_complete
            for progress in self._progress_by_wave.values()
        ) or any(
            number not in self._progress_by_wave
            for number in self._knowledge.waves_by_number
        )
        if not has_work and not self._wanted_by_pool:
            return
        if not await self._list_machines():
            return
        await self._play_waves()

    async def _load(self) -> bool:
        """Reads which machines an earlier owner began to maintain."""
        newest = await self._context.ports.store.newest(self._journal.partition)
        if isinstance(newest, Refusal):
            return False
        for record in newest.records:
            if not record.key.startswith(_WAVE_KEY) or not record.value:
                continue
            stored = msgspec.msgpack.decode(record.value, type=WaveRecord)
            self._progress_by_wave[stored.number] = WaveProgress(
                begun_ids=set(stored.begun_ids),
                is_complete=stored.is_complete,
            )
        return True

    async def _list_machines(self) -> bool:
        machines = await self._context.ports.machines.list_machines()
        if isinstance(machines, Refusal):
            self._context.log.write("machines.unlisted", why=machines.reason)
            return False
        self._machines_by_id = {
            machine.machine_id: machine for machine in machines
        }
        return True

    async def _play_waves(self) -> None:
        for wave in sorted(
            self._knowledge.waves_by_number.values(),
            key=lambda item: item.number,
        ):
            progress = self._progress_by_wave.get(wave.number)
            if progress is None:
                progress = WaveProgress()
                self._progress_by_wave[wave.number] = progress
                await self._tell(wave, progress)
            if not progress.is_complete:
                await self._play_wave(wave, progress)

    async def _play_wave(self, wave: Wave, progress: WaveProgress) -> None:
        self._note_finished(wave, progress)
        chosen = choose_maintenance(
            wave.machine_ids, wave.limit, progress, self._views()
        )
        self._want(wave, chosen)
        replies_by_pool = await self._ask_pools()
        for machine_id in chosen:
            machine = self._machines_by_id[machine_id]
            reply = replies_by_pool.get(machine.pool)
            if self._is_empty(machine, reply):
                await self._maintain(wave, progress, machine)
        if self._is_complete(wave, progress):
            progress.is_complete = True
            self._wanted_by_pool.clear()
            await self._ask_pools()
            await self._tell(wave, progress)

    def _views(self) -> dict[str, MachineView]:
        return {
            machine.machine_id: MachineView(
                machine.machine_id,
                machine.pool,
                machine.labels[-1] if machine.labels else "",
                machine.state is MachineState.UP,
            )
            for machine in self._machines_by_id.values()
        }

    def _note_finished(self, wave: Wave, progress: WaveProgress) -> None:
        """A machine that is up after its maintenance has begun is done."""
        now_s = self._context.timers.now_s()
        for machine_id in list(progress.busy_until_s_by_id):
            machine = self._machines_by_id.get(machine_id)
            is_over = now_s >= progress.busy_until_s_by_id[machine_id]
            is_up = machine is None or machine.state is MachineState.UP
            if is_over and is_up:
                del progress.busy_until_s_by_id[machine_id]

    def _want(self, wave: Wave, chosen: list[str]) -> None:
        del wave
        self._wanted_by_pool = {}
        for machine_id in chosen:
            machine = self._machines_by_id[machine_id]
            wanted = self._wanted_by_pool.setdefault(machine.pool, set())
            wanted.add(machine_id)

    async def _ask_pools(self) -> dict[str, VacateReply]:
        configuration = self._knowledge.configuration
        if configuration is None:
            return {}
        pools = sorted(configuration.pools_by_name)
        replies = await asyncio.gather(
            *(self._ask_pool(pool) for pool in pools)
        )
        return {
            pool: reply
            for pool, reply in zip(pools, replies, strict=True)
            if reply is not None
        }

    async def _ask_pool(self, pool: str) -> VacateReply | None:
        address = self._directory.address_of(pool_duty(pool))
        if address is None:
            return None
        worker_ids = [
            worker_id
            for machine_id in sorted(self._wanted_by_pool.get(pool, ()))
            if (worker_id := self._worker_of(machine_id)) is not None
        ]
        released = sorted(self._released_by_pool.pop(pool, ()))
        reply = await self._context.peers.call(
            address,
            VACATE,
            VacateRequest(pool, worker_ids, released),
            _ASK_TIMEOUT_S,
        )
        if isinstance(reply, VacateReply) and reply.is_owner:
            return reply
        self._directory.look_again()
        return None

    def _worker_of(self, machine_id: str) -> str | None:
        machine = self._machines_by_id.get(machine_id)
        if machine is None or not machine.instance_id:
            return None
        entry = self._knowledge.workers_by_instance.get(machine.instance_id)
        return None if entry is None else entry.worker_id

    def _is_empty(self, machine: Machine, reply: VacateReply | None) -> bool:
        if machine.state is not MachineState.UP:
            return False
        configuration = self._knowledge.configuration
        pool = (
            None
            if configuration is None
            else configuration.pools_by_name.get(machine.pool)
        )
        if pool is not None and pool.is_standby:
            return True
        if reply is None:
            return False
        worker_id = self._worker_of(machine.machine_id)
        return worker_id is not None and worker_id in reply.empty_ids

    async def _maintain(
        self, wave: Wave, progress: WaveProgress, machine: Machine
    ) -> None:
        worker_id = self._worker_of(machine.machine_id)
        began_s = self._context.timers.now_s()
        outcome = await self._context.ports.machines.maintain(
            self._holder, machine.machine_id, wave.number
        )
        self._context.log.write(
            "machine.maintained",
            machine=machine.machine_id,
            pool=machine.pool,
            wave=wave.number,
            token=self._holder.token,
            outcome=outcome.name,
        )
        if outcome is MachineOutcome.FENCED:
            self._journal.lost = True
        if outcome is not MachineOutcome.DONE:
            return
        progress.begun_ids.add(machine.machine_id)
        progress.busy_until_s_by_id[machine.machine_id] = (
            began_s + self._context.times.maintenance_s
        )
        self._wanted_by_pool.get(machine.pool, set()).discard(
            machine.machine_id
        )
        if worker_id is not None:
            released = self._released_by_pool.setdefault(machine.pool, set())
            released.add(worker_id)
        await self._tell(wave, progress)

    def _is_complete(self, wave: Wave, progress: WaveProgress) -> bool:
        return (
            all(
                machine_id in progress.begun_ids
                or machine_id not in self._machines_by_id
                for machine_id in wave.machine_ids
            )
            and not progress.busy_until_s_by_id
        )

    async def _tell(self, wave: Wave, progress: WaveProgress) -> None:
        """Stores how far a wave is, then tells the operator."""
        record = WaveRecord(
            wave.number, sorted(progress.begun_ids), progress.is_complete
        )
        key = f"{_WAVE_KEY}{wave.number}"
        problem = await self._journal.commit(
            [KeyedRecord(key, msgspec.msgpack.encode(record))]
        )
        if problem is not None:
            return
        ports = self._context.ports
        status = ports.feeds.write_wave(wave, progress.is_complete)
        while not self._journal.lost:
            result = await ports.store.append(ports.feeds.status, [status])
            if not isinstance(result, Refusal):
                return
            await self._context.timers.sleep(_ROUND_S)


def demand_of(pool: str, reply: VacateReply) -> PoolDemand:
    """Returns a pool's demand as its owner tells it."""
    return PoolDemand(
        pool=pool,
        waiting_cores=reply.waiting_cores,
        used_cores=reply.used_cores,
        least_cores=reply.least_cores,
        idle_count=len(reply.idle_ids),
    )
