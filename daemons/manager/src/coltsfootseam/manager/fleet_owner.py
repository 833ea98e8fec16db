"""Owning the fleet: who orders machines to move and to be maintained."""

from coltsfootseam.manager.context import FLEET_JOURNAL, Context
from coltsfootseam.manager.knowledge import Knowledge
from coltsfootseam.manager.locator import Locator
from coltsfootseam.manager.machine_rounds import MachineRounds
from coltsfootseam.store import Claim, Journal, claim_journal

_RETRY_S = 0.2


class FleetOwner:
    """Owns the fleet's machines until cancelled or the journal is lost."""

    __slots__ = ("_context", "_knowledge", "_locator")

    def __init__(
        self, context: Context, knowledge: Knowledge, locator: Locator
    ) -> None:
        self._context = context
        self._knowledge = knowledge
        self._locator = locator

    async def run(self) -> None:
        """Claims the fleet and plans its machines."""
        journal = await self._claim()
        rounds = MachineRounds(
            self._context, self._knowledge, self._locator, journal
        )
        await rounds.run()

    async def _claim(self) -> Journal:
        claim = Claim(self._context.incarnation, self._context.address)
        while True:
            journal = await claim_journal(
                self._context.ports.store,
                self._context.timers,
                FLEET_JOURNAL,
                "fleet",
                claim,
            )
            if isinstance(journal, Journal):
                self._context.log.write("fleet.claimed", epoch=journal.epoch)
                return journal
            await self._context.timers.sleep(_RETRY_S)
