"""What the connections of a process may use, from the limits of its host."""

import resource

import msgspec

_BYTES_PER_MB = 1_000_000
_FILE_DESCRIPTORS = 200
"""Descriptors for files, which sockets can't use."""

_DEFAULT_MEMORY_MB = 300
_DEFAULT_DESCRIPTORS = 4100
_CALLERS_MEMORY_DIVISOR = 4
"""The other memory is for the process itself, peers, the store and workers."""

_CONNECTION_BYTES = 24 * 1024
"""Memory of an open connection, the kernel's receive buffer included."""

_READ_AHEAD_BYTES = 128 * 1024
_CALLERS_SOCKETS_DIVISOR = 2
_OPERATORS_SOCKETS_DIVISOR = 8
_MAX_OPERATORS_CONNECTIONS = 64
_OPERATORS_BYTES_DIVISOR = 4
_MIN_CONNECTIONS = 8
_MIN_BYTES = 4 * 1024 * 1024


class PortLimits(msgspec.Struct, frozen=True):
    """What the connections of one port may use.

    Attributes:
        max_connections: Open connections.
        max_bytes: Bytes of requests that are not answered yet.
    """

    max_connections: int
    max_bytes: int


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
        callers_bytes = self._callers_bytes()
        by_memory = callers_bytes // 2 // _CONNECTION_BYTES
        by_descriptors = self._sockets() // _CALLERS_SOCKETS_DIVISOR
        return PortLimits(
            max(_MIN_CONNECTIONS, min(by_memory, by_descriptors)),
            max(_MIN_BYTES, callers_bytes // 2),
        )

    def for_operators(self) -> PortLimits:
        """Returns the limits of a port for operators or the balancer."""
        connections = self._sockets() // _OPERATORS_SOCKETS_DIVISOR
        connections = min(_MAX_OPERATORS_CONNECTIONS, connections)
        operators_bytes = self._callers_bytes() // 2 // _OPERATORS_BYTES_DIVISOR
        return PortLimits(
            max(_MIN_CONNECTIONS, connections), max(_MIN_BYTES, operators_bytes)
        )

    def _callers_bytes(self) -> int:
        memory_mb = self.memory_mb or _DEFAULT_MEMORY_MB
        return memory_mb * _BYTES_PER_MB // _CALLERS_MEMORY_DIVISOR

    def _sockets(self) -> int:
        descriptors = self.max_descriptors or _DEFAULT_DESCRIPTORS
        allowed, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if allowed != resource.RLIM_INFINITY:
            descriptors = min(descriptors, allowed)
        return max(0, descriptors - _FILE_DESCRIPTORS)
