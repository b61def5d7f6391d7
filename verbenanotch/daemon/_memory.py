"""Measure and log the memory of the process."""

import resource

import eventlet

from verbenanotch.daemon import events
from verbenanotch.telemetry import emit, metrics

INTERVAL_SECONDS = 1.0
LOGGED_GROWTH_KB = 32 * 1024
KB_PER_MB = 1024


class MemoryLog:
    """Record the peak of the resident memory; log each large growth.

    A process that is killed for its memory writes nothing at its end.
    """

    def __init__(self, *, peak_kb=None):
        """Measure with `peak_kb()`, which returns kilobytes."""
        self._peak_kb = peak_kb or _peak_kb
        self._logged_kb = 0

    def run(self):
        """Measure until the greenthread is killed."""
        while True:
            self.record()
            eventlet.sleep(INTERVAL_SECONDS)

    def record(self):
        """Record the present peak."""
        peak_kb = self._peak_kb()
        metrics.gauge("daemon.peak_memory_kb", peak_kb)
        if peak_kb - self._logged_kb >= LOGGED_GROWTH_KB:
            self._logged_kb = peak_kb
            emit(events.MEMORY_GROWN, peak_mb=round(peak_kb / KB_PER_MB, 1))


def _peak_kb():
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
