"""Owning a pool: its state, its planning rounds and its records."""
