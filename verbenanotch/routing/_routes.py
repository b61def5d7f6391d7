"""Find the route of a request path."""


class RouteTable:
    """Match paths against the prefixes of many routes.

    A prefix covers itself and whatever follows it after a slash. The cost of
    a match grows with the segments of the longest prefix, not with the
    number of routes.
    """

    def __init__(self, routes_by_name):
        """Index routes by prefix."""
        self._entries_by_prefix = {
            route.prefix.rstrip("/"): (name, route)
            for name, route in routes_by_name.items()
        }
        self._max_segments = max(
            (prefix.count("/") for prefix in self._entries_by_prefix),
            default=0,
        )

    def match(self, path):
        """Return `(name, route)` of the longest prefix, or None.

        `path` starts with a slash and has no query. It is compared as it
        is: dot segments and escapes are not resolved.
        """
        segments = path.split("/", self._max_segments + 1)
        prefix = "/".join(segments[: self._max_segments + 1])
        while True:
            entry = self._entries_by_prefix.get(prefix)
            if entry is not None:
                return entry
            if not prefix:
                return None
            prefix = prefix[: max(prefix.rfind("/"), 0)]
