"""Workers: their registration, leases, heartbeats and orders."""

from coltsfootseam.workers.advice import AdviceCalls, AdviceDecision, Ticket
from coltsfootseam.workers.lease import (
    LeaseAuthority,
    WorkerLease,
    max_lease_duration_s,
)
from coltsfootseam.workers.link import MAX_CALL_DELAY_S, WorkerLink
from coltsfootseam.workers.machines import (
    Holder,
    Machine,
    MachineCalls,
    MachineOutcome,
    MachineState,
)
from coltsfootseam.workers.messages import (
    EndedRun,
    HeartbeatReply,
    HeartbeatRequest,
    OrderOutcome,
    OrderReply,
    PaceOrder,
    RunningRun,
    StartOrder,
    StopOrder,
    WorkerEntry,
    instance_of,
    started_ms_of,
    worker_incarnation_id,
)
from coltsfootseam.workers.port import WorkerCalls
from coltsfootseam.workers.repeated_heartbeats import send_until_answered

__all__ = [
    "MAX_CALL_DELAY_S",
    "AdviceCalls",
    "AdviceDecision",
    "EndedRun",
    "HeartbeatReply",
    "HeartbeatRequest",
    "Holder",
    "LeaseAuthority",
    "Machine",
    "MachineCalls",
    "MachineOutcome",
    "MachineState",
    "OrderOutcome",
    "OrderReply",
    "PaceOrder",
    "RunningRun",
    "StartOrder",
    "StopOrder",
    "Ticket",
    "WorkerCalls",
    "WorkerEntry",
    "WorkerLease",
    "WorkerLink",
    "instance_of",
    "max_lease_duration_s",
    "send_until_answered",
    "started_ms_of",
    "worker_incarnation_id",
]
