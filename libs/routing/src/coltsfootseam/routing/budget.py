"""Retry budgets, which limit retries to a share of all requests."""

_MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Limits retries to a share of requests, plus a small reserve."""

    __slots__ = ("_ratio", "_saved")

    def __init__(self, ratio: float) -> None:
        self._ratio = ratio
        self._saved = _MAX_SAVED_RETRIES

    def record_request(self) -> None:
        """Adds the share of a retry that one request earns."""
        self._saved = min(_MAX_SAVED_RETRIES, self._saved + self._ratio)

    def try_spend(self) -> bool:
        """Spends one retry; returns False if none is left."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True
