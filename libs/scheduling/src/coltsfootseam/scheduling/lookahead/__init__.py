"""Looks ahead at what waits and at what ends soon, to place large steps."""

from coltsfootseam.scheduling.lookahead.estimates import (
    EstimateRatios,
    RatioSpread,
)
from coltsfootseam.scheduling.lookahead.planning_round import LookAheadRound
from coltsfootseam.scheduling.lookahead.releases import (
    Release,
    Span,
    expect_rest,
)
from coltsfootseam.scheduling.lookahead.reservations import (
    Change,
    Reservation,
    ReservationBook,
    ReservationChange,
)
from coltsfootseam.scheduling.lookahead.rules import (
    LOOK_AHEAD_RULES,
    LookAheadRule,
)
from coltsfootseam.scheduling.lookahead.updates import RoundView

__all__ = [
    "LOOK_AHEAD_RULES",
    "Change",
    "EstimateRatios",
    "LookAheadRound",
    "LookAheadRule",
    "RatioSpread",
    "Release",
    "Reservation",
    "ReservationBook",
    "ReservationChange",
    "RoundView",
    "Span",
    "expect_rest",
]
