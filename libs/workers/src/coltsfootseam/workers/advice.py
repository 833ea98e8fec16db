"""Calls to the policy service, which decides where a step may run."""

from typing import Protocol

import msgspec

from coltsfootseam.results import Refusal


class Ticket(msgspec.Struct, frozen=True):
    """Permission to run a step's tasks on one incarnation of a worker."""

    instance_id: str
    ticket: str


class AdviceDecision(msgspec.Struct, frozen=True):
    """The policy service's decision for the workers it was asked about.

    Attributes:
        tickets: Tickets of the workers that may run the step.
        valid_ms: How long the tickets are valid.
    """

    tickets: list[Ticket]
    valid_ms: int


class AdviceCalls(Protocol):
    """Calls to the policy service."""

    async def advise(
        self, job_id: str, occurrence: int, step: int, instance_ids: list[str]
    ) -> AdviceDecision | Refusal:
        """Asks which of the given workers may run a step."""
