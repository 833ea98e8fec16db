"""The slots of one service and who holds them, kept by its dispatcher."""

from collections import Counter

from coltsfootseam.peers import HeldSlot, Term


class SlotBook:
    """Counts the slots in use on each host, by entry host.

    Entry hosts that have not reported in this term may hold slots that are
    not known. For each of them as many slots of each host stay free as one
    entry host may hold at most, so that no slot is granted twice.

    Attributes:
        term: The term that the book belongs to.
        reported: Entry hosts whose holdings are known.
    """

    __slots__ = (
        "_hosts_by_request_by_entry",
        "_in_use",
        "_in_use_by_entry",
        "_released_early",
        "reported",
        "term",
    )

    def __init__(self, term: Term) -> None:
        self.term = term
        self.reported: set[str] = set()
        self._hosts_by_request_by_entry: dict[str, dict[str, str]] = {}
        self._in_use: Counter[str] = Counter()
        self._in_use_by_entry: dict[str, Counter[str]] = {}
        self._released_early: dict[str, set[str]] = {}

    def take_report(self, entry_id: str, held_slots: list[HeldSlot]) -> None:
        """Takes over what an entry host holds, in place of what was known.

        Releases may overtake the report; what they gave back is left out.
        """
        self.forget_entry(entry_id)
        early = self._released_early.pop(entry_id, set())
        for holding in held_slots:
            if holding.request_id not in early:
                self.hold(entry_id, holding.request_id, holding.host_id)
        self.reported.add(entry_id)

    def hold(self, entry_id: str, request_id: str, host_id: str) -> None:
        """Counts a slot as held."""
        hosts = self._hosts_by_request_by_entry.setdefault(entry_id, {})
        assert request_id not in hosts, request_id
        hosts[request_id] = host_id
        self._in_use[host_id] += 1
        counts = self._in_use_by_entry.setdefault(entry_id, Counter())
        counts[host_id] += 1

    def give_back(self, entry_id: str, request_id: str) -> bool:
        """Counts a slot as free; returns whether it had been held."""
        hosts = self._hosts_by_request_by_entry.get(entry_id, {})
        host_id = hosts.pop(request_id, None)
        if host_id is None:
            if entry_id not in self.reported:
                self._released_early.setdefault(entry_id, set()).add(request_id)
            return False
        self._in_use[host_id] -= 1
        self._in_use_by_entry[entry_id][host_id] -= 1
        return True

    def held_host(self, entry_id: str, request_id: str) -> str | None:
        """Returns the host on which a request holds a slot."""
        return self._hosts_by_request_by_entry.get(entry_id, {}).get(request_id)

    def forget_entry(self, entry_id: str) -> None:
        """Frees everything that an entry host held."""
        for host_id in self._hosts_by_request_by_entry.pop(
            entry_id, {}
        ).values():
            self._in_use[host_id] -= 1
        self._in_use_by_entry.pop(entry_id, None)
        self.reported.discard(entry_id)

    def in_use(self, host_id: str) -> int:
        """Returns the slots of a host that are known to be in use."""
        return self._in_use[host_id]

    def slots_held(self) -> int:
        """Returns the slots of all hosts that are known to be in use."""
        return self._in_use.total()

    def held_by(self, entry_id: str, host_id: str) -> int:
        """Returns the slots of a host that an entry host holds."""
        counts = self._in_use_by_entry.get(entry_id)
        return 0 if counts is None else counts[host_id]


def most_slots_of_one_entry(slots: int, members: int) -> int:
    """Returns how many slots of a host one entry host may hold at most.

    Twice an even share: the balancer spreads callers evenly, and what an
    unreachable entry host may hold has to stay small.
    """
    if members <= 2:
        return slots
    return min(slots, -(-2 * slots // members))
