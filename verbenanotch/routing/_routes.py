"""Find the route of a request by its host and path."""

from verbenanotch.catalog import ANY_HOST


class RouteTable:
    """Match requests against the hosts and prefixes of many routes.

    A prefix covers itself and whatever follows it after a slash; the last
    slash of a route that needs it has to be there. The routes of a host go
    before those of ANY_HOST. The cost of a match grows with the segments of
    the longest prefix, not with the number of routes.
    """

    def __init__(self, routes_by_name):
        """Index routes by host and prefix."""
        self._entries_by_place = {}
        self._max_segments = 0
        for name, route in routes_by_name.items():
            prefix = route.prefix.rstrip("/")
            place = (route.host.lower(), prefix)
            is_whole = not prefix or not route.needs_slash
            self._entries_by_place[place] = (name, route, is_whole)
            self._max_segments = max(self._max_segments, prefix.count("/"))

    def match(self, path, host=""):
        """Return `(name, route)` of the longest prefix, or None.

        `path` starts with a slash and has no query. It is compared as it
        is: dot segments and escapes are not resolved. `host` is the value
        of the Host header; its port does not count.
        """
        name = _without_port(host).lower()
        return self._match(path, name) or self._match(path, ANY_HOST)

    def _match(self, path, host):
        segments = path.split("/", self._max_segments + 1)
        prefix = "/".join(segments[: self._max_segments + 1])
        while True:
            entry = self._entries_by_place.get((host, prefix))
            if entry is not None:
                name, route, is_whole = entry
                if is_whole or len(path) > len(prefix):
                    return name, route
            if not prefix:
                return None
            prefix = prefix[: max(prefix.rfind("/"), 0)]


def choose_service(route, random):
    """Return the service that a request of the route goes to.

    `random` is a random.Random. The parts of a split get requests in the
    proportion of their weights, whatever room they have.
    """
    if not route.split:
        return route.service
    weights = [part.weight for part in route.split]
    return random.choices(route.split, weights)[0].service


def _without_port(host):
    name, _, port = host.rpartition(":")
    return name if port.isdigit() else host
