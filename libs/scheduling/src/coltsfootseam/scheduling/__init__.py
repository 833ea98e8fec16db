"""What runs where and when: decisions over snapshots, without a network."""

from coltsfootseam.scheduling.copies import (
    SlowRun,
    copy_rule,
    copy_rule_named,
    find_single_runs,
    plan_copies,
)
from coltsfootseam.scheduling.demand import (
    DemandHistory,
    MachineSupply,
    Move,
    PoolDemand,
    PoolRules,
    plan_moves,
    spare_counts,
)
from coltsfootseam.scheduling.health import WorkerHealth
from coltsfootseam.scheduling.ordering import (
    ReadyStep,
    chain_s,
    job_order,
    job_order_named,
)
from coltsfootseam.scheduling.pacing import PaceChange, plan_pace
from coltsfootseam.scheduling.placement import (
    Placement,
    Plan,
    Shortage,
    plan_starts,
)
from coltsfootseam.scheduling.preemption import Claim, plan_preemption
from coltsfootseam.scheduling.rooms import Room, StepKey, step_key
from coltsfootseam.scheduling.stalls import find_stalled
from coltsfootseam.scheduling.upkeep import (
    DueMachine,
    WaveProgress,
    choose_maintenance,
)

__all__ = [
    "Claim",
    "DemandHistory",
    "DueMachine",
    "MachineSupply",
    "Move",
    "PaceChange",
    "Placement",
    "Plan",
    "PoolDemand",
    "PoolRules",
    "ReadyStep",
    "Room",
    "Shortage",
    "SlowRun",
    "StepKey",
    "WaveProgress",
    "WorkerHealth",
    "chain_s",
    "choose_maintenance",
    "copy_rule",
    "copy_rule_named",
    "find_single_runs",
    "find_stalled",
    "job_order",
    "job_order_named",
    "plan_copies",
    "plan_moves",
    "plan_pace",
    "plan_preemption",
    "plan_starts",
    "spare_counts",
    "step_key",
]
