"""Plans moves of machines between pools by the pools' demand.

A machine in a pool costs for as long as it is there, a move costs once, and
waiting tasks cost most. So a pool that is short gets machines at once, first
those on standby, then those that run nothing in other pools. An idle machine is
released only after it was idle for about as long as two moves are worth.
"""

import itertools
from collections.abc import Callable

import msgspec

from coltsfootseam.scheduling.registry import Registry

NO_MOVES = "still"
"""Name of the rule that never moves a machine."""

_FORECAST_HORIZON_S = 2.0
_MIN_SHORTAGE_MACHINE_FRACTION = 0.25
_MAX_SAMPLES = 4
_MIN_SAMPLES = 3


class PoolDemand(msgspec.Struct, frozen=True):
    """The demand of a pool, as reported by its owner.

    Attributes:
        pool: Name of the pool.
        waiting_cores: Processor that waiting tasks request, in cores.
        used_cores: Processor in use, in cores.
        min_workers: How many workers its tasks have to be spread over.
        labels: Labels that waiting tasks require.
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
        pool: Pool that it is in or moving to.
        cores: Its processor, in cores.
        is_free: Whether it runs nothing and could move now.
        idle_s: How long it has run nothing.
        labels: Its kind and its rack.
        is_due: Whether it is due for maintenance.
        is_evacuating: Whether it is being evacuated for maintenance.
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
    """How the pools are sized; follows from the contracts.

    Attributes:
        need: Name of the rule that computes what a pool needs.
        headroom_cores: Processor that a pool keeps free, in cores.
        least_machines: How many machines a pool always keeps.
        idle_s: How long a machine is idle before it goes on standby.
    """

    need: str = "foresight"
    headroom_cores: float = 16.0
    least_machines: int = 2
    idle_s: float = 1.2


NeedRule = Callable[[PoolDemand, float, PoolRules], float]
"""Returns the cores that a pool needs, by its demand and growth in cores."""

NEED_RULES: Registry[NeedRule] = Registry("need rule")


@NEED_RULES.register("foresight")
def need_by_forecast(
    demand: PoolDemand, growth_cores: float, rules: PoolRules
) -> float:
    """Demand expected by the end of a move, plus headroom."""
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
    """Current demand."""
    del growth_cores, rules
    return demand.used_cores + demand.waiting_cores


@NEED_RULES.register(NO_MOVES)
def need_nothing(
    demand: PoolDemand, growth_cores: float, rules: PoolRules
) -> float:
    """No need: each machine stays in its pool."""
    del demand, growth_cores, rules
    return 0.0


class Move(msgspec.Struct, frozen=True):
    """A machine that is to change its pool."""

    machine_id: str
    pool: str


class DemandHistory:
    """Recent demand of each pool, to forecast its growth."""

    __slots__ = ("_samples_by_pool",)

    def __init__(self) -> None:
        self._samples_by_pool: dict[str, list[tuple[float, float]]] = {}

    def add(self, demand: PoolDemand, now_s: float) -> None:
        """Records a pool's demand."""
        samples = self._samples_by_pool.setdefault(demand.pool, [])
        samples.append((now_s, demand.used_cores + demand.waiting_cores))
        del samples[:-_MAX_SAMPLES]

    def growth_cores(self, pool: str) -> float:
        """Returns the growth of demand expected within the time of a move."""
        samples = self._samples_by_pool.get(pool, [])
        if len(samples) < _MIN_SAMPLES:
            return 0.0
        steps = [
            after - before
            for (_, before), (_, after) in itertools.pairwise(samples)
        ]
        # The largest step is left out, as a single large job isn't growth.
        steps.remove(max(steps))
        span_s = samples[-1][0] - samples[0][0]
        rate = sum(steps) / max(0.1, span_s)
        return max(0.0, rate * _FORECAST_HORIZON_S)


