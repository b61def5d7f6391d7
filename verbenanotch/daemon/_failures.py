"""Log the exceptions that nothing handles."""

import sys
import time
import traceback

from verbenanotch.daemon import events
from verbenanotch.telemetry import LinePace, emit, metrics


class FailureLog:
    """Log exceptions, at most one of a type a second; count all.

    `event` is the event to log, `metric` the counter.
    """

    def __init__(self, *, event, metric):
        """Start without failures."""
        self._event = event
        self._metric = metric
        self._pace = LinePace()

    def record(self, exc_info):
        """Log and count the exception in what `sys.exc_info` returns."""
        metrics.increment(self._metric)
        kind, error, _ = exc_info
        if self._pace.admit(kind, time.monotonic()):
            lines = traceback.format_exception(error)
            emit(self._event, traceback="".join(lines))


class RequestFailureLog:
    """The log of a WSGI server, which has only failed requests."""

    def __init__(self):
        """Start without failures."""
        self._failures = FailureLog(
            event=events.HTTP_REQUEST_FAILED,
            metric="daemon.http_requests_failed",
        )

    def info(self, message):
        """Log the exception that is being handled.

        A client that has disconnected is no failure.
        """
        exc_info = sys.exc_info()
        if exc_info[1] is not None and not isinstance(exc_info[1], OSError):
            self._failures.record(exc_info)

    def debug(self, message):
        """Do nothing; the server tells here of idle connections."""

    # Of clients that leave within a body or send one that can't be read.
    error = debug


def log_unhandled(hub):
    """Log the exceptions that end a greenthread of a hub.

    Eventlet prints them to standard error, which can block, or drops them.
    """
    failures = FailureLog(
        event=events.GREENTHREAD_FAILED, metric="daemon.greenthreads_failed"
    )

    def squelch_exception(fileno, exc_info):
        failures.record(exc_info)
        hub.remove_descriptor(fileno)

    hub.squelch_exception = squelch_exception
    hub.squelch_generic_exception = failures.record
    hub.squelch_timer_exception = lambda timer, exc_info: failures.record(
        exc_info
    )
