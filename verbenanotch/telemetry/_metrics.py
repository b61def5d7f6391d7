"""Metrics that are sent to statsd and also kept in memory."""

import bisect
import collections

import statsd

# Upper bounds of the histogram buckets in milliseconds. They double from less
# than the time of one hop to that of long call timeouts.
BUCKETS_MS = (0.5, 1, 2, 4, 8, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096)


class Histogram:
    """Counts of durations by bucket; the last bucket has no upper bound."""

    def __init__(self):
        """Start empty."""
        self.counts = [0] * (len(BUCKETS_MS) + 1)
        self.sum_ms = 0.0

    def observe(self, milliseconds):
        """Count one duration."""
        self.counts[bisect.bisect_left(BUCKETS_MS, milliseconds)] += 1
        self.sum_ms += milliseconds


class Metrics:
    """Send counters, gauges and timings to statsd; keep their values."""

    def __init__(self):
        """Start without a statsd server."""
        self._client = None
        self.totals_by_name = collections.Counter()
        self.gauges_by_name = {}
        self.histograms_by_name = collections.defaultdict(Histogram)

    def configure(self, *, host, port, prefix):
        """Send to a statsd server over UDP, with `prefix` before each name.

        `host` is its IP address.
        """
        self._client = statsd.StatsClient(host, port, prefix=prefix)
        # A full buffer drops the datagram; a send never yields.
        self._client._sock.setblocking(False)

    def increment(self, name, count=1):
        """Add to a counter."""
        self.totals_by_name[name] += count
        if self._client is not None:
            self._client.incr(name, count)

    def gauge(self, name, value):
        """Set a gauge."""
        self.gauges_by_name[name] = value
        if self._client is not None:
            self._client.gauge(name, value)

    def timing(self, name, milliseconds):
        """Record one duration."""
        self.histograms_by_name[name].observe(milliseconds)
        if self._client is not None:
            self._client.timing(name, milliseconds)


metrics = Metrics()
