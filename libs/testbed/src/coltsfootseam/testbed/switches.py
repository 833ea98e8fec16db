"""Mechanisms that can be switched off to prove that their tests fail.

A test shows that a mechanism works only if it fails without the mechanism.
Each switch disables one mechanism in a process that runs the product's code.
The environment variable ``COLTSFOOTSEAM_SWITCHED_OFF`` names the switch.
"""

import os

from coltsfootseam.testbed import entry_switches, manager_switches
from coltsfootseam.testbed.switchboard import switch_names, switch_off

VARIABLE = "COLTSFOOTSEAM_SWITCHED_OFF"

_MODULES = (entry_switches, manager_switches)
"""Modules that register their switches when they are imported."""


def registered_switches() -> list[str]:
    """Returns the names of all switches."""
    return switch_names()


def apply_switch_from_environment() -> None:
    """Disables the mechanism that the environment names, if any.

    Raises:
        KeyError: If there is no switch with that name.
    """
    name = os.environ.get(VARIABLE)
    if name:
        switch_off(name)
