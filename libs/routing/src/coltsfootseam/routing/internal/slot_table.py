"""Which entry host holds which slots of one service."""

from collections import Counter

from coltsfootseam.peers import HeldSlot, Term


class SlotTable:
    """Counts the slots in use on each host, by entry host.

    An entry host that has not reported in this term may hold slots that the
    dispatcher does not know of. For each such entry host, the dispatcher
    leaves ``max_slots_per_entry`` slots of every host free, so that no slot is
    granted twice.

    Attributes:
        term: The term that the table belongs to.
        reported: Entry hosts that have reported their slots in this term.
    """

    __slots__ = (
        "_hosts_by_request_by_entry",
        "_in_use",
        "_in_use_by_entry",
        "_released_before_report",
        "reported",
        "term",
    )

    def __init__(self, term: Term) -> None:
        self.term = term
        self.reported: set[str] = set()
        self._hosts_by_request_by_entry: dict[str, dict[str, str]] = {}
        self._in_use: Counter[str] = Counter()
        self._in_use_by_entry: dict[str, Counter[str]] = {}
        self._released_before_report: dict[str, set[str]] = {}

    def apply_report(self, entry_id: str, held_slots: list[HeldSlot]) -> None:
        """Replaces the slots of an entry host with those that it reports.

        A release may overtake the report; a slot that it has already freed is
        left out.
        """
        self.remove_entry(entry_id)
        early = self._released_before_report.pop(entry_id, set())
        for holding in held_slots:
            if holding.request_id not in early:
                self.reserve(entry_id, holding.request_id, holding.host_id)
        self.reported.add(entry_id)

    def reserve(self, entry_id: str, request_id: str, host_id: str) -> None:
        """Records that a request holds a slot of a host."""
        hosts = self._hosts_by_request_by_entry.setdefault(entry_id, {})
        assert request_id not in hosts, request_id
        hosts[request_id] = host_id
        self._in_use[host_id] += 1
        counts = self._in_use_by_entry.setdefault(entry_id, Counter())
        counts[host_id] += 1

    def release(self, entry_id: str, request_id: str) -> bool:
        """Frees a request's slot; returns whether it held one."""
        hosts = self._hosts_by_request_by_entry.get(entry_id, {})
        host_id = hosts.pop(request_id, None)
        if host_id is None:
            if entry_id not in self.reported:
                self._released_before_report.setdefault(entry_id, set()).add(
                    request_id
                )
            return False
        self._in_use[host_id] -= 1
        self._in_use_by_entry[entry_id][host_id] -= 1
        return True

    def held_host(self, entry_id: str, request_id: str) -> str | None:
        """Returns the host on which a request holds a slot, if any."""
        return self._hosts_by_request_by_entry.get(entry_id, {}).get(request_id)

    def remove_entry(self, entry_id: str) -> None:
        """Frees every slot of an entry host."""
        for host_id in self._hosts_by_request_by_entry.pop(
            entry_id, {}
        ).values():
            self._in_use[host_id] -= 1
        self._in_use_by_entry.pop(entry_id, None)
        self.reported.discard(entry_id)

    def in_use(self, host_id: str) -> int:
        """Returns the slots of a host that are known to be in use."""
        return self._in_use[host_id]

    def total_in_use(self) -> int:
        """Returns the slots of all hosts that are known to be in use."""
        return self._in_use.total()

    def held_by(self, entry_id: str, host_id: str) -> int:
        """Returns the slots of a host that an entry host holds."""
        counts = self._in_use_by_entry.get(entry_id)
        return 0 if counts is None else counts[host_id]


def max_slots_per_entry(slots: int, members: int) -> int:
    """Returns the maximum number of slots of a host for one entry host.

    The limit is twice an even share: the load balancer spreads callers evenly
    over the entry hosts, and the slots that an unreachable entry host may hold
    have to be few.
    """
    if members <= 2:
        return slots
    return min(slots, -(-2 * slots // members))
