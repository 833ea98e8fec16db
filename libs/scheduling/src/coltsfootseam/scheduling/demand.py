"""Which machines change their pool, by what the pools need and hold.

A machine in a pool costs as long as it is there, a move costs once, and work
that waits costs most. So a pool that is short gets machines at once, first
those on standby, then those that run nothing elsewhere. A pool gives an idle
machine up only after it was idle for about as long as two moves are worth.
"""

import itertools
from collections.abc import Callable

import msgspec

from coltsfootseam.scheduling.registry import Registry

NO_MOVES = "still"
"""Name of the rule under which no machine moves."""

_FORECAST_S = 2.0
_SHORTAGE_SHARE = 0.25
_MAX_SAMPLES = 4
_MIN_SAMPLES = 3


class PoolDemand(msgspec.Struct, frozen=True):
    """The demand of a pool, as its owner tells it.

    Attributes:
        pool: Name of the pool.
        waiting_cores: Processor that waiting tasks ask for, in cores.
        used_cores: Processor in use, in cores.
        min_workers: How many workers its tasks need to be apart.
        labels: Labels that waiting tasks ask for.
    """

    pool: str
    waiting_cores: float
    used_cores: float
    min_workers: int = 0
    labels: frozenset[str] = frozenset()


class MachineSupply(msgspec.Struct, frozen=True):
    """A machine that may be moved.

    Attributes:
        machine_id: Name of the machine.
        pool: Pool that it is in, or on the way to.
        cores: Processor that it has, in cores.
        is_free: Whether it runs nothing and could leave now.
        idle_s: How long it has been running nothing.
        labels: Its kind and its rack.
        is_due: Whether it waits for maintenance.
        is_evacuating: Whether it is being emptied for maintenance.
    """

    machine_id: str
    pool: str
    cores: float
    is_free: bool
    idle_s: float
    labels: frozenset[str] = frozenset()
    is_due: bool = False
    is_evacuating: bool = False


class PoolRules(msgspec.Struct, frozen=True):
    """How the pools are sized; they follow from the contracts.

    Attributes:
        need: Name of the rule that tells what a pool needs.
        headroom_cores: Processor that a pool keeps free, in cores.
        least_machines: Machines that a pool always keeps.
        idle_s: How long a machine is idle before it goes on standby.
    """

    need: str = "foresight"
    headroom_cores: float = 16.0
    least_machines: int = 2
    idle_s: float = 1.2


NeedRule = Callable[[PoolDemand, float, PoolRules], float]
"""Returns what a pool needs, in cores, by its demand and growth in cores."""

NEED_RULES: Registry[NeedRule] = Registry("rule of need")


@NEED_RULES.register("foresight")
def need_by_forecast(
    demand: PoolDemand, growth_cores: float, rules: PoolRules
) -> float:
    """What runs, waits and will have come when a move is over, and some."""
    return (
        demand.used_cores
        + demand.waiting_cores
        + growth_cores
        + rules.headroom_cores
    )


@NEED_RULES.register("queue")
def need_by_queue(
    demand: PoolDemand, growth_cores: float, rules: PoolRules
) -> float:
    """What runs and waits now."""
    del growth_cores, rules
    return demand.used_cores + demand.waiting_cores


@NEED_RULES.register(NO_MOVES)
def need_nothing(
    demand: PoolDemand, growth_cores: float, rules: PoolRules
) -> float:
    """Nothing: each machine stays where it is."""
    del demand, growth_cores, rules
    return 0.0


class Move(msgspec.Struct, frozen=True):
    """A machine that is to change its pool."""

    machine_id: str
    pool: str


class DemandHistory:
    """Remembers a pool's recent demand to tell how fast it grows."""

    __slots__ = ("_samples_by_pool",)

    def __init__(self) -> None:
        self._samples_by_pool: dict[str, list[tuple[float, float]]] = {}

    def add(self, demand: PoolDemand, now_s: float) -> None:
        """Takes note of a pool's demand."""
        samples = self._samples_by_pool.setdefault(demand.pool, [])
        samples.append((now_s, demand.used_cores + demand.waiting_cores))
        del samples[:-_MAX_SAMPLES]

    def growth_cores(self, pool: str) -> float:
        """Returns by how much demand will have grown when a move is over."""
        samples = self._samples_by_pool.get(pool, [])
        if len(samples) < _MIN_SAMPLES:
            return 0.0
        steps = [
            after - before
            for (_, before), (_, after) in itertools.pairwise(samples)
        ]
        # A single large job looks like fast growth; it is left out.
        steps.remove(max(steps))
        span_s = samples[-1][0] - samples[0][0]
        rate = sum(steps) / max(0.1, span_s)
        return max(0.0, rate * _FORECAST_S)


class IdleTimes:
    """Remembers since when machines have been running nothing."""

    __slots__ = ("_since_s_by_id",)

    def __init__(self) -> None:
        self._since_s_by_id: dict[str, float] = {}

    def record_idle(self, idle_ids: set[str], now_s: float) -> None:
        """Takes note of the machines that run nothing now."""
        self._since_s_by_id = {
            machine_id: self._since_s_by_id.get(machine_id, now_s)
            for machine_id in idle_ids
        }

    def is_idle(self, machine_id: str) -> bool:
        """Tells whether a machine ran nothing when last noted."""
        return machine_id in self._since_s_by_id

    def idle_s(self, machine_id: str, now_s: float) -> float:
        """Returns how long a machine has run nothing, 0 if it is at work."""
        return now_s - self._since_s_by_id.get(machine_id, now_s)


