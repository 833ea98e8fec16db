"""Registry of the mechanisms that can be switched off."""

from collections.abc import Callable
from typing import Any

_switches_by_name: dict[str, Callable[[], None]] = {}


def switch(name: str) -> Callable[[Callable[[], None]], Callable[[], None]]:
    """Registers the decorated function, which disables a mechanism."""

    def register(disable: Callable[[], None]) -> Callable[[], None]:
        assert name not in _switches_by_name, name
        _switches_by_name[name] = disable
        return disable

    return register


def switch_names() -> list[str]:
    """Returns the names of the switches registered so far."""
    return sorted(_switches_by_name)


def switch_off(name: str) -> None:
    """Disables a mechanism for the whole process.

    Raises:
        KeyError: If there is no switch with that name.
    """
    _switches_by_name[name]()


def replace(owner: Any, name: str, value: Any) -> None:
    """Replaces an attribute of a class or module for the whole process."""
    assert hasattr(owner, name), (owner, name)
    setattr(owner, name, value)
