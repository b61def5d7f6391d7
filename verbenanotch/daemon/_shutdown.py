"""Wait for the requests in flight before a proxy exits."""

import time

import eventlet

from verbenanotch.proxy import events
from verbenanotch.telemetry import emit

# Twice the way between distant regions and back.
LINGER_SECONDS = 0.3
# Callers that have not learnt of the stop would keep it waiting for ever.
MAX_HAND_OVER_SECONDS = 0.5
POLL_SECONDS = 0.02


def wait_for_targets(local_targets):
    """Return when no call runs at a local target, or after a short while.

    What a target runs may make calls of its own through this proxy.
    """
    started = time.monotonic()
    while local_targets.in_flight and (
        time.monotonic() - started < MAX_HAND_OVER_SECONDS
    ):
        eventlet.sleep(POLL_SECONDS)


def wait_until_idle(*, caller_http, peer_server, grace_seconds):
    """Return when nothing is in flight, or after `grace_seconds`.

    While callers keep connections open, it waits for `LINGER_SECONDS` at
    least: a request may be on its way on one of them, and is answered with
    the notice that the connection closes.
    """
    emit(
        events.SHUTDOWN_STARTED,
        caller_requests=caller_http.in_flight,
        peer_calls=peer_server.in_flight,
    )
    started = time.monotonic()
    while time.monotonic() - started < grace_seconds:
        lingered = time.monotonic() - started >= LINGER_SECONDS
        quiet = lingered or caller_http.connection_count == 0
        in_flight = caller_http.in_flight + peer_server.in_flight
        if quiet and in_flight == 0:
            return
        eventlet.sleep(POLL_SECONDS)
    emit(
        events.SHUTDOWN_CUT,
        caller_requests=caller_http.in_flight,
        peer_calls=peer_server.in_flight,
    )
