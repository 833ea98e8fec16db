"""Owning the fleet: moves and maintenance of its machines."""
