"""Handlers that fold records, one module for each part of the state."""
