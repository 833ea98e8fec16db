"""Slow tests with real processes."""
