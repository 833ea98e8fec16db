"""The transport that the HTTP library gets for a connection."""

import asyncio
from collections.abc import Iterable
from typing import Any, Protocol


class ChannelOwner(Protocol):
    """The connection that a channel belongs to."""

    def set_http_paused(self, is_paused: bool) -> None:
        """Records whether the HTTP library takes input now."""
        ...

    def set_closing(self) -> None:
        """Records that the connection closes when its output was read."""
        ...


class Channel(asyncio.Transport):
    """Passes output on to the transport; input comes through its owner.

    Attributes:
        owner: The connection.
    """

    def __init__(
        self, owner: ChannelOwner, transport: asyncio.Transport
    ) -> None:
        super().__init__()
        self.owner = owner
        self._transport = transport

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Returns information about the socket."""
        return self._transport.get_extra_info(name, default)

    def pause_reading(self) -> None:
        """Stops the input of the HTTP library."""
        self.owner.set_http_paused(True)

    def resume_reading(self) -> None:
        """Resumes the input of the HTTP library."""
        self.owner.set_http_paused(False)

    def is_closing(self) -> bool:
        """Returns whether the connection is closing or closed."""
        return self._transport.is_closing()

    def close(self) -> None:
        """Closes the connection when the output was read."""
        self._transport.close()
        self.owner.set_closing()

    def abort(self) -> None:
        """Closes the connection at once."""
        self._transport.abort()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Writes output."""
        self._transport.write(data)

    def writelines(
        self, list_of_data: Iterable[bytes | bytearray | memoryview]
    ) -> None:
        """Writes output in several parts."""
        self._transport.writelines(list_of_data)

    def can_write_eof(self) -> bool:
        """Returns whether ``write_eof`` is supported."""
        return self._transport.can_write_eof()

    def write_eof(self) -> None:
        """Closes the connection's output."""
        self._transport.write_eof()

    def get_write_buffer_size(self) -> int:
        """Returns how many bytes of output wait to be sent."""
        return self._transport.get_write_buffer_size()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Sets from how many waiting bytes on output is paused."""
        self._transport.set_write_buffer_limits(high, low)
