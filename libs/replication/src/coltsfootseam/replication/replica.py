"""The folded state and the latest records, held in memory."""

import asyncio
from collections import deque
from collections.abc import Callable

from coltsfootseam.observe import Observer
from coltsfootseam.peers import FetchedEntry, FetchedState
from coltsfootseam.results import Refusal
from coltsfootseam.state import (
    CompleteSnapshot,
    FleetState,
    Outcome,
    Record,
    SnapshotAssembler,
    SnapshotChunk,
    decode_record,
    decode_state,
    encode_state,
    fold_record,
)

_MAX_RECENT_RECORDS = 2000
# Frequent records, which are counted but cause no event of their own.
_COUNTED_ONLY_KINDS = ("LeaseRenewed", "SnapshotChunk")

FoldListener = Callable[[int, Record, Outcome], None]
RestoreListener = Callable[[], None]


class Replica:
    """Folds records in order; its offset never decreases.

    Attributes:
        state: The state that this entry host has folded.
        snapshot_offset: State offset of the latest complete snapshot that was
            read from the log, -1 if none.
    """

    __slots__ = (
        "_assembler",
        "_listeners",
        "_observer",
        "_recent",
        "_restore_listeners",
        "_waiters_by_record_id",
        "snapshot_offset",
        "state",
    )

    def __init__(self, observer: Observer) -> None:
        self._observer = observer
        self.state = FleetState()
        self.snapshot_offset = -1
        self._assembler = SnapshotAssembler()
        self._recent: deque[FetchedEntry] = deque(maxlen=_MAX_RECENT_RECORDS)
        self._listeners: list[FoldListener] = []
        self._restore_listeners: list[RestoreListener] = []
        self._waiters_by_record_id: dict[
            str, list[asyncio.Future[Outcome]]
        ] = {}

    def next_offset(self) -> int:
        """Returns the offset of the next record to fold."""
        return self.state.offset + 1

    def add_listener(self, listener: FoldListener) -> None:
        """Registers a listener for the offset, record and outcome of folds."""
        self._listeners.append(listener)

    def add_restore_listener(self, listener: RestoreListener) -> None:
        """Registers a listener for the replacement of the state."""
        self._restore_listeners.append(listener)

    def apply(self, offset: int, text: str) -> bool:
        """Folds one record; skips records folded before and malformed ones.

        Returns:
            Whether this and all earlier records are folded or skipped; if not,
            an earlier record is missing and this one was not folded.
        """
        if offset < self.next_offset():
            return True
        if offset > self.next_offset():
            return False
        self._recent.append(FetchedEntry(offset, text))
        record = decode_record(text)
        if isinstance(record, Refusal):
            self._observer.record_event(
                "record.malformed", str(offset), record.reason
            )
            self.state.offset = offset
            return True
        self._observer.clock.merge(record.stamp)
        outcome = fold_record(self.state, offset, record)
        self._handle_folded(offset, record, outcome)
        return True

    def restore(self, data: bytes, origin: str) -> bool:
        """Replaces the state by an encoded one that has a higher offset.

        Args:
            data: The encoded state.
            origin: Where it came from, for the event.

        Returns:
            Whether the state was replaced.
        """
        state = decode_state(data)
        if isinstance(state, Refusal):
            self._observer.record_event(
                "snapshot.malformed", origin, state.reason
            )
            return False
        if state.offset <= self.state.offset:
            return False
        self.state = state
        self._recent.clear()
        self._observer.record_change(
            "state.restored", str(state.offset), f"from {origin}"
        )
        self._resolve_waiters_from_state()
        for listener in self._restore_listeners:
            listener()
        return True

    def fetch(self, from_offset: int, fresh: bool) -> FetchedState:
        """Returns the records that a peer lacks, or the whole state.

        Args:
            from_offset: The next offset of the peer.
            fresh: Whether this entry host reads from the log at present.
        """
        if from_offset >= self.next_offset():
            return FetchedState(self.next_offset(), [], b"", fresh)
        if self._recent and self._recent[0].offset <= from_offset:
            entries = [
                entry for entry in self._recent if entry.offset >= from_offset
            ]
            return FetchedState(self.next_offset(), entries, b"", fresh)
        snapshot = encode_state(self.state)
        return FetchedState(self.next_offset(), [], snapshot, fresh)

    def expect_outcome(self, record_id: str) -> asyncio.Future[Outcome]:
        """Returns a future with the outcome of a record once it is folded."""
        future = asyncio.get_running_loop().create_future()
        known = self.state.outcomes_by_record_id.get(record_id)
        if known is not None:
            future.set_result(known)
            return future
        waiters = self._waiters_by_record_id.setdefault(record_id, [])
        waiters.append(future)
        future.add_done_callback(
            lambda done: self._drop_waiter(record_id, done)
        )
        return future

    def _drop_waiter(
        self, record_id: str, future: asyncio.Future[Outcome]
    ) -> None:
        waiters = self._waiters_by_record_id.get(record_id, [])
        if future in waiters:
            waiters.remove(future)
        if not waiters:
            self._waiters_by_record_id.pop(record_id, None)

    def _handle_folded(
        self, offset: int, record: Record, outcome: Outcome
    ) -> None:
        kind = type(record.body).__name__
        if kind in _COUNTED_ONLY_KINDS:
            self._observer.count(f"folded.{kind}")
        else:
            self._observer.record_event(
                f"folded.{kind}",
                record.record_id,
                outcome.reason or f"offset {offset}",
                outcome.code,
            )
        if isinstance(record.body, SnapshotChunk):
            self._add_chunk(record.body)
        for future in self._waiters_by_record_id.pop(record.record_id, []):
            if not future.done():
                future.set_result(outcome)
        for listener in self._listeners:
            listener(offset, record, outcome)

    def _add_chunk(self, chunk: SnapshotChunk) -> None:
        snapshot: CompleteSnapshot | None = self._assembler.add(chunk)
        if snapshot is not None:
            self.snapshot_offset = max(
                self.snapshot_offset, snapshot.state_offset
            )

    def _resolve_waiters_from_state(self) -> None:
        for record_id in list(self._waiters_by_record_id):
            outcome = self.state.outcomes_by_record_id.get(record_id)
            if outcome is None:
                continue
            for future in self._waiters_by_record_id.pop(record_id):
                if not future.done():
                    future.set_result(outcome)
