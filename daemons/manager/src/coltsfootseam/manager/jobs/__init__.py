"""Accepting callers' jobs and storing them."""
