"""What this entry host can reach at present."""

import math

from coltsfootseam.observe import Observer
from coltsfootseam.state import FleetState
from coltsfootseam.timers import TimerService


class Connectivity:
    """Keeps when the log and each peer last answered.

    Attributes:
        log_resumed_s: When the log answered again after it had not.
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
        """Takes note that the log answered a read.

        What counts is when it was asked: an answer may have waited in a
        buffer while this process was paused.
        """
        self._last_log_reply_s = max(self._last_log_reply_s, sent_s)
        if not self._log_reachable:
            self._log_reachable = True
            self.log_resumed_s = self._timers.now_s()
            self._observer.record_change("log.reachable", "log")

    def record_log_failure(self, cause: str) -> None:
        """Takes note that a read of the log failed."""
        self._observer.count("log.read_failures")
        if self._log_reachable:
            self._log_reachable = False
            self._observer.record_change("log.unreachable", "log", cause)

    def record_peer_reply(self, address: str, sent_s: float) -> None:
        """Takes note that a peer answered a call made at a time."""
        self._last_reply_s_by_address[address] = sent_s

    def is_log_reachable(self) -> bool:
        """Tells whether the last read of the log succeeded."""
        return self._log_reachable

    def log_unanswered_s(self) -> float:
        """Returns the seconds since the newest read that was answered."""
        return self._timers.now_s() - self._last_log_reply_s

    def is_isolated(
        self, state: FleetState, own_id: str, max_unanswered_s: float
    ) -> bool:
        """Tells whether others may have decided without this entry host.

        Without the log, an entry host goes on only while it reaches more than
        half of the members, itself included: what a member that reaches a
        majority has seen decided, it then learns from one of them.
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
        ok_s = self._last_reply_s_by_address.get(address, -math.inf)
        return self._timers.now_s() - ok_s
