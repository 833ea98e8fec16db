"""Log lines in JSON, one object each."""

import sys
from typing import TYPE_CHECKING, TextIO

import msgspec
from loguru import logger

if TYPE_CHECKING:
    import loguru


class _Line(msgspec.Struct):
    time: str
    level: str
    process: str
    message: str
    fields: dict[str, object]


def configure_logs(
    process: str, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Writes the log lines of this process to ``stream`` as JSON.

    Args:
        process: Name of the process, written on every line.
        level: Lowest level that is written, for example ``INFO``.
        stream: Where to write; standard error if not given.
    """
    target = sys.stderr if stream is None else stream

    def write(message: "loguru.Message") -> None:
        record = message.record
        text = record["message"]
        if record["exception"] is not None:
            text = f"{text}: {record['exception'].value!r}"
        line = _Line(
            time=record["time"].isoformat(),
            level=record["level"].name,
            process=process,
            message=text,
            fields=dict(record["extra"]),
        )
        target.write(msgspec.json.encode(line).decode() + "\n")
        target.flush()

    logger.remove()
    logger.add(write, level=level)
