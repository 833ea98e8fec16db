"""Noticing that a file has changed."""

import os


class FileWatch:
    """Tells whether a file changed since it was last looked at."""

    __slots__ = ("_last_signature", "_path")

    def __init__(self, path: str) -> None:
        self._path = path
        self._last_signature = _signature(path)

    def has_changed(self) -> bool:
        """Looks at the file; true once for each change that is noticed."""
        seen = _signature(self._path)
        if seen == self._last_signature:
            return False
        self._last_signature = seen
        return True


def _signature(path: str) -> tuple[int, int, int] | None:
    """Returns what tells one state of a file from another."""
    try:
        status = os.stat(path)
    except OSError:
        # A file that is being replaced is missing for a moment.
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
