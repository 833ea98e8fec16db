"""Set-up that all tests share."""

from coltsfootseam.testbed.switches import apply_switch_from_environment

# A mechanism is taken out only where a run asks for it, to see a test fail.
apply_switch_from_environment()
