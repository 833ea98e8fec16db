"""Who holds an idempotency key, and whether its record may have been lost."""

from collections.abc import Iterable

from coltsfootseam.state import FleetState, rank_members

HOLDERS_PER_KEY = 2
HANDOVER_WINDOW_MS = 15_000


def key_holders(member_ids: Iterable[str], key: str) -> list[str]:
    """Returns the members that hold a key, in order of reservation."""
    return rank_members(member_ids, f"key/{key}")[:HOLDERS_PER_KEY]


def may_have_been_lost(
    state: FleetState, key: str, now_ms: int, kept_ms: int
) -> bool:
    """Tells whether all holders of a key were lost before a hand-over.

    After a loss the other holder hands the key over, which is done within
    ``HANDOVER_WINDOW_MS``. Members that were lost within that time of each other
    may have been all the holders of some keys. Whether a request with such a
    key ran is then not known, for as long as keys are kept.

    Args:
        state: The folded state.
        key: A key that no holder knows.
        now_ms: Wall-clock time.
        kept_ms: How long keys are kept.
    """
    for loss in state.losses:
        if now_ms - loss.wall_ms > kept_ms + HANDOVER_WINDOW_MS:
            continue
        lost = {
            other.member_id
            for other in state.losses
            if 0 <= other.wall_ms - loss.wall_ms <= HANDOVER_WINDOW_MS
        }
        if lost.issuperset(key_holders(loss.members_before, key)):
            return True
    return False
