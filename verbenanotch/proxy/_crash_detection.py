"""Find out whether a target has crashed, and during which calls."""

import dataclasses
import time

import eventlet

from verbenanotch.proxy import _reasons as reasons
from verbenanotch.proxy._outcome import Answered, Unknown
from verbenanotch.proxy._unfinished_calls import UnfinishedCalls

# A terminating process has closed all of its sockets within this time, which
# is one or two time slices of the scheduler.
CRASH_RECHECK_SECONDS = 0.05
RECHECK_INTERVAL_SECONDS = 0.01
# How long an idle connection is watched before another one takes its place.
WATCH_SECONDS = 1.0
# Limits the connections to a target that closes each one at once.
WATCH_PAUSE_SECONDS = 0.25


class CrashDetector:
    """Report the answers and crashes of one target to a CrashGuard.

    A crash counts against the calls that it broke off, and against those
    that had ended before without an answer: the target may still have been
    working on them. As long as there are any, an idle connection is watched.
    `crash_id` identifies a crash of this target; a target that starts again
    gets another detector.
    """

    def __init__(self, *, guard, connections, crash_id, on_crash):
        """Probe the target through its TargetConnections.

        `on_crash()` is called once, as soon as the target has crashed.
        """
        self._guard = guard
        self._connections = connections
        self._crash_id = crash_id
        self._on_crash = on_crash
        self._unfinished_calls = UnfinishedCalls()
        self._watcher = None
        self._has_crashed = False
        self._is_leaving = False

    def settle(self, call, outcome, *, deadline):
        """Report a call's outcome; return it, with the crashes it caused.

        `deadline` is that of the call, in monotonic seconds. Whether a target
        that broke off the call has crashed is known when this returns: the
        caller or the entry proxy must not repeat the request before.
        """
        match outcome:
            case Answered(status=status):
                self._guard.record_answer(call, status)
            case Unknown(reason=reason):
                broke_off = reason.startswith(reasons.TARGET_BROKE_OFF)
                if self._has_crashed or (broke_off and self._is_crash()):
                    crashes = self._guard.record_crash(call, self._crash_id)
                    return dataclasses.replace(outcome, crashes=crashes)
                self._remember(call, deadline)
        return outcome

    def record_restart(self):
        """Report a crash that was not noticed before the target's restart."""
        if not self._has_crashed:
            self._has_crashed = True
            self._record_unfinished_calls()

    def expect_exit(self):
        """Stop to watch a target that has announced that it exits."""
        self._is_leaving = True
        self._unfinished_calls.take_all(time.monotonic())

    def _remember(self, call, deadline):
        if self._is_leaving:
            return
        self._unfinished_calls.add(
            call, deadline=deadline, now=time.monotonic()
        )
        if self._watcher is None:
            self._watcher = eventlet.spawn(self._watch)

    def _watch(self):
        """Detect a crash while the target may work on unfinished calls."""
        try:
            while not self._has_crashed and self._unfinished_calls.has_any(
                time.monotonic()
            ):
                connection = self._connections.acquire_idle() or self._probe()
                if connection is None:
                    eventlet.sleep(WATCH_PAUSE_SECONDS)
                elif connection.wait_for_input(timeout_seconds=WATCH_SECONDS):
                    connection.close()
                    if not self._is_crash():
                        eventlet.sleep(WATCH_PAUSE_SECONDS)
                else:
                    self._connections.release(connection)
        finally:
            self._watcher = None

    def _is_crash(self):
        """Return whether the target, which closed a connection, has crashed.

        The operating system closes the sockets of a terminating process one
        after the other, so it may still accept a connection. A target that
        accepts is checked for `CRASH_RECHECK_SECONDS`; it has crashed if it
        closed the connection and refuses a new one. A target that ends each
        connection at once is only full.
        """
        connection = None if self._has_crashed else self._probe()
        end = time.monotonic() + CRASH_RECHECK_SECONDS
        while not self._has_crashed and time.monotonic() < end:
            eventlet.sleep(RECHECK_INTERVAL_SECONDS)
            if connection is None or connection.was_closed_unused():
                self._release(self._probe())
        self._release(connection)
        return self._has_crashed

    def _probe(self):
        """Return a new connection or None; a target that refuses crashed."""
        try:
            return self._connections.probe()
        except ConnectionRefusedError:
            self._mark_crashed()
            return None

    def _release(self, connection):
        if connection is not None:
            self._connections.release(connection)

    def _mark_crashed(self):
        if not self._has_crashed:
            self._has_crashed = True
            self._record_unfinished_calls()
            self._on_crash()

    def _record_unfinished_calls(self):
        calls = self._unfinished_calls.take_all(time.monotonic())
        if calls:
            self._guard.record_unfinished(calls, self._crash_id)
