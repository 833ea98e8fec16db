"""The policy service that says which workers may run a step."""

from typing import Protocol

import msgspec

from coltsfootseam.results import Refusal


class Ticket(msgspec.Struct, frozen=True):
    """Permission for a step's tasks on one life of a worker."""

    instance_id: str
    ticket: str


class AdviceDecision(msgspec.Struct, frozen=True):
    """The policy's answer for the workers that were named."""

    tickets: list[Ticket]
    valid_ms: int


class AdviceCalls(Protocol):
    """Calls to the policy service."""

    async def advise(
        self, job_id: str, occurrence: int, step: int, instance_ids: list[str]
    ) -> AdviceDecision | Refusal:
        """Asks which of the workers named may run a step."""
