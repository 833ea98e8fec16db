"""A timer service with a real and a virtual clock."""

from coltsfootseam.timers.loop import LoopTimers
from coltsfootseam.timers.service import (
    Callback,
    Subscription,
    TimerService,
)
from coltsfootseam.timers.timeouts import run_with_timeout
from coltsfootseam.timers.virtual import VirtualTimers

__all__ = [
    "Callback",
    "LoopTimers",
    "Subscription",
    "TimerService",
    "VirtualTimers",
    "run_with_timeout",
]
