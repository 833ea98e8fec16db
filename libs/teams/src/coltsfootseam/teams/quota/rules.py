"""Time bounds that keep two coordinators from granting the same quota.

A coordinator grants growth until ``CONFIRMED_WITHIN_S`` after it last asked the
store to confirm its epoch, and an owner accepts a reply until
``REPLY_WITHIN_S`` after its report. So what a replaced coordinator grants is
accepted at most ``SUCCESSOR_SILENT_S`` after its successor's claim.
"""

CONFIRMED_WITHIN_S = 1.0
"""Age of the store's confirmation up to which a coordinator grants growth."""

REPLY_WITHIN_S = 0.5
"""Time after its report until which an owner accepts a reply."""

SUCCESSOR_SILENT_S = CONFIRMED_WITHIN_S + REPLY_WITHIN_S
"""Time after its claim in which a coordinator doesn't tell its epoch."""

NO_GROWTH_S = 2.0
"""Time after its claim in which a coordinator grants no growth."""
