"""Detects changes of a file."""

import os


class FileWatch:
    """Detects whether a file has changed since the last check."""

    __slots__ = ("_last_signature", "_path")

    def __init__(self, path: str) -> None:
        self._path = path
        self._last_signature = _signature(path)

    def has_changed(self) -> bool:
        """Whether the file has changed; each change is reported once."""
        signature = _signature(self._path)
        if signature == self._last_signature:
            return False
        self._last_signature = signature
        return True


def _signature(path: str) -> tuple[int, int, int] | None:
    """Returns values that differ after a change, ``None`` without a file."""
    try:
        status = os.stat(path)
    except OSError:
        # A file that is being replaced is missing for a moment.
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
