"""Scheduling decisions over snapshots, without network access."""

from coltsfootseam.scheduling.contract_rate import BURST_S, ContractRates
from coltsfootseam.scheduling.crash_rate import CrashRate
from coltsfootseam.scheduling.crashes import (
    CrashAssessment,
    assess_crash,
    crashes_late,
    find_unproven,
    is_cleared,
    is_confirmed,
    is_proven,
)
from coltsfootseam.scheduling.demand import (
    NEED_RULES,
    DemandHistory,
    IdleTimes,
    MachineSupply,
    Move,
    NeedRule,
    PoolDemand,
    PoolRules,
    plan_moves,
    surplus_counts,
)
from coltsfootseam.scheduling.fits import FITS
from coltsfootseam.scheduling.health import WorkerHealth
from coltsfootseam.scheduling.isolation import (
    IsolationPlan,
    max_isolating_workers,
    plan_isolated_starts,
)
from coltsfootseam.scheduling.limits import NO_LIMITS, NoLimits, StartLimits
from coltsfootseam.scheduling.maintenance import (
    DueMachine,
    WaveProgress,
    choose_maintenance,
)
from coltsfootseam.scheduling.occupancy import (
    Occupancy,
    WorkerSize,
    typical_size,
)
from coltsfootseam.scheduling.ordering import (
    JOB_ORDERS,
    ReadyStep,
    ServiceClass,
    critical_path_s,
)
from coltsfootseam.scheduling.pacing import PaceChange, plan_pace
from coltsfootseam.scheduling.placement import Plan, Shortage, plan_starts
from coltsfootseam.scheduling.policies import Policies, find_problem
from coltsfootseam.scheduling.preemption import ResourceClaim, plan_preemption
from coltsfootseam.scheduling.shares import (
    SHARE_RULES,
    PoolShares,
    ShareRule,
)
from coltsfootseam.scheduling.speculation import (
    SPECULATION_RULES,
    SlowRun,
    find_slow_runs,
    plan_speculative_copies,
)
from coltsfootseam.scheduling.stalls import find_stalled
from coltsfootseam.scheduling.step_placement import Placement
from coltsfootseam.scheduling.worker_capacity import (
    StepKey,
    WorkerCapacity,
    fits_beside,
    step_key,
)

__all__ = [
    "BURST_S",
    "FITS",
    "JOB_ORDERS",
    "NEED_RULES",
    "NO_LIMITS",
    "SHARE_RULES",
    "SPECULATION_RULES",
    "ContractRates",
    "CrashAssessment",
    "CrashRate",
    "DemandHistory",
    "DueMachine",
    "IdleTimes",
    "IsolationPlan",
    "MachineSupply",
    "Move",
    "NeedRule",
    "NoLimits",
    "Occupancy",
    "PaceChange",
    "Placement",
    "Plan",
    "Policies",
    "PoolDemand",
    "PoolRules",
    "PoolShares",
    "ReadyStep",
    "ResourceClaim",
    "ServiceClass",
    "ShareRule",
    "Shortage",
    "SlowRun",
    "StartLimits",
    "StepKey",
    "WaveProgress",
    "WorkerCapacity",
    "WorkerHealth",
    "WorkerSize",
    "assess_crash",
    "choose_maintenance",
    "crashes_late",
    "critical_path_s",
    "find_problem",
    "find_slow_runs",
    "find_stalled",
    "find_unproven",
    "fits_beside",
    "is_cleared",
    "is_confirmed",
    "is_proven",
    "max_isolating_workers",
    "plan_isolated_starts",
    "plan_moves",
    "plan_pace",
    "plan_preemption",
    "plan_speculative_copies",
    "plan_starts",
    "step_key",
    "surplus_counts",
    "typical_size",
]
