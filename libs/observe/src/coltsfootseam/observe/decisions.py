"""Lines on standard output, one for each decision, bounded in volume.

Writing never blocks: lines wait in a bounded buffer, what a full pipe does not
take stays there, and what finds no place is counted and reported. The subject
of a line is the first word of its event. The first lines of each subject in a
second find a place even when lines of another subject have used the limit up,
so that thousands of lines about jobs never displace one about a duty.
"""

import os
from collections import Counter, deque

import msgspec

from coltsfootseam.timers import TimerService

_FLUSH_PERIOD_S = 0.1
_SHARED_BUFFER_LINES = 1500
_MAX_LINES_PER_S = 400
_RESERVED_LINES_PER_S = 20
_MAX_BUFFERED_LINES = 2000
_MAX_WRITE_BYTES = 32_768


class DecisionLog:
    """Writes structured lines of one process.

    Attributes:
        dropped: Lines that found no place since the start.
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
        """Makes a log that is not flushed yet.

        Args:
            timers: Time.
            process: Name of the process, written on every line.
            fd: Where lines go, which is made non-blocking; ``None`` keeps
                them in the buffer.
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
        """Writes a line: what was decided, on which inputs, the outcome."""
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
        waiting = len(self._lines)
        if self._lines_by_subject[subject] <= _RESERVED_LINES_PER_S:
            return waiting < _MAX_BUFFERED_LINES
        is_full = waiting >= _SHARED_BUFFER_LINES
        return not is_full and self._lines_in_second <= _MAX_LINES_PER_S

    def flush(self) -> None:
        """Writes as much as the reader takes without waiting."""
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
                # Nobody reads any more; the lines are lost, the work is not.
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = chunk[written:]

    def buffered_count(self) -> int:
        """Returns how many lines wait in the buffer."""
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
