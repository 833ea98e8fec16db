"""A log of decisions, one JSON line each, bounded in volume.

Writing never blocks: lines are buffered up to a limit and stay in the buffer
while the pipe is full. Lines beyond the limit are dropped and counted.

The subject of a line is the first word of its event. A few lines per second
are reserved for each subject, so that thousands of lines about jobs never
displace one about a duty.
"""

import os
from collections import Counter, deque

import msgspec

from coltsfootseam.timers import TimerService

_FLUSH_PERIOD_S = 0.1
_SHARED_BUFFER_LINES = 1500
"""Buffer size beyond which only reserved lines are accepted."""
_MAX_LINES_PER_S = 400
_RESERVED_LINES_PER_S = 20
"""Lines of each subject that count as reserved in a second."""
_MAX_BUFFERED_LINES = 2000
_MAX_WRITE_BYTES = 32_768


class DecisionLog:
    """Writes the decisions of one process as JSON lines.

    Attributes:
        dropped: Number of lines dropped since the start.
    """

    __slots__ = (
        "_current_second",
        "_fd",
        "_lines",
        "_lines_by_subject",
        "_lines_in_second",
        "_process",
        "_timers",
        "_unwritten",
        "dropped",
    )

    def __init__(
        self, timers: TimerService, process: str, fd: int | None = None
    ) -> None:
        """Creates a log that flushes itself periodically.

        Args:
            timers: Time.
            process: Name of the process, written on every line.
            fd: Descriptor to write to, which is made non-blocking; ``None``
                keeps the lines in the buffer.
        """
        self._timers = timers
        self._process = process
        self._fd = fd
        self._lines: deque[bytes] = deque()
        self._unwritten = b""
        self._current_second = 0
        self._lines_in_second = 0
        self._lines_by_subject: Counter[str] = Counter()
        self.dropped = 0
        if fd is not None:
            os.set_blocking(fd, False)
            timers.subscribe(_FLUSH_PERIOD_S, self.flush)

    def write(self, event: str, **fields: object) -> None:
        """Writes a line: the decision, its inputs and its outcome."""
        if not self._admit(event.partition(".")[0]):
            self.dropped += 1
            return
        line = {
            "time_ms": self._timers.wall_ms(),
            "process": self._process,
            "event": event,
            **fields,
        }
        self._lines.append(msgspec.json.encode(line, enc_hook=str) + b"\n")

    def _admit(self, subject: str) -> bool:
        second = int(self._timers.now_s())
        if second != self._current_second:
            self._current_second = second
            self._lines_in_second = 0
            self._lines_by_subject.clear()
        self._lines_in_second += 1
        self._lines_by_subject[subject] += 1
        buffered = len(self._lines)
        if self._lines_by_subject[subject] <= _RESERVED_LINES_PER_S:
            return buffered < _MAX_BUFFERED_LINES
        is_full = buffered >= _SHARED_BUFFER_LINES
        return not is_full and self._lines_in_second <= _MAX_LINES_PER_S

    def flush(self) -> None:
        """Writes as much as the pipe accepts without blocking."""
        if self._fd is None:
            return
        while self._unwritten or self._lines:
            chunk = self._next_chunk()
            try:
                written = os.write(self._fd, chunk)
            except BlockingIOError:
                self._unwritten = chunk
                return
            except OSError:
                # The reader is gone. Losing lines must not fail the process.
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = chunk[written:]

    def buffered_count(self) -> int:
        """Returns the number of lines in the buffer."""
        return len(self._lines)

    def _next_chunk(self) -> bytes:
        parts = [self._unwritten]
        size = len(self._unwritten)
        while self._lines and size < _MAX_WRITE_BYTES:
            line = self._lines.popleft()
            parts.append(line)
            size += len(line)
        self._unwritten = b""
        return b"".join(parts)
