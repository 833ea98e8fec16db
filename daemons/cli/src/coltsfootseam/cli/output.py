"""Prints results and ends the process with an exit code."""

import sys
from collections.abc import Sequence
from typing import Any, NoReturn

import msgspec

from coltsfootseam.results import Refusal, ResultCode

_COLUMN_GAP = "  "


def finish(code: ResultCode | int) -> NoReturn:
    """Ends the process with a result code as its exit code."""
    sys.stdout.flush()
    sys.exit(int(code))


def fail(refusal: Refusal) -> NoReturn:
    """Prints a refusal and ends the process with its code."""
    print(f"{refusal.code.name}: {refusal.reason}", file=sys.stderr)
    finish(refusal.code)


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value)).decode())


def print_table(
    header: Sequence[str], rows: Sequence[Sequence[object]]
) -> None:
    """Prints rows under a header, with aligned columns."""
    texts = [list(header)] + [[str(cell) for cell in row] for row in rows]
    widths = [
        max(len(line[index]) for line in texts) for index in range(len(header))
    ]
    for line in texts:
        cells = [
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ]
        print(_COLUMN_GAP.join(cells).rstrip())
