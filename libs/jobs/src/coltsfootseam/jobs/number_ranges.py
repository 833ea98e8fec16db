"""A set of numbers that is kept as ranges."""

import bisect
from collections.abc import Iterable

NumberRange = tuple[int, int]
"""The first and the last number of a range."""


class NumberRanges:
    """A set of numbers, most of which follow each other."""

    __slots__ = ("_count", "_firsts", "_lasts")

    def __init__(self, ranges: Iterable[NumberRange] = ()) -> None:
        """Makes a set of ranges that are in order and don't overlap."""
        self._firsts: list[int] = []
        self._lasts: list[int] = []
        self._count = 0
        for first, last in ranges:
            self._firsts.append(first)
            self._lasts.append(last)
            self._count += last - first + 1

    def __len__(self) -> int:
        return self._count

    def __contains__(self, number: int) -> bool:
        index = bisect.bisect_right(self._firsts, number) - 1
        return index >= 0 and number <= self._lasts[index]

    def add(self, number: int) -> None:
        """Adds a number; does nothing if the set has it."""
        if number in self:
            return
        self._count += 1
        index = bisect.bisect_right(self._firsts, number)
        follows = index > 0 and self._lasts[index - 1] == number - 1
        precedes = (
            index < len(self._firsts) and self._firsts[index] == number + 1
        )
        if follows and precedes:
            self._lasts[index - 1] = self._lasts.pop(index)
            self._firsts.pop(index)
        elif follows:
            self._lasts[index - 1] = number
        elif precedes:
            self._firsts[index] = number
        else:
            self._firsts.insert(index, number)
            self._lasts.insert(index, number)

    def first_missing(self, number: int) -> int:
        """Returns the lowest number from ``number`` on that isn't in it."""
        index = bisect.bisect_right(self._firsts, number) - 1
        if index >= 0 and number <= self._lasts[index]:
            return self._lasts[index] + 1
        return number

    def ranges(self) -> list[NumberRange]:
        """Returns the ranges, in order."""
        return list(zip(self._firsts, self._lasts, strict=True))
