"""Finds where requests end, so that no byte behind one is handed on early.

The HTTP library parses requests. It is given the head of a request, then its
body, and nothing behind them until the request is answered. What a client sends
ahead stays in a small buffer and then in the kernel.
"""

import enum
import re

_HEAD_END = re.compile(rb"\n\r?\n")
_LINE_ENDS = b"\r\n"
_UPGRADE_LINE = re.compile(rb"\nupgrade[ \t]*:[^\n]*", re.IGNORECASE)
_CHUNKED_END = b"\r\n\r\n"
_METHOD_START = re.compile(rb"[A-Za-z]")
_CHUNK_BYTES = 64
"""Memory of a chunk in the HTTP library, besides its content."""


class Phase(enum.Enum):
    """What is to come on a connection."""

    HEAD = enum.auto()
    """The head of a request, or empty lines before it."""
    PARSED = enum.auto()
    """Nothing, until the library has parsed the head."""
    SIZED_BODY = enum.auto()
    CHUNKED_BODY = enum.auto()
    COMPLETE = enum.auto()
    """Nothing, until the request is answered."""


class Framing:
    """The part of a connection's input that is not handed on yet.

    Attributes:
        phase: What is to come.
        pending: Received bytes that are not handed on.
        received: Bytes of the current request, with empty lines before it.
    """

    __slots__ = ("_left", "_tail", "pending", "phase", "received")

    def __init__(self) -> None:
        self.phase = Phase.HEAD
        self.pending = bytearray()
        self.received = 0
        self._left = 0
        self._tail = b""

    def find_head(self) -> int | None:
        """Returns the size of the next head, ``None`` if it isn't complete.

        Drops empty lines before it. What isn't HTTP counts as a head; the
        library refuses it.
        """
        stripped = self.pending.lstrip(_LINE_ENDS)
        self.received += len(self.pending) - len(stripped)
        self.pending = stripped
        match = _HEAD_END.search(stripped)
        if match is not None:
            return match.end()
        if stripped and not _METHOD_START.match(stripped):
            return 1
        return None

    def take_head(self, size: int) -> bytes:
        """Returns the next head, which ends after so many bytes.

        Fields that ask for another protocol are left out: no such protocol is
        spoken here, and a server may ignore them.
        """
        head = self._take(size)
        self.received += size
        self.phase = Phase.PARSED
        return _UPGRADE_LINE.sub(b"", head)

    def expect_sized_body(self, size: int) -> None:
        """Expects a body of so many bytes."""
        self._left = size
        self.phase = Phase.SIZED_BODY if size else Phase.COMPLETE

    def expect_chunked_body(self) -> None:
        """Expects a body in chunks."""
        self._tail = b""
        self.phase = Phase.CHUNKED_BODY

    def take_body(self, max_bytes: int) -> bytes:
        """Returns the next part of the body.

        A body in chunks can only end where a part ends. The caller finds out
        and calls ``end_body``.
        """
        if self.phase is Phase.SIZED_BODY:
            part = self._take(min(max_bytes, self._left))
            self._left -= len(part)
            if not self._left:
                self.phase = Phase.COMPLETE
        else:
            part = self._take(self._possible_end(max_bytes))
            self._tail = (self._tail + part)[-len(_CHUNKED_END) + 1 :]
        self.received += len(part)
        return part

    def end_body(self) -> None:
        """Expects nothing more of the body."""
        self.phase = Phase.COMPLETE

    def end_request(self) -> None:
        """Expects the next request."""
        self.phase = Phase.HEAD
        self.received = 0

    def _possible_end(self, max_bytes: int) -> int:
        """Returns after how many pending bytes a body in chunks may end."""
        window = self._tail + bytes(self.pending[:max_bytes])
        found = window.find(_CHUNKED_END)
        if found < 0:
            return min(max_bytes, len(self.pending))
        return found + len(_CHUNKED_END) - len(self._tail)

    def _take(self, count: int) -> bytes:
        part = bytes(self.pending[:count])
        del self.pending[:count]
        return part


def memory_of_chunks(part: bytes) -> int:
    """Returns the memory that a part of a body in chunks may take at most."""
    return len(part) + _CHUNK_BYTES * (part.count(_LINE_ENDS) // 2 + 1)
