"""Typed calls between the processes."""

from coltsfootseam.calls.client import CallClients, calling
from coltsfootseam.calls.messages import (
    JobQuestion,
    JobReply,
    OwnerQuestion,
    OwnerReply,
    PendingQuestion,
    PendingReply,
    ReachQuestion,
    ReachReply,
    RelayReply,
    RelayRequest,
    VacateReply,
    VacateRequest,
)
from coltsfootseam.calls.service import (
    ASK_JOB,
    ASK_OWNER,
    ASK_PENDING,
    ASK_REACH,
    RELAY,
    VACATE,
    Handler,
    Method,
    serving_calls,
)

__all__ = [
    "ASK_JOB",
    "ASK_OWNER",
    "ASK_PENDING",
    "ASK_REACH",
    "RELAY",
    "VACATE",
    "CallClients",
    "Handler",
    "JobQuestion",
    "JobReply",
    "Method",
    "OwnerQuestion",
    "OwnerReply",
    "PendingQuestion",
    "PendingReply",
    "ReachQuestion",
    "ReachReply",
    "RelayReply",
    "RelayRequest",
    "VacateReply",
    "VacateRequest",
    "calling",
    "serving_calls",
]
