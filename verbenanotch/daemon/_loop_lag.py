"""Measure how far the event loop is behind."""

import time

import eventlet

from verbenanotch import loop
from verbenanotch.daemon import events
from verbenanotch.telemetry import LinePace, emit, metrics

PROBE_INTERVAL_SECONDS = 0.25
# Callers with short deadlines give up at such a lag.
LOGGED_LAG_SECONDS = 0.25
MILLISECONDS_PER_SECOND = 1000


class LoopLag:
    """Record how much later than due a periodic task runs.

    Work that arrives waits as long. What arrives is seen earlier, after the
    parts of a turn, whose longest are recorded, too. A process that was
    suspended, or that got no processor, shows as a lag and a long part.
    """

    def __init__(self):
        """Start without a measurement."""
        self._pace = LinePace()

    def run(self):
        """Measure until the greenthread is killed."""
        while True:
            due = time.monotonic() + PROBE_INTERVAL_SECONDS
            eventlet.sleep(PROBE_INTERVAL_SECONDS)
            self.record(due=due, now=time.monotonic())

    def record(self, *, due, now):
        """Record a task that was `due`; times are in monotonic seconds."""
        lag_seconds = max(0.0, now - due)
        lag_ms = lag_seconds * MILLISECONDS_PER_SECOND
        metrics.timing("daemon.loop_lag_ms", lag_ms)
        longest = loop.take_longest_parts()
        sockets_ms = longest.sockets_seconds * MILLISECONDS_PER_SECOND
        tasks_ms = longest.tasks_seconds * MILLISECONDS_PER_SECOND
        metrics.timing("daemon.turn_sockets_ms", sockets_ms)
        metrics.timing("daemon.turn_tasks_ms", tasks_ms)
        if lag_seconds >= LOGGED_LAG_SECONDS and self._pace.admit(None, now):
            emit(
                events.LOOP_LAGGED,
                lag_ms=round(lag_ms, 1),
                sockets_ms=round(sockets_ms, 1),
                tasks_ms=round(tasks_ms, 1),
            )
