"""Claiming the journal of a duty."""

from coltsfootseam.manager.context import Context
from coltsfootseam.manager.membership.duty_progress import DutyProgress
from coltsfootseam.store import Claim, Journal, Partition, claim_journal

_RETRY_DELAY_S = 0.15


async def claim_duty(
    context: Context, partition: Partition, name: str, progress: DutyProgress
) -> Journal:
    """Claims a journal, retrying until the store accepts, and returns it.

    Args:
        context: Shared context of the manager.
        partition: The journal's partition.
        name: Name of the duty's writer.
        progress: Records each successful and failed attempt.
    """
    claim = Claim(context.incarnation, context.address)
    while True:
        journal = await claim_journal(
            context.ports.store, context.timers, partition, name, claim
        )
        if isinstance(journal, Journal):
            context.log.write("duty.claimed", duty=name, epoch=journal.epoch)
            progress.record_progress()
            return journal
        progress.record_failure()
        context.log.write("duty.unclaimed", duty=name, why=journal.reason)
        await context.timers.sleep(_RETRY_DELAY_S)
