"""Counters, gauges and latency histograms of a process."""

import bisect
from collections import defaultdict

import statsd

_BUCKET_BOUNDS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)
"""Upper bounds of the buckets of a latency histogram, in milliseconds."""


class Counters:
    """Counters, gauges and latency histograms of one process.

    Values are kept for the admin interface and, if a host is given, sent to a
    statsd collector over UDP.
    """

    __slots__ = (
        "_client",
        "buckets_by_name",
        "gauges_by_name",
        "totals_by_name",
    )

    def __init__(
        self, statsd_host: str = "", statsd_port: int = 0, prefix: str = ""
    ) -> None:
        self.totals_by_name: dict[str, int] = defaultdict(int)
        self.gauges_by_name: dict[str, float] = {}
        self.buckets_by_name: dict[str, list[int]] = {}
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
        """Adds a duration in milliseconds to the histogram ``name``."""
        buckets = self.buckets_by_name.get(name)
        if buckets is None:
            buckets = [0] * (len(_BUCKET_BOUNDS_MS) + 1)
            self.buckets_by_name[name] = buckets
        buckets[bisect.bisect_left(_BUCKET_BOUNDS_MS, duration_ms)] += 1
        if self._client is not None:
            self._client.timing(name, duration_ms)

    def as_text(self) -> str:
        """Returns one line per value; histogram buckets are cumulative."""
        lines = [
            f"{_metric_name(name)} {value}"
            for name, value in sorted(
                {**self.totals_by_name, **self.gauges_by_name}.items()
            )
        ]
        for name, buckets in sorted(self.buckets_by_name.items()):
            total = 0
            bounds = [str(bound) for bound in _BUCKET_BOUNDS_MS] + ["+Inf"]
            for bound, count in zip(bounds, buckets, strict=True):
                total += count
                lines.append(
                    f'{_metric_name(name)}_ms_bucket{{le="{bound}"}} {total}'
                )
            lines.append(f"{_metric_name(name)}_ms_count {total}")
        return "\n".join(lines) + "\n"


def _metric_name(name: str) -> str:
    return name.replace(".", "_").replace("-", "_")
