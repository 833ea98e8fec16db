"""Does the work on the input of clients, in steps."""

from typing import Protocol


class Work(Protocol):
    """Work that is done in steps."""

    def step(self) -> bool:
        """Does one step; returns whether there is more to do now."""
        ...


class LoopShare:
    """Does the steps of all connections of a process."""

    __slots__ = ()

    def submit(self, work: Work) -> None:
        """Does all steps at once."""
        while work.step():
            pass
