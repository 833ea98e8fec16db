"""Registries of policies by name, filled by decorators."""

from collections.abc import Callable
from typing import Generic, TypeVar

T = TypeVar("T")


class Registry(Generic[T]):
    """The policies of one kind, by name."""

    __slots__ = ("_kind", "_policies_by_name")

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._policies_by_name: dict[str, T] = {}

    def register(self, name: str) -> Callable[[T], T]:
        """Returns a decorator that registers a policy."""

        def add(policy: T) -> T:
            assert name not in self._policies_by_name, name
            self._policies_by_name[name] = policy
            return policy

        return add

    def names(self) -> list[str]:
        """Returns the names of all policies."""
        return sorted(self._policies_by_name)

    def lookup(self, name: str) -> T:
        """Returns a policy.

        Raises:
            ValueError: If no policy has that name.
        """
        if name not in self._policies_by_name:
            known = ", ".join(self.names())
            raise ValueError(f"unknown {self._kind} {name!r}; known: {known}")
        return self._policies_by_name[name]
