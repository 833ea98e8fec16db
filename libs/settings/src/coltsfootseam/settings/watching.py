"""Detects changes of a file, and loads changed settings."""

import os
from collections.abc import Callable
from typing import Generic, TypeVar

from coltsfootseam.results import Refusal

T = TypeVar("T")


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


class Reloader(Generic[T]):
    """Loads a settings file again once it has changed."""

    __slots__ = ("_load", "_log", "_path", "_settings", "_watch")

    def __init__(
        self,
        path: str,
        settings: T,
        load: Callable[[str], T | Refusal],
        log: Callable[..., None],
    ) -> None:
        """Creates a reloader.

        Args:
            path: Path of the file.
            settings: The settings in force.
            load: Loads the file, or returns why it can't be used.
            log: Writes a line with an event and its fields.
        """
        self._path = path
        self._settings = settings
        self._load = load
        self._log = log
        self._watch = FileWatch(path)

    def apply(self, settings: T) -> None:
        """Applies what may change at run time."""
        raise NotImplementedError

    def reload_if_changed(self) -> None:
        """Loads the file again if it has changed."""
        if self._watch.has_changed():
            self.reload()

    def reload(self) -> None:
        """Loads the file again and applies it."""
        new = self._load(self._path)
        if isinstance(new, Refusal):
            self._log("settings.refused", why=new.reason)
            return
        self.apply(new)
        self._log("settings.reloaded", changed=new != self._settings)
        self._settings = new


def _signature(path: str) -> tuple[int, int, int] | None:
    """Returns values that differ after a change, ``None`` without a file."""
    try:
        status = os.stat(path)
    except OSError:
        # A file that is being replaced is missing for a moment.
        return None
    return status.st_mtime_ns, status.st_size, status.st_ino
