"""Where mechanisms register that can be switched off."""

from collections.abc import Callable
from typing import Any

_switches_by_name: dict[str, Callable[[], None]] = {}


def switch(name: str) -> Callable[[Callable[[], None]], Callable[[], None]]:
    """Registers what takes a mechanism out."""

    def register(take_out: Callable[[], None]) -> Callable[[], None]:
        assert name not in _switches_by_name, name
        _switches_by_name[name] = take_out
        return take_out

    return register


def switch_names() -> list[str]:
    """Returns the names of the switches registered so far."""
    return sorted(_switches_by_name)


def switch_off(name: str) -> None:
    """Takes a mechanism out.

    Raises:
        KeyError: If there is no switch with that name.
    """
    _switches_by_name[name]()


def replace(owner: Any, name: str, value: Any) -> None:
    """Replaces a function of a class or module for the whole process."""
    assert hasattr(owner, name), (owner, name)
    setattr(owner, name, value)
