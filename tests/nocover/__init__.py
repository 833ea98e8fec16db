"""Slow tests, most of them with real processes."""