class _Balance(msgspec.Struct):
    pool: str
    need_cores: float
    supply_cores: float
    machine_count: int
    min_count: int
    labels: frozenset[str] = frozenset()

    def shortage(self) -> float:
        return self.need_cores - self.supply_cores

    def can_release(self, cores: float) -> bool:
        if self.machine_count <= self.min_count:
            return False
        return self.supply_cores - cores >= self.need_cores


def plan_moves(
    demands: list[PoolDemand],
    history: DemandHistory,
    machines: list[MachineSupply],
    standby_pool: str,
    rules: PoolRules,
) -> list[Move]:
    """Chooses the machines that change their pool now.

    Args:
        demands: Demand of each pool whose owner answered, without the pool
            on standby. Pools that are missing here are left alone.
        history: Their recent demand.
        machines: Machines that are up or on their way.
        standby_pool: Pool whose machines are off, or empty if there is none.
        rules: How pools are sized.
    """
    balances_by_pool = {
        demand.pool: _balance(demand, history, machines, rules)
        for demand in demands
    }
    moves: list[Move] = []
    if rules.need == NO_MOVES:
        return moves
    moved_ids: set[str] = set()
    short = sorted(
        balances_by_pool.values(), key=_Balance.shortage, reverse=True
    )
    for balance in short:
        _move_machines_to(
            balance, balances_by_pool, machines, standby_pool, moved_ids, moves
        )
    if standby_pool:
        _move_idle_to_standby(
            balances_by_pool, machines, standby_pool, rules, moved_ids, moves
        )
    return moves


def surplus_counts(
    demands: list[PoolDemand],
    history: DemandHistory,
    machines: list[MachineSupply],
    rules: PoolRules,
) -> dict[str, int]:
    """Returns how many machines each pool could do without."""
    counts_by_pool: dict[str, int] = {}
    if rules.need == NO_MOVES:
        return counts_by_pool
    for demand in demands:
        balance = _balance(demand, history, machines, rules)
        count = 0
        own = [
            item.cores
            for item in machines
            if item.pool == demand.pool and not item.is_evacuating
        ]
        for cores in sorted(own):
            if not balance.can_release(cores):
                break
            balance.supply_cores -= cores
            balance.machine_count -= 1
            count += 1
        counts_by_pool[demand.pool] = count
    return counts_by_pool


def _balance(
    demand: PoolDemand,
    history: DemandHistory,
    machines: list[MachineSupply],
    rules: PoolRules,
) -> _Balance:
    own = [
        machine
        for machine in machines
        if machine.pool == demand.pool and not machine.is_evacuating
    ]
    need = NEED_RULES.named(rules.need)
    need_cores = need(demand, history.growth_cores(demand.pool), rules)
    return _Balance(
        pool=demand.pool,
        need_cores=need_cores,
        supply_cores=sum(machine.cores for machine in own),
        machine_count=len(own),
        min_count=max(rules.least_machines, demand.min_workers),
        labels=demand.labels,
    )


def _move_machines_to(
    balance: _Balance,
    balances_by_pool: dict[str, _Balance],
    machines: list[MachineSupply],
    standby_pool: str,
    moved_ids: set[str],
    moves: list[Move],
) -> None:
    """Brings machines to a pool that is short."""
    for machine in _candidates(balance, machines, standby_pool, moved_ids):
        is_short = balance.shortage() > _SHORTAGE_SHARE * machine.cores
        is_few = balance.machine_count < balance.min_count
        if not is_short and not is_few:
            return
        donor = balances_by_pool.get(machine.pool)
        if machine.pool != standby_pool:
            if donor is None or not donor.can_release(machine.cores):
                continue
            donor.supply_cores -= machine.cores
            donor.machine_count -= 1
        balance.supply_cores += machine.cores
        balance.machine_count += 1
        moved_ids.add(machine.machine_id)
        moves.append(Move(machine.machine_id, balance.pool))


def _candidates(
    balance: _Balance,
    machines: list[MachineSupply],
    standby_pool: str,
    moved_ids: set[str],
) -> list[MachineSupply]:
    """Returns the machines that a short pool may get, the best first."""
    candidates = [
        machine
        for machine in machines
        if machine.is_free
        and machine.machine_id not in moved_ids
        and machine.pool != balance.pool
    ]
    # What has a label that is asked for comes first, then what is off; what
    # is due for maintenance comes last.
    candidates.sort(
        key=lambda machine: (
            not machine.labels & balance.labels,
            machine.pool != standby_pool,
            machine.is_due,
            -machine.idle_s,
        )
    )
    return candidates


def _move_idle_to_standby(
    balances_by_pool: dict[str, _Balance],
    machines: list[MachineSupply],
    standby_pool: str,
    rules: PoolRules,
    moved_ids: set[str],
    moves: list[Move],
) -> None:
    """Puts machines on standby that have been idle for long."""
    idle = [
        machine
        for machine in machines
        if machine.is_free
        and machine.idle_s >= rules.idle_s
        and machine.machine_id not in moved_ids
    ]
    # A machine that is due is best maintained while it is off.
    idle.sort(key=lambda machine: (not machine.is_due, -machine.idle_s))
    for machine in idle:
        balance = balances_by_pool.get(machine.pool)
        if balance is None or not balance.can_release(machine.cores):
            continue
        balance.supply_cores -= machine.cores
        balance.machine_count -= 1
        moved_ids.add(machine.machine_id)
        moves.append(Move(machine.machine_id, standby_pool))
