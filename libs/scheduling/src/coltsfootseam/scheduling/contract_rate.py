"""Which jobs a team submits beyond the rate that its contract covers."""

_MS_PER_S = 1000.0
BURST_S = 20.0
"""Seconds' worth of jobs that a team may submit at once.

Demand that goes by turns is five times its mean for 4 s, which is 20 seconds'
worth. With 5 s, teams at exactly their rate had jobs beyond it by chance.
"""


class ContractRates:
    """A token bucket for each team, over the times of its jobs' acceptance.

    It keeps for each team when its bucket is full again (the generic cell rate
    algorithm). Jobs beyond the rate take no tokens, so a team that submits too
    much still has as many jobs within its contract as any other.
    """

    __slots__ = ("_full_at_ms_by_team",)

    def __init__(self) -> None:
        self._full_at_ms_by_team: dict[str, float] = {}

    def is_beyond(self, team: str, rate: float, accepted_ms: int) -> bool:
        """Judges the next job of a team, in the order of acceptance.

        Args:
            team: Name of the team.
            rate: Jobs a second that its contract covers, above 0.
            accepted_ms: When the job was accepted, Unix milliseconds.
        """
        interval_ms = _MS_PER_S / rate
        # A burst is at least one job, also at rates of less than one in 20 s.
        burst_ms = max(BURST_S * _MS_PER_S, interval_ms)
        full_at_ms = max(
            float(accepted_ms), self._full_at_ms_by_team.get(team, 0.0)
        )
        if full_at_ms + interval_ms - accepted_ms > burst_ms:
            return True
        self._full_at_ms_by_team[team] = full_at_ms + interval_ms
        return False
