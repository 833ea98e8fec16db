"""The owner of the fleet, which moves and maintains its machines."""

from coltsfootseam.manager.cluster_state import ClusterState
from coltsfootseam.manager.context import Context
from coltsfootseam.manager.machines.machine_rounds import MachineRounds
from coltsfootseam.manager.membership.claiming import claim_duty
from coltsfootseam.manager.membership.duty_progress import DutyProgress
from coltsfootseam.manager.membership.locator import Locator
from coltsfootseam.manager.membership.partitions import FLEET_JOURNAL
from coltsfootseam.manager.quotas.coordinator import QuotaCoordinator


class FleetOwner:
    """Owns the fleet's machines until cancelled or the journal is lost.

    Attributes:
        progress: Whether it has become active or is stalled.
        quotas: Divides the quotas of teams, ``None`` before the claim.
    """

    __slots__ = ("_cluster", "_context", "_locator", "progress", "quotas")

    def __init__(
        self, context: Context, cluster: ClusterState, locator: Locator
    ) -> None:
        self._context = context
        self._cluster = cluster
        self._locator = locator
        self.progress = DutyProgress(context.timers)
        self.quotas: QuotaCoordinator | None = None

    async def run(self) -> None:
        """Claims the fleet's journal, plans the machines, divides quotas."""
        journal = await claim_duty(
            self._context, FLEET_JOURNAL, "fleet", self.progress
        )
        rounds = MachineRounds(
            self._context,
            self._cluster,
            self._locator,
            journal,
            self.progress,
        )
        self.quotas = QuotaCoordinator(self._context, self._cluster, journal)
        self.quotas.start()
        try:
            await rounds.run()
        finally:
            self.quotas.close()
            self.quotas = None
