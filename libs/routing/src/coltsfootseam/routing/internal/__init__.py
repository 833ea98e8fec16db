"""Dispatch strategies and the state that they keep."""
