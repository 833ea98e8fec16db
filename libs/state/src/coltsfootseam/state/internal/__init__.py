"""Handlers of the fold, one module for each part of the state."""
