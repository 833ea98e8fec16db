"""A time limit that follows how long calls take."""

_LEAST_TIMEOUT_S = 0.25
_PATIENCE = 8.0
_LATENCY_WEIGHT = 0.2
_MOST_DOUBLINGS = 3


class AdaptiveTimeout:
    """How long a repeatable call may take, by how long such calls took lately.

    An answer can be lost though the call was carried out. Repeating it is
    safe, so the sooner that is noticed the better; a slow server gets more
    time.
    """

    __slots__ = ("_latency_s", "_most_s", "_tries")

    def __init__(self, most_s: float) -> None:
        """Makes a limit that knows of no call yet.

        Args:
            most_s: The longest limit, in seconds.
        """
        self._most_s = most_s
        self._latency_s = 0.0
        self._tries = 0

    def next_timeout_s(self) -> float:
        """Returns the time limit of the next call."""
        usual_s = max(_LEAST_TIMEOUT_S, _PATIENCE * self._latency_s)
        return min(self._most_s, usual_s * (1 << self._tries))

    def record_call(self, took_s: float, is_answered: bool) -> None:
        """Takes note of a call."""
        if is_answered:
            self._latency_s += _LATENCY_WEIGHT * (took_s - self._latency_s)
            self._tries = 0
        else:
            self._tries = min(_MOST_DOUBLINGS, self._tries + 1)
