"""All ways of dispatch that this library brings, by name."""

from coltsfootseam.routing.dispatch import (
    DispatcherFactory,
    registered_factories,
)
from coltsfootseam.routing.internal import granted, local

_MODULES = (granted, local)
"""Modules that register their ways of dispatch when they are imported."""


def registered_dispatchers() -> list[str]:
    """Returns the names of all ways of dispatch."""
    return sorted(registered_factories())


def find_dispatcher(name: str) -> DispatcherFactory | None:
    """Returns the way of dispatch with a name, ``None`` if there is none."""
    return registered_factories().get(name)
