"""What the connections of a process may use, from the limits of its host."""

import sys

import msgspec

_READ_AHEAD_BYTES = 128 * 1024


class PortLimits(msgspec.Struct, frozen=True):
    """What the connections of one port may use.

    Attributes:
        max_connections: Open connections.
        max_bytes: Bytes of requests that are not answered yet.
    """

    max_connections: int
    max_bytes: int


_UNLIMITED = PortLimits(sys.maxsize, sys.maxsize)


class RequestLimits(msgspec.Struct, frozen=True):
    """What one request may be.

    Attributes:
        max_head_bytes: Bytes of a head, with empty lines before it.
        max_body_bytes: Bytes of a body, ``None`` for any number.
        max_held_bytes: Bytes that are held at once of a request that is passed
            on while it is received, ``None`` if all of it is held.
    """

    max_head_bytes: int = 16_384
    max_body_bytes: int | None = 1024 * 1024
    max_held_bytes: int | None = None

    @classmethod
    def for_streams(
        cls, max_head_bytes: int, buffered_bytes: int
    ) -> "RequestLimits":
        """Returns the limits of requests that are passed on.

        Args:
            max_head_bytes: Bytes of a head.
            buffered_bytes: Bytes of a body that are kept to send them again.
        """
        held_bytes = 2 * buffered_bytes + _READ_AHEAD_BYTES
        return cls(max_head_bytes, None, held_bytes)


class ProcessLimits(msgspec.Struct, frozen=True):
    """The limits of a process, and how its ports share them.

    Attributes:
        memory_mb: Memory of the process, 0 if it isn't known.
        max_descriptors: Descriptors of the process, 0 if it isn't known.
    """

    memory_mb: int = 0
    max_descriptors: int = 0

    def for_callers(self) -> PortLimits:
        """Returns the limits of the port for callers."""
        return _UNLIMITED

    def for_operators(self) -> PortLimits:
        """Returns the limits of a port for operators or the balancer."""
        return _UNLIMITED