class IdleTimes:
    """Records since when machines have been idle."""

    __slots__ = ("_since_s_by_id",)

    def __init__(self) -> None:
        self._since_s_by_id: dict[str, float] = {}

    def record_idle(self, idle_ids: set[str], now_s: float) -> None:
        """Records the machines that are idle now."""
        self._since_s_by_id = {
            machine_id: self._since_s_by_id.get(machine_id, now_s)
            for machine_id in idle_ids
        }

    def is_idle(self, machine_id: str) -> bool:
        """Returns whether a machine was idle when last recorded."""
        return machine_id in self._since_s_by_id

    def idle_s(self, machine_id: str, now_s: float) -> float:
        """Returns how long a machine has been idle, 0 if it is in use."""
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

    def has_too_few(self, cores: float) -> bool:
        del cores
        return self.machine_count < self.min_count

    def is_short_of(self, cores: float) -> bool:
        return self.shortage() > _MIN_SHORTAGE_MACHINE_FRACTION * cores

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
    """Returns the moves of machines between pools that start now.

    Args:
        demands: Demand of each pool whose owner replied, without the standby
            pool. Pools that are missing here are left unchanged.
        history: Their recent demand.
        machines: Machines that are up or moving.
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
    _move_to_short_pools(
        balances_by_pool, machines, standby_pool, moved_ids, moves
    )
    if standby_pool:
        _move_idle_to_standby(
            balances_by_pool, machines, standby_pool, rules, moved_ids, moves
        )
    return moves


def _move_to_short_pools(
    balances_by_pool: dict[str, _Balance],
    machines: list[MachineSupply],
    standby_pool: str,
    moved_ids: set[str],
    moves: list[Move],
) -> None:
    """Moves machines to all pools that are short, the shortest first."""
    short = sorted(
        balances_by_pool.values(), key=_Balance.shortage, reverse=True
    )
    # A few machines that long-running tasks can't do without go before the
    # many that a burst asks for.
    for is_wanted in (_Balance.has_too_few, _Balance.is_short_of):
        for balance in short:
            _move_machines_to(
                balance,
                is_wanted,
                balances_by_pool,
                machines,
                standby_pool,
                moved_ids,
                moves,
            )


def surplus_counts(
    demands: list[PoolDemand],
    history: DemandHistory,
    machines: list[MachineSupply],
    rules: PoolRules,
) -> dict[str, int]:
    """Returns how many machines each pool could release."""
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
    need = NEED_RULES.lookup(rules.need)
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
    is_wanted: Callable[[_Balance, float], bool],
    balances_by_pool: dict[str, _Balance],
    machines: list[MachineSupply],
    standby_pool: str,
    moved_ids: set[str],
    moves: list[Move],
) -> None:
    """Moves machines to a pool while it wants one of their size."""
    for machine in _candidates(balance, machines, standby_pool, moved_ids):
        if not is_wanted(balance, machine.cores):
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
    """Returns the machines that a pool may get, in order of preference."""
    candidates = [
        machine
        for machine in machines
        if machine.is_free
        and machine.machine_id not in moved_ids
        and machine.pool != balance.pool
    ]
    # Machines with a required label come first, then those that are off;
    # those due for maintenance come last.
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
    """Moves machines to standby that have been idle for long enough."""
    idle = [
        machine
        for machine in machines
        if machine.is_free
        and machine.idle_s >= rules.idle_s
        and machine.machine_id not in moved_ids
    ]
    # Machines due for maintenance go first, as they are best maintained while
    # they are off.
    idle.sort(key=lambda machine: (not machine.is_due, -machine.idle_s))
    for machine in idle:
        balance = balances_by_pool.get(machine.pool)
        if balance is None or not balance.can_release(machine.cores):
            continue
        balance.supply_cores -= machine.cores
        balance.machine_count -= 1
        moved_ids.add(machine.machine_id)
        moves.append(Move(machine.machine_id, standby_pool))
