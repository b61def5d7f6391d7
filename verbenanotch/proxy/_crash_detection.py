"""Find out whether a target that broke off a call has crashed."""

import collections
import dataclasses
import time

import attrs
import eventlet

from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy._outcome import Answered, Unknown

# A terminating process has closed all of its sockets within this time, which
# is one or two time slices of the scheduler.
CRASH_RECHECK_SECONDS = 0.05
RECHECK_INTERVAL_SECONDS = 0.01
# A target that starts again has announced itself within this time.
MAX_RESTART_SECONDS = 10.0


class CrashDetector:
    """Report the answers and crashes of one target to a CrashGuard.

    `crash_id` identifies a crash of this target; a target that starts again
    gets another detector.
    """

    def __init__(self, *, guard, connections, crash_id, on_crash, max_calls):
        """Probe the target through its TargetConnections.

        `on_crash()` is called once, as soon as the target has crashed. At
        most `max_calls` calls that the target broke off are remembered.
        """
        self._guard = guard
        self._connections = connections
        self._crash_id = crash_id
        self._on_crash = on_crash
        self._broken_off = collections.deque(maxlen=max_calls)
        self._has_crashed = False

    def settle(self, call, outcome):
        """Report a call's outcome; return it, with the crashes it caused.

        Whether the target has crashed is known when this returns: the caller
        or the entry proxy must not repeat the request before.
        """
        match outcome:
            case Answered(status=status):
                self._guard.record_answer(call, status)
            case Unknown(reason=reason) if reason.startswith(
                reasons.TARGET_BROKE_OFF
            ):
                if self._is_crash():
                    crashes = self._guard.record_crash(call, self._crash_id)
                    return dataclasses.replace(outcome, crashes=crashes)
                # The bodies of many calls would take too much memory.
                without_body = attrs.evolve(call, headers=(), body=b"")
                self._broken_off.append((time.monotonic(), without_body))
        return outcome

    def record_restart(self):
        """Report a crash that was not noticed before the target's restart."""
        earliest = time.monotonic() - MAX_RESTART_SECONDS
        while self._broken_off:
            broken_off_at, call = self._broken_off.popleft()
            if broken_off_at >= earliest:
                self._guard.record_crash(call, self._crash_id)

    def _is_crash(self):
        """Return whether the target, which broke off a call, has crashed.

        The operating system closes the sockets of a terminating process one
        after the other, so it may still accept a connection. A target that
        accepts is checked for `CRASH_RECHECK_SECONDS`; it has crashed if it
        closed the connection and refuses a new one.
        """
        connection = None if self._has_crashed else self._connections.probe()
        if connection is None:
            self._mark_crashed()
        end = time.monotonic() + CRASH_RECHECK_SECONDS
        while not self._has_crashed and time.monotonic() < end:
            eventlet.sleep(RECHECK_INTERVAL_SECONDS)
            if (
                connection.was_closed_unused()
                and self._connections.probe() is None
            ):
                self._mark_crashed()
        return self._has_crashed

    def _mark_crashed(self):
        if not self._has_crashed:
            self._has_crashed = True
            self._on_crash()
