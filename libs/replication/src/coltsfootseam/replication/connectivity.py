"""Tracks whether the log and the peers of this entry host are reachable."""

import math

from coltsfootseam.observe import Observer
from coltsfootseam.state import FleetState
from coltsfootseam.timers import TimerService


class Connectivity:
    """Keeps the times of the last replies from the log and from each peer.

    Attributes:
        log_resumed_s: When the log last became reachable.
    """

    __slots__ = (
        "_last_log_reply_s",
        "_last_reply_s_by_address",
        "_log_reachable",
        "_observer",
        "_timers",
        "log_resumed_s",
    )

    def __init__(self, timers: TimerService, observer: Observer) -> None:
        self._timers = timers
        self._observer = observer
        self._last_log_reply_s = -math.inf
        self._log_reachable = False
        self._last_reply_s_by_address: dict[str, float] = {}
        self.log_resumed_s = -math.inf

    def record_log_reply(self, sent_s: float) -> None:
        """Records a successful read of the log.

        Args:
            sent_s: When the read was sent. The time of arrival doesn't show
                that the log is reachable now, as a reply may have been
                buffered while this process was paused.
        """
        self._last_log_reply_s = max(self._last_log_reply_s, sent_s)
        if not self._log_reachable:
            self._log_reachable = True
            self.log_resumed_s = self._timers.now_s()
            self._observer.record_change("log.reachable", "log")

    def record_log_failure(self, cause: str) -> None:
        """Records a failed read of the log."""
        self._observer.count("log.read_failures")
        if self._log_reachable:
            self._log_reachable = False
            self._observer.record_change("log.unreachable", "log", cause)

    def record_peer_reply(self, address: str, sent_s: float) -> None:
        """Records that a peer replied to a call sent at ``sent_s``."""
        self._last_reply_s_by_address[address] = sent_s

    def is_log_reachable(self) -> bool:
        """Returns whether the last read of the log succeeded."""
        return self._log_reachable

    def log_unanswered_s(self) -> float:
        """Returns the seconds since the last successful read was sent."""
        return self._timers.now_s() - self._last_log_reply_s

    def is_isolated(
        self, state: FleetState, own_id: str, max_unanswered_s: float
    ) -> bool:
        """Returns whether others may have decided without this entry host.

        Without the log, an entry host continues only while it reaches more
        than half of the members, itself included. Any two majorities overlap,
        so it learns what a member with another majority has seen decided.

        Args:
            state: The folded state, with the members.
            own_id: Name of this entry host.
            max_unanswered_s: Time since the last reply after which the log or
                a peer counts as unreachable.
        """
        if self.log_unanswered_s() <= max_unanswered_s:
            return False
        members = state.members_by_id.values()
        reached = sum(
            1
            for member in members
            if member.member_id == own_id
            or self._peer_unanswered_s(member.peers) <= max_unanswered_s
        )
        return 2 * reached <= len(members)

    def _peer_unanswered_s(self, address: str) -> float:
        reply_s = self._last_reply_s_by_address.get(address, -math.inf)
        return self._timers.now_s() - reply_s
