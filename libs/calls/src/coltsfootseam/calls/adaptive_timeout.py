"""A time limit that follows how long calls take."""

_MIN_TIMEOUT_S = 0.25
_TIMEOUT_PER_LATENCY = 8.0
_LATENCY_WEIGHT = 0.2
_MAX_DOUBLINGS = 3


class AdaptiveTimeout:
    """How long a repeatable call may take, by how long such calls took lately.

    An answer can be lost though the call was carried out. Repeating it is
    safe, so the sooner that is noticed the better; a slow server gets more
    time.
    """

    __slots__ = ("_latency_s", "_max_timeout_s", "_timeouts_in_a_row")

    def __init__(self, max_timeout_s: float) -> None:
        """Makes a limit that knows of no call yet.

        Args:
            max_timeout_s: The longest limit, in seconds.
        """
        self._max_timeout_s = max_timeout_s
        self._latency_s = 0.0
        self._timeouts_in_a_row = 0

    def next_timeout_s(self) -> float:
        """Returns the time limit of the next call."""
        usual_s = max(_MIN_TIMEOUT_S, _TIMEOUT_PER_LATENCY * self._latency_s)
        return min(
            self._max_timeout_s, usual_s * (1 << self._timeouts_in_a_row)
        )

    def record_call(self, took_s: float, is_answered: bool) -> None:
        """Takes note of a call."""
        if is_answered:
            self._latency_s += _LATENCY_WEIGHT * (took_s - self._latency_s)
            self._timeouts_in_a_row = 0
        else:
            self._timeouts_in_a_row = min(
                _MAX_DOUBLINGS, self._timeouts_in_a_row + 1
            )
