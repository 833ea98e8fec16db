"""Look-up of the dispatch strategies of this library."""

from coltsfootseam.routing.dispatch import (
    DispatcherFactory,
    registered_factories,
)
from coltsfootseam.routing.internal import granted, local

_MODULES = (granted, local)
"""Modules that register their dispatch strategies on import."""


def registered_dispatchers() -> list[str]:
    """Returns the names of all dispatch strategies."""
    return sorted(registered_factories())


def find_dispatcher(name: str) -> DispatcherFactory | None:
    """Returns a dispatch strategy by name, ``None`` if there is none."""
    return registered_factories().get(name)
