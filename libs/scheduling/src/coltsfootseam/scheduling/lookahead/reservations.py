"""Reservations of workers for steps, kept between planning rounds."""

import enum

import msgspec

from coltsfootseam.jobs import Step
from coltsfootseam.scheduling.lookahead.releases import Span
from coltsfootseam.scheduling.occupancy import WorkerSize
from coltsfootseam.scheduling.worker_capacity import StepKey


class WorkerReservation(msgspec.Struct):
    """A worker that is reserved for tasks of a step.

    Attributes:
        worker_id: The worker.
        count: How many tasks it is reserved for.
        size: Its size when it was reserved.
        due: When the first task is expected to fit, by the latest round; in a
            gang, when all of them are.
        promised_s: Late end of that expectation when it was reserved; if it
            passes, workers are chosen anew.
    """

    worker_id: str
    count: int
    size: WorkerSize
    due: Span
    promised_s: float


class Reservation(msgspec.Struct):
    """The workers that are reserved for a step.

    Attributes:
        key: The step.
        step: Its requirements.
        since_s: When it was made or one of its tasks started last.
        by_worker: The reserved workers by id.
        lost_ids: Workers that can't be used any more.
    """

    key: StepKey
    step: Step
    since_s: float
    by_worker: dict[str, WorkerReservation] = {}
    lost_ids: list[str] = []

    def first_due(self) -> WorkerReservation | None:
        """Returns the worker on which a task is expected to start first."""
        return min(
            self.by_worker.values(),
            key=lambda item: item.due.expected_s,
            default=None,
        )

    def last_due_s(self) -> float:
        """Returns when the last of its workers is due."""
        return max(item.due.expected_s for item in self.by_worker.values())

    def task_count(self) -> int:
        """Returns how many tasks it reserves workers for."""
        return sum(item.count for item in self.by_worker.values())


class Change(enum.Enum):
    """What happened to a reservation."""

    MADE = "made"
    MOVED = "moved"
    GIVEN_UP = "given_up"
    DUE = "due"


class ReservationChange(msgspec.Struct, frozen=True):
    """A change of a step's reservation.

    Attributes:
        change: What happened.
        key: The step.
        worker_ids: The workers that are reserved afterwards.
        due: When the first task is expected to start, if it is reserved.
        lost_ids: The workers that are no longer reserved.
    """

    change: Change
    key: StepKey
    worker_ids: list[str]
    due: Span | None = None
    lost_ids: list[str] = []


class ReservationBook:
    """All reservations of a pool.

    Attributes:
        by_step: Reservations by step.
        owners_by_worker: The step that each reserved worker is for.
        retry_s_by_step: Until when a step gets no reservation after one was
            given up.
        held_since_s_by_step: Since when a reservation has held back a step
            that is ahead of it.
    """

    __slots__ = (
        "by_step",
        "held_since_s_by_step",
        "owners_by_worker",
        "retry_s_by_step",
    )

    def __init__(self) -> None:
        self.by_step: dict[StepKey, Reservation] = {}
        self.owners_by_worker: dict[str, StepKey] = {}
        self.retry_s_by_step: dict[StepKey, float] = {}
        self.held_since_s_by_step: dict[StepKey, float] = {}

    def add_worker(
        self, reservation: Reservation, worker: WorkerReservation
    ) -> None:
        """Reserves a worker for a step."""
        reservation.by_worker[worker.worker_id] = worker
        self.owners_by_worker[worker.worker_id] = reservation.key
        self.by_step[reservation.key] = reservation

    def remove_worker(self, reservation: Reservation, worker_id: str) -> None:
        """Ends the reservation of one worker."""
        del reservation.by_worker[worker_id]
        del self.owners_by_worker[worker_id]

    def remove(self, key: StepKey) -> None:
        """Ends the reservation of a step."""
        reservation = self.by_step.pop(key)
        for worker_id in reservation.by_worker:
            del self.owners_by_worker[worker_id]

    def forget_all_but(self, keys: set[StepKey]) -> None:
        """Drops what concerns steps that no longer wait."""
        for key in [key for key in self.by_step if key not in keys]:
            self.remove(key)
        for times in (self.retry_s_by_step, self.held_since_s_by_step):
            for key in [key for key in times if key not in keys]:
                del times[key]
