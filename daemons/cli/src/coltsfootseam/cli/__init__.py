"""The command line of operators."""

from coltsfootseam.cli.main import main

__all__ = ["main"]
