"""How long the requests of a route take, compared with their service's."""

RATIO_WEIGHT = 0.05
MIN_RATIO = 0.05
MAX_RATIO = 20.0


class RouteDurations:
    """Ratios of a route's own times to the mean times of its targets.

    One service runs short and long kinds of request; its targets tell one
    mean for all.
    """

    def __init__(self):
        """Take every route for an average one."""
        self._ratios_by_route = {}

    def answered(self, route_name, seconds, mean_seconds):
        """Note the time of one answer and its target's mean."""
        if mean_seconds <= 0:
            return
        held = self._ratios_by_route.get(route_name, 1.0)
        ratio = min(MAX_RATIO, max(MIN_RATIO, seconds / mean_seconds))
        self._ratios_by_route[route_name] = held + RATIO_WEIGHT * (
            ratio - held
        )

    def scaled_objective(self, route_name, objective_seconds):
        """Return an objective in terms of the targets' mean times."""
        return objective_seconds / self._ratios_by_route.get(route_name, 1.0)

    def retain(self, route_names):
        """Forget the routes that are gone."""
        for name in self._ratios_by_route.keys() - route_names:
            del self._ratios_by_route[name]
