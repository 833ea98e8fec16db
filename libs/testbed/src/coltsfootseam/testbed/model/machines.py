"""Machines of the model and their faults."""

import random

import msgspec

from coltsfootseam.testbed.model.workers import ModelWorker
from coltsfootseam.workers import WorkerEntry

STANDBY = "standby"
_MACHINES_PER_RACK = 4


class ModelPlan(msgspec.Struct, frozen=True):
    """Size of the modelled fleet and its faults.

    Attributes:
        pools: Names of the pools.
        machines: Number of machines in each pool at the start.
        standby: Number of standby machines at the start.
        cores: Cores of a machine.
        memory_mb: Memory of a machine.
        slow_share: Share of machines on which runs take three times as long.
        failing_share: Share of machines on which every run fails.
        hanging_share: Share of machines on which runs make no progress.
        seed: Seed that selects the faulty machines.
    """

    pools: tuple[str, ...]
    machines: int = 8
    standby: int = 8
    cores: int = 16
    memory_mb: int = 65_536
    slow_share: float = 0.0
    failing_share: float = 0.0
    hanging_share: float = 0.0
    seed: int = 1


class ModelMachine(msgspec.Struct):
    """A machine, its worker and its pool.

    Attributes:
        machine_id: Id of the machine.
        pool: Its pool, or the pool that it is moving to.
        worker: The worker on it.
        arrives_s: When its move ends, ``None`` if it isn't moving.
        incarnation: Number of the worker's current incarnation, from 1.
    """

    machine_id: str
    pool: str
    worker: ModelWorker
    arrives_s: float | None = None
    incarnation: int = 1


def make_machines(plan: ModelPlan) -> list[ModelMachine]:
    """Returns the machines of a plan, some of them faulty."""
    pool_names = [pool for pool in plan.pools for _ in range(plan.machines)]
    pool_names.extend([STANDBY] * plan.standby)
    rng = random.Random(plan.seed)
    machines = []
    for number, pool in enumerate(pool_names):
        machine_id = f"m-{number}"
        worker = ModelWorker(_make_entry(machine_id, pool, number, plan))
        _inject_fault(worker, plan, rng.random())
        machines.append(ModelMachine(machine_id, pool, worker))
    return machines


def _inject_fault(worker: ModelWorker, plan: ModelPlan, draw: float) -> None:
    """Injects the fault that a uniform draw from 0 to 1 selects, if any."""
    if draw < plan.slow_share:
        worker.slowness = 3.0
        return
    draw -= plan.slow_share
    if draw < plan.failing_share:
        worker.fails = True
        return
    draw -= plan.failing_share
    worker.hangs = draw < plan.hanging_share


def _make_entry(
    machine_id: str, pool: str, number: int, plan: ModelPlan
) -> WorkerEntry:
    return WorkerEntry(
        worker_id=f"i-{number}@1",
        instance_id=f"i-{number}",
        started_ms=1,
        pool=pool,
        address=f"10.1.0.{number}:80",
        zone="a",
        is_draining=False,
        remaining_ms=None,
        cpu_millis=plan.cores * 1000,
        memory_mb=plan.memory_mb,
        accelerators=0,
        labels=("kind", f"r{number // _MACHINES_PER_RACK}"),
        machine_id=machine_id,
    )
