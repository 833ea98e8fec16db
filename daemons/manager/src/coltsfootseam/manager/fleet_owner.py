"""Owning the fleet: who orders machines to move and to be maintained."""

from coltsfootseam.manager.claiming import claim_duty
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.duty_progress import DutyProgress
from coltsfootseam.manager.knowledge import Knowledge
from coltsfootseam.manager.locator import Locator
from coltsfootseam.manager.machine_rounds import MachineRounds
from coltsfootseam.manager.places import FLEET_JOURNAL


class FleetOwner:
    """Owns the fleet's machines until cancelled or the journal is lost.

    Attributes:
        progress: How far it is from its begin to its work.
    """

    __slots__ = ("_context", "_knowledge", "_locator", "progress")

    def __init__(
        self, context: Context, knowledge: Knowledge, locator: Locator
    ) -> None:
        self._context = context
        self._knowledge = knowledge
        self._locator = locator
        self.progress = DutyProgress(context.timers)

    async def run(self) -> None:
        """Claims the fleet and plans its machines."""
        journal = await claim_duty(
            self._context, FLEET_JOURNAL, "fleet", self.progress
        )
        rounds = MachineRounds(
            self._context,
            self._knowledge,
            self._locator,
            journal,
            self.progress,
        )
        await rounds.run()
