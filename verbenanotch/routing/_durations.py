"""Running means of the durations and sizes of each route's requests.

Also the gain that is required to send a request to another zone, which
depends on its size.
"""

# A request is expected to meet its objective if this many times its mean
# time is within the objective. The standard deviation of service times is
# about half their mean, so that about four of five requests take less than
# this multiple of the mean.
OBJECTIVE_MARGIN = 1.3
# Links between zones have low bandwidth and high cost: a request is sent to
# another zone only if it is answered earlier by this share of its objective
# for each KB of the request and its answer. For example, if another zone
# answers earlier by half of the objective, 1.5 KB are sent there and 10 KB are
# not.
CROSS_ZONE_SHARE_PER_KB = 0.15
BYTES_PER_KB = 1000
# A cross-zone target must be expected to be faster by this share of its own
# time plus this time, which two hops between zones take (about 1.5 ms each).
MIN_CROSS_ZONE_GAIN_SHARE = 0.15
MIN_CROSS_ZONE_GAIN_SECONDS = 0.003
DEFAULT_EWMA_WEIGHT = 0.05
SERVICE_TIME_EWMA_WEIGHT = 0.1
# Assumed size of the headers of a request plus those of its answer, between
# two proxies.
HEADER_BYTES = 400
# Bounds the memory of `ServiceTimes` when routes are added and removed over
# time: all its means are removed when there are this many.
MAX_ROUTES = 512
# A longest time is that of one to two such periods.
LONGEST_PERIOD_SECONDS = 30.0
# Bounds of each sample of `RouteDurations`.
MIN_RATIO = 0.05
MAX_RATIO = 20.0


class _RouteMeans:
    """An exponentially weighted moving average for each route."""

    ewma_weight = DEFAULT_EWMA_WEIGHT

    def __init__(self):
        """Start without a mean for any route."""
        self._means_by_route = {}

    def retain(self, route_names):
        """Remove the means of all routes except `route_names`."""
        for name in self._means_by_route.keys() - route_names:
            del self._means_by_route[name]

    def _update_mean(self, route_name, value, *, initial):
        """Add a sample to a route's mean, which starts at `initial`."""
        mean = self._means_by_route.get(route_name, initial)
        self._means_by_route[route_name] = mean + self.ewma_weight * (
            value - mean
        )


class RouteDurations(_RouteMeans):
    """Mean ratio of each route's response times to its targets' means.

    A service may have routes with short and with long requests, while its
    targets report one mean service time for all of them. The ratio of a
    route is 1 until it is measured.
    """

    def observe(self, route_name, seconds, mean_service_seconds):
        """Record one answer's response time and its target's mean time.

        `mean_service_seconds` is the `TargetLoad.service_seconds` that the
        target has reported with the answer.
        """
        if mean_service_seconds <= 0:
            return
        ratio = min(MAX_RATIO, max(MIN_RATIO, seconds / mean_service_seconds))
        self._update_mean(route_name, ratio, initial=1.0)

    def scaled_objective(self, route_name, objective_seconds):
        """Return the objective divided by the route's ratio, in seconds.

        The result can be compared with the expected times of targets, which
        are based on their mean service times.
        """
        return objective_seconds / self._means_by_route.get(route_name, 1.0)


class RouteSizes(_RouteMeans):
    """Mean body sizes in bytes of the answers of each route.

    An answer is assumed to have no body until one was measured.
    """

    def observe(self, route_name, body_bytes):
        """Record the body size of one answer."""
        self._update_mean(route_name, body_bytes, initial=body_bytes)

    def expected(self, route_name, request_bytes):
        """Return the expected bytes of a request and its answer, with headers.

        `request_bytes` is the size of the request's body.
        """
        answer_bytes = self._means_by_route.get(route_name, 0)
        return HEADER_BYTES + request_bytes + answer_bytes


class ServiceTimes(_RouteMeans):
    """Mean seconds for which each route's requests occupy a target's slot."""

    ewma_weight = SERVICE_TIME_EWMA_WEIGHT

    def observe(self, route_name, seconds):
        """Record how long one request occupied its slot."""
        if len(self._means_by_route) >= MAX_ROUTES:
            self._means_by_route.clear()
        self._update_mean(route_name, seconds, initial=seconds)

    def expected(self, route_name):
        """Return the mean seconds of a route, or None if not measured."""
        return self._means_by_route.get(route_name)


class LongestTimes:
    """The longest recent time of each route's answered requests, in seconds.

    `now` is in monotonic seconds.
    """

    def __init__(self):
        """Start without a time for any route."""
        self._period_ends_at = 0.0
        self._current_by_route = {}
        self._previous_by_route = {}

    def observe(self, route_name, seconds, now):
        """Record the time of one answered request."""
        self._forget_old(now)
        if len(self._current_by_route) >= MAX_ROUTES:
            self._current_by_route.clear()
        self._current_by_route[route_name] = max(
            seconds, self._current_by_route.get(route_name, 0.0)
        )

    def longest(self, route_name, now):
        """Return the longest time of a route, or None if not measured."""
        self._forget_old(now)
        return max(
            (
                times_by_route[route_name]
                for times_by_route in (
                    self._current_by_route,
                    self._previous_by_route,
                )
                if route_name in times_by_route
            ),
            default=None,
        )

    def _forget_old(self, now):
        if now < self._period_ends_at:
            return
        is_recent = now < self._period_ends_at + LONGEST_PERIOD_SECONDS
        self._previous_by_route = self._current_by_route if is_recent else {}
        self._current_by_route = {}
        self._period_ends_at = now + LONGEST_PERIOD_SECONDS


def cross_zone_penalty_seconds(transferred_bytes, objective_seconds):
    """Return by how many seconds a cross-zone target has to be faster.

    `transferred_bytes` is the size of the request and its answer, which
    would be sent between zones.
    """
    return (
        CROSS_ZONE_SHARE_PER_KB
        * transferred_bytes
        / BYTES_PER_KB
        * objective_seconds
    )


def is_worth_crossing(same_zone_seconds, cross_zone_seconds, penalty_seconds):
    """Return whether a cross-zone target is fast enough for its cost.

    The arguments are the expected times of a request at a target of each
    kind and the result of `cross_zone_penalty_seconds`.
    """
    gain = same_zone_seconds - cross_zone_seconds * (
        1 + MIN_CROSS_ZONE_GAIN_SHARE
    )
    return gain > MIN_CROSS_ZONE_GAIN_SECONDS + penalty_seconds
