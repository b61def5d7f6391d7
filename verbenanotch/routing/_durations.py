"""How long the requests of a route take, compared with their service's."""

# A request can expect to meet its objective if so many times its mean time is
# within it. Work times vary by half: about four of five take less than this
# much of the mean.
OBJECTIVE_MARGIN = 1.3
# Lines between zones are narrow and dear: a request crosses only if that
# brings its answer forward by this share of its objective for each KB. At
# 1.5 KB and half of the objective to gain it does, at 10 KB it stays.
CROSS_ZONE_SHARE_PER_KB = 0.15
BYTES_PER_KB = 1000
RATIO_WEIGHT = 0.05
SERVICE_TIME_WEIGHT = 0.1
# Heads of a request and of its answer between two proxies.
HEAD_BYTES = 400
# Routes that come and go must not fill the memory.
MAX_ROUTES = 512
MIN_RATIO = 0.05
MAX_RATIO = 20.0


class _RouteMeans:
    """A moving mean of some measure for each route."""

    weight = RATIO_WEIGHT

    def __init__(self):
        """Know no route."""
        self._means_by_route = {}

    def retain(self, route_names):
        """Forget the routes that are gone."""
        for name in self._means_by_route.keys() - route_names:
            del self._means_by_route[name]

    def _update_mean(self, route_name, value, *, initial):
        """Move a route's mean towards a value; it begins at `initial`."""
        held = self._means_by_route.get(route_name, initial)
        self._means_by_route[route_name] = held + self.weight * (value - held)


class RouteDurations(_RouteMeans):
    """Ratios of a route's own times to the mean times of its targets.

    One service runs short and long kinds of request; its targets tell one
    mean for all. Every route is taken for an average one at first.
    """

    def observe(self, route_name, seconds, mean_seconds):
        """Note the time of one answer and its target's mean."""
        if mean_seconds <= 0:
            return
        ratio = min(MAX_RATIO, max(MIN_RATIO, seconds / mean_seconds))
        self._update_mean(route_name, ratio, initial=1.0)

    def scaled_objective(self, route_name, objective_seconds):
        """Return an objective in terms of the targets' mean times."""
        return objective_seconds / self._means_by_route.get(route_name, 1.0)


class RouteSizes(_RouteMeans):
    """Mean bytes that a request of a route and its answer take.

    Every answer is taken for one without a body at first.
    """

    def observe(self, route_name, size):
        """Note the size of the body of one answer."""
        self._update_mean(route_name, size, initial=size)

    def expected(self, route_name, request_bytes):
        """Return the bytes of a request with such a body and its answer."""
        answer_bytes = self._means_by_route.get(route_name, 0)
        return HEAD_BYTES + request_bytes + answer_bytes


class ServiceTimes(_RouteMeans):
    """Mean seconds for which each route's requests hold a target's slot."""

    weight = SERVICE_TIME_WEIGHT

    def observe(self, route_name, seconds):
        """Note one request."""
        if len(self._means_by_route) >= MAX_ROUTES:
            self._means_by_route.clear()
        self._update_mean(route_name, seconds, initial=seconds)

    def expected(self, route_name):
        """Return the mean of a route, or None if it is not known."""
        return self._means_by_route.get(route_name)


def cross_zone_penalty_seconds(size, objective_seconds):
    """Return how much sooner another zone must answer to be worth its bytes.

    `size` are the bytes that would cross.
    """
    return CROSS_ZONE_SHARE_PER_KB * size / BYTES_PER_KB * objective_seconds
