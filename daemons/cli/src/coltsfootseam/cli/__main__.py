"""Runs the command line as a module."""

from coltsfootseam.cli.main import main

main()
