"""The holders of an idempotency key and the loss of its record."""

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
    """Returns whether all holders of a key were lost before a handover.

    When a holder is lost, the other one hands the key over within
    ``HANDOVER_WINDOW_MS``. If both are lost within that time of each other,
    it is unknown whether a request with the key ran, for as long as keys are
    kept.

    Args:
        state: The replicated state.
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
