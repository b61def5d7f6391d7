"""The process's metrics in the text format of Prometheus.

The client library is imported at the first request: most processes are
never scraped, and the import would lengthen their start.
"""

import re

from verbenanotch.telemetry._metrics import BUCKETS_MS, metrics

PREFIX = "verbenanotch_"
METRICS_PATH = "/metrics"
HELP = "See the metrics reference."


class MetricsInterface:
    """WSGI application that serves the metrics of this process."""

    def application(self, environ, start_response):
        """Answer one request; the WSGI entry point."""
        if environ["PATH_INFO"] != METRICS_PATH:
            start_response("404 Not Found", [("Content-Length", "0")])
            return [b""]
        from prometheus_client import exposition

        body = exposition.generate_latest(_Collector())
        start_response(
            "200 OK",
            [
                ("Content-Type", exposition.CONTENT_TYPE_LATEST),
                ("Content-Length", str(len(body))),
            ],
        )
        return [body]


class _Collector:
    """Collect the current metrics for the client library."""

    def collect(self):
        """Yield one metric family for each metric."""
        from prometheus_client import core

        for name, value in sorted(metrics.totals_by_name.items()):
            yield core.CounterMetricFamily(
                _exposed_name(name), HELP, value=value
            )
        for name, value in sorted(metrics.gauges_by_name.items()):
            yield core.GaugeMetricFamily(
                _exposed_name(name), HELP, value=value
            )
        for name, histogram in sorted(metrics.histograms_by_name.items()):
            # A gauge with the last value may have the same name, for example
            # replication.fsync_ms; the suffix avoids two equal names.
            yield core.HistogramMetricFamily(
                _exposed_name(name) + "_distribution",
                HELP,
                buckets=_buckets(histogram),
                sum_value=histogram.sum_ms,
            )


def _buckets(histogram):
    """Return pairs of an upper bound in ms and the cumulative count."""
    pairs, total = [], 0
    bounds = [*(str(float(bound)) for bound in BUCKETS_MS), "+Inf"]
    for bound, count in zip(bounds, histogram.counts, strict=True):
        total += count
        pairs.append((bound, total))
    return pairs


def _exposed_name(name):
    return PREFIX + re.sub(r"[^a-zA-Z0-9]", "_", name).lower()
