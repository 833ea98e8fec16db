"""Command line without the mechanism that the environment switches off."""

from coltsfootseam.cli import main
from coltsfootseam.testbed.switches import apply_switch_from_environment

if __name__ == "__main__":
    apply_switch_from_environment()
    main()
