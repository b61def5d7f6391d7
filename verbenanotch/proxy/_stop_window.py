"""Refuse requests that a stopping proxy can't finish any more."""

import contextlib
import math

import attrs

from verbenanotch.proxy._cancellation import Cancellation
from verbenanotch.routing import LongestTimes

# A request may take longer than any recent one of its route.
LONGEST_MARGIN = 1.25


@attrs.frozen(kw_only=True, eq=False)
class _WatchedRequest:
    """A request in progress; times are in monotonic seconds."""

    route_name: str
    deadline: float
    arrived_at: float
    cancellation: Cancellation
    reason: str


class StopWindow:
    """The time until a stopping proxy cuts what is in progress.

    Times are in monotonic seconds. Without a stop the window has no end.
    """

    def __init__(self):
        """Start without a stop."""
        self._ends_at = math.inf
        self._certain_from = math.inf
        self._waits_until = math.inf
        self._longest_times = LongestTimes()
        self._watched = set()

    def begin(self, *, ends_at, certain_from=math.inf, waits_until=math.inf):
        """Set when requests in progress are cut.

        Requests that arrive at `certain_from` or later are taken only if
        their deadline is in the window. From `waits_until` on, no request
        waits for its turn beyond the window.
        """
        self._ends_at = ends_at
        self._certain_from = certain_from
        self._waits_until = waits_until

    def observe(self, route_name, seconds, now):
        """Record how long an answered request took."""
        self._longest_times.observe(route_name, seconds, now)

    def has_time_for(self, route_name, *, deadline, now, arrived_at=None):
        """Return whether a request that starts now ends within the window.

        It does by its `deadline` at the latest. A request that has arrived
        before `certain_from` is expected to last no longer than the recent
        ones of its route; without a recent answer, until its deadline. A
        request without `arrived_at` arrives now.
        """
        if arrived_at is None:
            arrived_at = now
        return now <= self._latest_start(route_name, deadline, arrived_at, now)

    @contextlib.contextmanager
    def watch(self, route_name, *, deadline, arrived_at, cancellation, reason):
        """Let `withdraw_late` withdraw a request that waits for its turn.

        `cancellation` is its Cancellation, `reason` that of the refusal.
        """
        request = _WatchedRequest(
            route_name=route_name,
            deadline=deadline,
            arrived_at=arrived_at,
            cancellation=cancellation,
            reason=reason,
        )
        self._watched.add(request)
        try:
            yield
        finally:
            self._watched.discard(request)

    def withdraw_late(self, now):
        """Withdraw the requests that would not end within the window.

        Those that have begun to run at a target are not affected. Has to be
        called several times a second during a stop.
        """
        for request in tuple(self._watched):
            latest_start = self._latest_start(
                request.route_name, request.deadline, request.arrived_at, now
            )
            if latest_start < math.inf:
                latest_start = min(latest_start, self._waits_until)
            if now > latest_start:
                request.cancellation.withdraw(request.reason)

    def _latest_start(self, route_name, deadline, arrived_at, now):
        """Return until when a request may start to end in the window."""
        if deadline <= self._ends_at:
            return math.inf
        longest = self._longest_times.longest(route_name, now)
        if arrived_at >= self._certain_from or longest is None:
            return -math.inf
        return self._ends_at - longest * LONGEST_MARGIN
