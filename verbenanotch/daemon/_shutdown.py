"""Wait for requests in flight before a process exits."""

import time

import attrs
import eventlet

from verbenanotch.proxy import events
from verbenanotch.telemetry import emit

# Twice the round-trip time between distant regions.
LINGER_SECONDS = 0.3
# Without this bound, callers that do not know of the shutdown yet and keep
# sending requests could delay it indefinitely.
MAX_TARGET_WAIT_SECONDS = 0.5
# Of a stop: in it, connections that always have a further request are closed.
LAST_SECONDS = 0.5
# Longer than a submission waits for its outcome.
MAX_OPERATOR_WAIT_SECONDS = 3.0
POLL_INTERVAL_SECONDS = 0.02
RECORDS_POLL_INTERVAL_SECONDS = 0.1
MILLISECONDS_PER_SECOND = 1000
# Of the time until a process is killed: kept for its exit, and for callers to
# learn that it is stopping.
EXIT_SHARE = 1 / 6
LEAVE_SHARE = 5 / 12
MAX_EXIT_SECONDS = 1.0
MAX_LEAVE_SECONDS = 2.5
# Of a stop: requests that come later are taken only if they surely end in it,
# by their deadlines.
UNCERTAIN_SHARE = 0.55
MAX_UNCERTAIN_SECONDS = 2.75
# Of a stop: kept for refusals of requests that wait at other hosts to arrive.
REFUSAL_SHARE = 1 / 8
MAX_REFUSAL_SECONDS = 0.75


@attrs.frozen(kw_only=True)
class StopTimes:
    """How long a proxy accepts callers and then waits for requests."""

    leave_seconds: float
    grace_seconds: float

    @property
    def total_seconds(self):
        """The time from the signal until requests in progress are cut."""
        return self.leave_seconds + self.grace_seconds

    @property
    def uncertain_seconds(self):
        """How long requests are taken that only probably end in time."""
        return min(MAX_UNCERTAIN_SECONDS, self.total_seconds * UNCERTAIN_SHARE)

    @property
    def wait_seconds(self):
        """How long requests may wait for their turn."""
        return self.total_seconds - min(
            MAX_REFUSAL_SECONDS, self.total_seconds * REFUSAL_SHARE
        )


def stop_times(proxy):
    """Return the StopTimes for ProxySettings."""
    if not proxy.stop_seconds:
        return StopTimes(
            leave_seconds=proxy.leave_ms / MILLISECONDS_PER_SECOND,
            grace_seconds=proxy.shutdown_grace_ms / MILLISECONDS_PER_SECOND,
        )
    exit_seconds = min(MAX_EXIT_SECONDS, proxy.stop_seconds * EXIT_SHARE)
    leave_seconds = min(MAX_LEAVE_SECONDS, proxy.stop_seconds * LEAVE_SHARE)
    return StopTimes(
        leave_seconds=leave_seconds,
        grace_seconds=proxy.stop_seconds - exit_seconds - leave_seconds,
    )


def wait_for_operators(http):
    """Wait until no request of an operator is in progress.

    Return after MAX_OPERATOR_WAIT_SECONDS at the latest. The replica has to
    go on meanwhile, as a submission waits for its quorum. While operators
    keep connections open, wait for at least LINGER_SECONDS.
    """
    take_no_more_before(http, seconds=MAX_OPERATOR_WAIT_SECONDS)
    _wait_for_answers(
        http, lambda: http.in_flight, max_seconds=MAX_OPERATOR_WAIT_SECONDS
    )


def wait_for_targets(local_targets):
    """Wait until no call runs at a local target.

    Return after MAX_TARGET_WAIT_SECONDS at the latest. The proxy accepts
    connections in the meantime, because a request that runs at a target may
    send further requests through this proxy.
    """
    started = time.monotonic()
    while local_targets.in_flight and (
        time.monotonic() - started < MAX_TARGET_WAIT_SECONDS
    ):
        eventlet.sleep(POLL_INTERVAL_SECONDS)


def wait_for_records(may_leave, *, grace_seconds):
    """Wait until other hosts have all records of keyed requests.

    Returns the seconds that are left of `grace_seconds`. The proxy has to
    reconcile its records in the meantime.
    """
    started = time.monotonic()
    while not may_leave():
        if time.monotonic() - started >= grace_seconds:
            emit(events.RECORDS_NOT_REPLICATED, waited_seconds=grace_seconds)
            return 0.0
        eventlet.sleep(RECORDS_POLL_INTERVAL_SECONDS)
    return max(0.0, grace_seconds - (time.monotonic() - started))


def wait_until_idle(*, caller_http, peer_server, grace_seconds):
    """Wait until no request is in flight, for at most `grace_seconds`.

    While callers keep connections open, wait for at least LINGER_SECONDS: a
    request may already be on its way on one of them. Its answer announces
    that the connection closes.
    """
    emit(
        events.SHUTDOWN_STARTED,
        caller_requests=caller_http.in_flight,
        peer_calls=peer_server.in_flight,
    )
    if _wait_for_answers(
        caller_http,
        lambda: caller_http.in_flight + peer_server.in_flight,
        max_seconds=grace_seconds,
    ):
        return
    emit(
        events.SHUTDOWN_CUT,
        caller_requests=caller_http.in_flight,
        peer_calls=peer_server.in_flight,
    )


def take_no_more_before(http, *, seconds):
    """Let a server take no more requests, shortly before `seconds` are over.

    The seconds are those until the requests in progress are cut.
    """
    eventlet.spawn_after(max(0.0, seconds - LAST_SECONDS), http.take_no_more)


def _wait_for_answers(http, in_flight, *, max_seconds):
    """Wait until `in_flight()` is 0; return whether it became so in time.

    While clients keep connections to `http` open, wait for at least
    LINGER_SECONDS.
    """
    started = time.monotonic()
    while time.monotonic() - started < max_seconds:
        lingered = time.monotonic() - started >= LINGER_SECONDS
        if (lingered or not http.connection_count) and not in_flight():
            return True
        eventlet.sleep(POLL_INTERVAL_SECONDS)
    return False
