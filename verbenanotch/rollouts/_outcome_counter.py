"""Counts of a proxy's calls by route and software version.

The leader judges a new version by the sums over all proxies. It says by
repeated messages which services it watches; nothing is counted for others.
"""

import attrs

from verbenanotch.rollouts._messages import OutcomeCount, VersionOutcomes

# A call is late if it took over this many times the route's expected time.
LATE_FACTOR = 3.0
# Counting stops when the leader has been silent for this long.
WATCH_SECONDS = 3.0
# Bounds the memory and the messages of one service.
MAX_COUNTS_PER_SERVICE = 64
# Further routes are counted together, so that three versions of each fit.
MAX_ROUTES_PER_SERVICE = 20
OTHER_ROUTES = "(other routes)"
MIN_MEAN_WEIGHT = 0.05
MILLISECONDS_PER_SECOND = 1000


@attrs.define(kw_only=True)
class _Count:
    """Totals for one route and one software version."""

    calls: int = 0
    failures: int = 0
    late: int = 0
    seconds: float = 0.0


@attrs.define(kw_only=True)
class _Mean:
    """Mean duration of a route: of all samples, later of recent ones."""

    samples: int = 0
    seconds: float = 0.0

    def observe(self, seconds):
        self.samples += 1
        weight = max(MIN_MEAN_WEIGHT, 1 / self.samples)
        self.seconds += weight * (seconds - self.seconds)


@attrs.define(kw_only=True)
class _ServiceCounts:
    """Totals of one service while one candidate is watched."""

    candidate: str
    routes: set = attrs.field(factory=set)
    counts_by_route_and_version: dict = attrs.field(factory=dict)
    means_by_route: dict = attrs.field(factory=dict)
    changed: bool = False

    def count(self, route, software_version):
        """Return the _Count of a pair, or None if there are too many."""
        if len(self.routes) < MAX_ROUTES_PER_SERVICE:
            self.routes.add(route)
        elif route not in self.routes:
            route = OTHER_ROUTES
        counts = self.counts_by_route_and_version
        key = (route, software_version)
        if key not in counts and len(counts) >= MAX_COUNTS_PER_SERVICE:
            return None
        return counts.setdefault(key, _Count())

    def late_after_seconds(self, route, objective_seconds):
        """Return after how many seconds an answer is late; inf for never.

        The route's expected time is the mean of its answers at targets of
        the other versions than the candidate, else its objective.
        """
        mean = self.means_by_route.get(route)
        expected = objective_seconds if mean is None else mean.seconds
        return LATE_FACTOR * expected if expected > 0 else float("inf")

    def observe(self, route, seconds):
        """Record the duration of an answer of another version."""
        means = self.means_by_route
        if route in means or len(means) < MAX_COUNTS_PER_SERVICE:
            means.setdefault(route, _Mean()).observe(seconds)


class OutcomeCounter:
    """Counts calls to the watched services; times are in seconds.

    Answers steady load at many proxies, each with few calls to the
    candidate: only totals are kept, so that a lost message costs nothing and
    the sums over all proxies are exact. Calls that were provably not run,
    and calls that callers gave up in time, say nothing of a version.
    """

    def __init__(self):
        """Start without watched services."""
        self._counts_by_service = {}
        self._watched_until = float("-inf")

    def watch(self, candidates_by_service, now):
        """Count for these services, for `WATCH_SECONDS` from now on.

        Totals are kept as long as a service is watched for one candidate.
        """
        self._watched_until = now + WATCH_SECONDS
        current = self._counts_by_service
        self._counts_by_service = {
            service: current[service]
            if service in current and current[service].candidate == candidate
            else _ServiceCounts(candidate=candidate)
            for service, candidate in candidates_by_service.items()
        }

    def is_watched(self, service, now):
        """Return whether calls to a service are counted."""
        return service in self._counts_by_service and now < self._watched_until

    def record(
        self,
        service,
        route,
        software_version,
        *,
        seconds,
        objective_seconds,
        now,
        answered=True,
        failed=False,
        cancelled=False,
    ):
        """Count one ended call that may have run.

        `failed` is True for a server error of the target and for a call
        without an answer. A call that was `cancelled` by its caller is
        counted only if it was late by then.
        """
        if not self.is_watched(service, now):
            return
        counts = self._counts_by_service[service]
        is_late = seconds > counts.late_after_seconds(route, objective_seconds)
        if cancelled and not is_late:
            return
        count = counts.count(route, software_version)
        if count is None:
            return
        count.calls += 1
        count.failures += failed
        if answered:
            count.seconds += seconds
            count.late += is_late and not failed
            if not failed and software_version != counts.candidate:
                counts.observe(route, seconds)
        counts.changed = True

    def changes(self, now):
        """Return the names of the watched services with new outcomes."""
        if now >= self._watched_until:
            return []
        return [
            service
            for service, counts in self._counts_by_service.items()
            if counts.changed
        ]

    def message(self, service, *, proxy_incarnation):
        """Return the VersionOutcomes of a service."""
        pairs = self._counts_by_service[service].counts_by_route_and_version
        return VersionOutcomes(
            service=service,
            proxy_incarnation=proxy_incarnation,
            counts=tuple(
                OutcomeCount(
                    route=route,
                    software_version=software_version,
                    calls=count.calls,
                    failures=count.failures,
                    late=count.late,
                    milliseconds=round(
                        count.seconds * MILLISECONDS_PER_SECOND
                    ),
                )
                for (route, software_version), count in pairs.items()
            ),
        )

    def record_sent(self, service):
        """Remember that the current totals of a service were sent."""
        self._counts_by_service[service].changed = False
