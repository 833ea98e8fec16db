"""Machinery of the connections."""
