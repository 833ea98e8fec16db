"""Rows of benchmark results, written as JSON and printed as a table."""

import pathlib

import msgspec


class Row(msgspec.Struct, frozen=True):
    """One figure.

    Attributes:
        case: The case that was measured.
        metric: Name of the figure.
        unit: Unit of the value.
        value: The measured value.
        baseline: The value to compare with, if there is one.
        ratio: Value divided by baseline, if there is a baseline.
    """

    case: str
    metric: str
    unit: str
    value: float
    baseline: float | None = None
    ratio: float | None = None


def make_row(
    case: str,
    metric: str,
    unit: str,
    value: float,
    baseline: float | None = None,
) -> Row:
    """Returns a row with its ratio computed."""
    ratio = value / baseline if baseline else None
    return Row(case, metric, unit, value, baseline, ratio)


def write_rows(path: str, rows: list[Row]) -> None:
    """Writes rows to a file as indented JSON."""
    target = pathlib.Path(path)
    target.parent.mkdir(parents=True, exist_ok=True)
    target.write_bytes(msgspec.json.format(msgspec.json.encode(rows)) + b"\n")


def print_rows(rows: list[Row]) -> None:
    """Prints rows as a table."""
    for row in rows:
        ratio = "" if row.ratio is None else f"x{row.ratio:.2f}"
        baseline = "" if row.baseline is None else f"{row.baseline:.3f}"
        print(
            f"{row.case:<34} {row.metric:<26} {row.value:>12.3f} "
            f"{row.unit:<8} {baseline:>12} {ratio}"
        )
