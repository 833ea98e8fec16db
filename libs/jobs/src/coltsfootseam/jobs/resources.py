"""Amounts of the resources that tasks request and quotas limit."""

from __future__ import annotations

import msgspec


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """Processor, memory and accelerators.

    Attributes:
        cpu_millis: Processor, in thousandths of a core.
        memory_mb: Memory, in MB.
        accelerators: Number of accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def plus(self, other: Resources) -> Resources:
        """Returns the sum of both."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: Resources) -> Resources:
        """Returns the difference, which may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def times(self, count: int) -> Resources:
        """Returns ``count`` times the amounts."""
        return Resources(
            self.cpu_millis * count,
            self.memory_mb * count,
            self.accelerators * count,
        )

    def fits_within(self, other: Resources) -> bool:
        """Returns whether no amount exceeds the other's."""
        return (
            self.cpu_millis <= other.cpu_millis
            and self.memory_mb <= other.memory_mb
            and self.accelerators <= other.accelerators
        )
