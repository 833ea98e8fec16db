"""The log of the HTTP library, which clients must not be able to fill."""

import logging

from aiohttp.http import HttpProcessingError

_MAX_LINES_PER_S = 5


class _LogFilter(logging.Filter):
    """Leaves out what clients cause, and most of what repeats."""

    def __init__(self) -> None:
        super().__init__()
        self._second = 0
        self._count = 0

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether a record is logged."""
        if record.exc_info and isinstance(
            record.exc_info[1], HttpProcessingError
        ):
            return False
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._count = 0
        self._count += 1
        return self._count <= _MAX_LINES_PER_S


def bounded_logger() -> logging.Logger:
    """Returns the logger that is passed to the HTTP library."""
    logger = logging.getLogger("coltsfootseam.connections")
    if not logger.filters:
        logger.addFilter(_LogFilter())
    return logger
