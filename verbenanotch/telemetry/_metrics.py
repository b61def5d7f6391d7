"""Metrics in the statsd protocol, with the last values kept for `status`."""

import collections

import statsd


class Metrics:
    """Send counters, gauges and timings; keep counter totals and gauges."""

    def __init__(self):
        """Start without a statsd server."""
        self._client = None
        self.totals_by_name = collections.Counter()
        self.gauges_by_name = {}

    def configure(self, *, host, port, prefix):
        """Send to the statsd server at an IP address over UDP."""
        self._client = statsd.StatsClient(host, port, prefix=prefix)

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
        """Report one duration."""
        if self._client is not None:
            self._client.timing(name, milliseconds)


metrics = Metrics()
