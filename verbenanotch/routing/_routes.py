"""Find the route of a request by its host and path."""

from verbenanotch.catalog import ANY_HOST


class RouteTable:
    """Match requests against the hosts and prefixes of many routes.

    A prefix matches itself and every path that continues it after a slash.
    With `needs_slash`, the path must contain that slash, even if nothing
    follows it. Routes of a host take precedence over those of ANY_HOST. The
    cost of a match grows with the number of segments of the longest prefix,
    not with the number of routes.
    """

    def __init__(self, routes_by_name):
        """Index routes by host and prefix."""
        self._entries_by_host_and_prefix = {}
        self._max_segments = 0
        for name, route in routes_by_name.items():
            prefix = route.prefix.rstrip("/")
            host_and_prefix = (route.host.lower(), prefix)
            matches_bare_prefix = not prefix or not route.needs_slash
            self._entries_by_host_and_prefix[host_and_prefix] = (
                name,
                route,
                matches_bare_prefix,
            )
            self._max_segments = max(self._max_segments, prefix.count("/"))

    def match(self, path, host=""):
        """Return `(name, route)` of the longest matching prefix, or None.

        `path` starts with a slash and has no query. It is compared as
        received: dot segments and escapes are not resolved. `host` is the
        value of the Host header; its port is ignored.
        """
        host_name = _without_port(host).lower()
        return self._match(path, host_name) or self._match(path, ANY_HOST)

    def _match(self, path, host):
        segments = path.split("/", self._max_segments + 1)
        prefix = "/".join(segments[: self._max_segments + 1])
        while True:
            entry = self._entries_by_host_and_prefix.get((host, prefix))
            if entry is not None:
                name, route, matches_bare_prefix = entry
                if matches_bare_prefix or len(path) > len(prefix):
                    return name, route
            if not prefix:
                return None
            prefix = prefix[: max(prefix.rfind("/"), 0)]


def choose_service(route, random):
    """Return the name of the service that a request of the route goes to.

    `random` is a `random.Random`. The services of a split receive requests in
    proportion to their weights, regardless of their capacity.
    """
    if not route.split:
        return route.service
    weights = [weighted_service.weight for weighted_service in route.split]
    return random.choices(route.split, weights)[0].service


def _without_port(host):
    name, _, port = host.rpartition(":")
    return name if port.isdigit() else host
