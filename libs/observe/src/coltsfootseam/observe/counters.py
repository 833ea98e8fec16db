"""Counters and gauges, kept for reading and sent by statsd."""

from collections import defaultdict

import statsd


class Counters:
    """Counters of one process.

    Values are kept for the admin interface and, where an address is given,
    sent to a statsd collector over UDP.
    """

    __slots__ = ("_client", "gauges_by_name", "totals_by_name")

    def __init__(
        self, statsd_host: str = "", statsd_port: int = 0, prefix: str = ""
    ) -> None:
        self.totals_by_name: dict[str, int] = defaultdict(int)
        self.gauges_by_name: dict[str, float] = {}
        self._client: statsd.StatsClient | None = None
        if statsd_host:
            self._client = statsd.StatsClient(
                host=statsd_host, port=statsd_port, prefix=prefix
            )

    def increment(self, name: str, amount: int = 1) -> None:
        """Adds ``amount`` to the counter ``name``."""
        self.totals_by_name[name] += amount
        if self._client is not None:
            self._client.incr(name, amount)

    def set_gauge(self, name: str, value: float) -> None:
        """Sets the gauge ``name``."""
        self.gauges_by_name[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def record_ms(self, name: str, duration_ms: float) -> None:
        """Sends a duration in milliseconds and counts it."""
        self.totals_by_name[f"{name}.count"] += 1
        if self._client is not None:
            self._client.timing(name, duration_ms)
