"""Handover of idempotency keys when the members change."""

import asyncio
from collections.abc import Iterable

from coltsfootseam.peers import KeyCopy, KeyVerdict
from coltsfootseam.routing.background import BackgroundTasks
from coltsfootseam.routing.key_context import KeyContext
from coltsfootseam.routing.key_placement import key_holders
from coltsfootseam.state import FleetState

_KEYS_PER_CALL = 500
_MAX_RESPONSE_BYTES = 4096
_MAX_ATTEMPTS = 20
_RETRY_DELAY_S = 0.5


class KeyHandover:
    """Copies keys to members that have become their holders."""

    __slots__ = ("_context", "_members", "_tasks")

    def __init__(self, context: KeyContext) -> None:
        self._context = context
        self._members: dict[str, str] = {}
        self._tasks: BackgroundTasks[None] = BackgroundTasks()

    def handle_member_changes(self) -> None:
        """Hands keys over if the members have changed."""
        members = _incarnations(self._context.state())
        if members == self._members:
            return
        before = self._members
        self._members = members
        if self._context.own_id in before and len(self._context.store):
            self._tasks.start(self._hand_over(before, members))

    async def hand_over_all(self) -> None:
        """Hands all keys over before a planned stop of this host."""
        before = _incarnations(self._context.state())
        after = dict(before)
        after.pop(self._context.own_id, None)
        await self._hand_over(before, after)

    async def _hand_over(
        self, before: dict[str, str], after: dict[str, str]
    ) -> None:
        keys_by_holder_id: dict[str, list[str]] = {}
        for number, key in enumerate(self._context.store.keys()):
            for holder_id in _new_holders(key, before, after):
                keys_by_holder_id.setdefault(holder_id, []).append(key)
            if number % _KEYS_PER_CALL == 0:
                await asyncio.sleep(0)
        for holder_id, keys in keys_by_holder_id.items():
            if holder_id != self._context.own_id:
                await self._copy_to(holder_id, keys)

    async def _copy_to(self, holder_id: str, keys: list[str]) -> None:
        for start in range(0, len(keys), _KEYS_PER_CALL):
            batch = keys[start : start + _KEYS_PER_CALL]
            if not await self._copy_batch(holder_id, batch):
                self._context.observer.count("keys.hand_over_failures")
                return
        self._context.observer.record_event(
            "keys.handed_over", holder_id, f"{len(keys)} keys"
        )

    async def _copy_batch(self, holder_id: str, keys: Iterable[str]) -> bool:
        for _ in range(_MAX_ATTEMPTS):
            members_by_id = self._context.state().members_by_id
            member = members_by_id.get(holder_id)
            if member is None:
                return False
            copies = [
                _without_large_response(copy)
                for copy in self._context.store.copies(keys)
            ]
            refusal = await self._context.peers.copy_keys(member.peers, copies)
            if refusal is None:
                return True
            await self._context.timers.sleep(_RETRY_DELAY_S)
        return False


def _incarnations(state: FleetState) -> dict[str, str]:
    return {
        member_id: member.incarnation
        for member_id, member in state.members_by_id.items()
    }


def _new_holders(
    key: str, before: dict[str, str], after: dict[str, str]
) -> list[str]:
    """Returns the holders that did not hold the key before."""
    held = {
        (member_id, before[member_id]) for member_id in key_holders(before, key)
    }
    return [
        member_id
        for member_id in key_holders(after, key)
        if (member_id, after[member_id]) not in held
    ]


def _without_large_response(copy: KeyCopy) -> KeyCopy:
    """Drops a large response; a retry then gets an unknown outcome."""
    answer = copy.answer
    if answer is None or len(answer.body) <= _MAX_RESPONSE_BYTES:
        return copy
    return KeyCopy(copy.key, copy.request_id, KeyVerdict.UNKNOWN, None)
