"""The command line with the mechanism taken out that the environment names."""

from coltsfootseam.cli import main
from coltsfootseam.testbed.switches import apply_switch_from_environment

if __name__ == "__main__":
    apply_switch_from_environment()
    main()
